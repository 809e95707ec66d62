#pragma once

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "network/Endpoint.h"

namespace toucanstand {

/// A program that a test has started. It is killed, by its own process id, when the
/// object goes out of scope.
class ProcessLauncher
{
public:
  /// Starts a program. @param aName one of this build, for example `standin-store`, or
  /// the absolute path of another
  /// @param aLogFile receives standard output and error at its end; if empty, this
  /// object reads standard output
  ProcessLauncher(const std::string& aName,
                  const std::vector<std::string>& aArguments,
                  const std::string& aLogFile = {});
  ~ProcessLauncher();
  ProcessLauncher(const ProcessLauncher&) = delete;
  ProcessLauncher& operator=(const ProcessLauncher&) = delete;

  /// Reads the next line `WORD ADDRESS:PORT` of standard output; waits for it.
  /// @throws std::runtime_error when the program ends or writes something else
  [[nodiscard]] Endpoint ReadEndpoint(const std::string& aWord = "listening");

  /// The rest of standard output, up to its end.
  [[nodiscard]] std::string ReadAll();

  /// Sends a signal, for example SIGTERM or SIGSTOP.
  void Signal(int aSignal);

  /// Time at which the program ends. Does not replace Wait().
  [[nodiscard]] std::future<std::chrono::steady_clock::time_point> ObserveEnd() const;

  /// The most memory that the program has held at one time, in MiB.
  [[nodiscard]] std::size_t PeakMemory() const;

  /// Number of descriptors that the program has open.
  [[nodiscard]] std::size_t OpenDescriptors() const;

  /// What the kernel says of each thread of the program: its state and where it waits.
  [[nodiscard]] std::string DescribeThreads() const;

  /// Waits for the end of the program. @returns its exit code; 128 plus the signal when
  /// a signal ended it
  int Wait();

private:
  struct Child;
  std::unique_ptr<Child> child;
};

} // namespace toucanstand
