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

  /// Runs the command of the positional arguments.
  ExitCode Run(const std::vector<std::string>& aArguments);

  /// One line per command, for the help.
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

  /// Prints the answer of the process at an address.
  ExitCode PrintResponse(const std::string& aAddress,
                         const std::string& aTarget,
                         const std::string& aMethod,
                         const std::function<void(const nlohmann::json&)>& aPrint);
  /// JSON answer of an endpoint; null after a failure, which is printed.
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
