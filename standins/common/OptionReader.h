#pragma once

#include <cstdint>
#include <string>

#include "commandline/CommandLine.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Reads typed options of a stand-in; each broken one is a line on standard error.
class OptionReader
{
public:
  /// @param aCommandLine must outlive the reader.
  OptionReader(const CommandLine& aCommandLine, std::string aProgram);

  std::int64_t Whole(const std::string& aName,
                     std::int64_t aLowest,
                     std::int64_t aHighest,
                     std::int64_t aDefault);
  double Number(const std::string& aName,
                double aLowest,
                double aHighest,
                double aDefault);
  Duration Milliseconds(const std::string& aName, Duration aDefault);
  Endpoint Address(const std::string& aName, const std::string& aDefault);

  /// True when any option was broken; the program ends with ExitCode::Usage.
  [[nodiscard]] bool Failed() const { return this->failed; }

  void Reject(const std::string& aName, const std::string& aExpectation);

private:
  const CommandLine& commandLine;
  std::string program;
  bool failed = false;
};

/// Ends the process at once with success on SIGTERM and SIGINT.
void ExitOnTermination();

/// Writes the line that tells a starter which address is in use, and flushes it.
void AnnounceEndpoint(const std::string& aWord, const Endpoint& aEndpoint);

} // namespace toucanstand
