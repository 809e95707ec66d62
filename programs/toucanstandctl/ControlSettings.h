#pragma once

#include <optional>
#include <string>
#include <vector>

#include "commandline/CommandLine.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Endpoints, authorship of changes and output format of toucanstandctl.
struct ControlSettings
{
  /// Operator endpoint of a toucanstand-node.
  Endpoint node;
  Endpoint store;
  std::string author;
  std::string reason;
  bool json = false;
  bool wait = false;
  /// Maximum time that --wait waits for the revision to be accepted.
  Duration waitTimeout = std::chrono::seconds(30);
};

/// Reads the settings of the file; invalid settings are in aReader.Errors().
ControlSettings ReadControlSettings(SettingsReader& aReader);

/// Reads the file given by --config, if any, and the options, which override the file.
///
/// @returns nothing if a setting is invalid; each error is printed to standard error
[[nodiscard]] std::optional<ControlSettings> ReadControlSettings(
  const CommandLine& aCommandLine);

} // namespace toucanstand
