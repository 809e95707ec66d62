#pragma once

#include <memory>
#include <string>
#include <vector>

#include "network/Endpoint.h"

namespace toucanstand {

/// A program of this build that a test has started. It is killed, by its own process
/// id, when the object goes out of scope.
class ProcessLauncher
{
public:
  /// Starts a program. @param aName for example `standin-store`
  ProcessLauncher(const std::string& aName, const std::vector<std::string>& aArguments);
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

  /// Waits for the end of the program. @returns its exit code; 128 plus the signal when
  /// a signal ended it
  int Wait();

private:
  struct Child;
  std::unique_ptr<Child> child;
};

} // namespace toucanstand
