#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "BlockingClient.h"
#include "ControlSettings.h"
#include "commandline/CommandLine.h"

namespace toucanstand {

/// The commands of toucanstandctl.
class Commands
{
public:
  explicit Commands(ControlSettings aSettings);

  /// Runs the command that the positional arguments name.
  ExitCode Run(const std::vector<std::string>& aArguments);

  /// Help text with one line per command.
  [[nodiscard]] static std::string Usage();

private:
  using Arguments = std::vector<std::string>;
  struct Command;

  [[nodiscard]] static const std::vector<Command>& AllCommands();

  ExitCode ShowDefaults(const Arguments& aArguments);
  ExitCode ChangeDefaultValue(const Arguments& aArguments);
  ExitCode ListExceptions(const Arguments& aArguments);
  ExitCode AddException(const Arguments& aArguments);
  ExitCode DeleteException(const Arguments& aArguments);
  ExitCode Apply(const Arguments& aArguments);
  ExitCode ShowNodes(const Arguments& aArguments);
  ExitCode ShowGroups(const Arguments& aArguments);
  ExitCode ShowRevisions(const Arguments& aArguments);
  ExitCode Dump(const Arguments& aArguments);
  ExitCode Drain(const Arguments& aArguments);
  ExitCode Explain(const Arguments& aArguments);
  ExitCode ShowServer(const Arguments& aArguments);

  /// Sends a request to the process at an address and prints its JSON response.
  ExitCode PrintResponse(const std::string& aAddress,
                         const std::string& aTarget,
                         const std::string& aMethod,
                         const std::function<void(const nlohmann::json&)>& aPrint);
  /// Returns the JSON response of an endpoint. Prints a failure and returns null.
  nlohmann::json FetchJson(const Endpoint& aEndpoint,
                           const std::string& aTarget,
                           const std::string& aMethod = "GET");
  ExitCode CommitChange(ConfigurationEdit aEdit, std::optional<std::int64_t> aBase = {});
  ExitCode PrintChangeOutcome(const ChangeOutcome& aOutcome);
  ExitCode AwaitAcceptance(std::int64_t aRevision);

  ControlSettings settings;
  BlockingClient client;
};

} // namespace toucanstand
