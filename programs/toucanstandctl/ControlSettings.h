#pragma once

#include <optional>
#include <string>
#include <vector>

#include "commandline/CommandLine.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Where toucanstandctl connects to, and how it prints.
struct ControlSettings
{
  /// Operator endpoint of a toucanstand-node.
  Endpoint node;
  Endpoint store;
  std::string author;
  std::string reason;
  bool json = false;
  bool wait = false;
  /// Longest time that --wait waits for acceptance.
  Duration waitTimeout = std::chrono::seconds(30);
};

/// Reads the settings of the file; broken rules are in the reader's list.
ControlSettings ReadControlSettings(SettingsReader& aReader);

/// Reads the file of --config, if given, and the options, which override it.
///
/// @returns nothing when a setting broke a rule; each is printed on standard error
[[nodiscard]] std::optional<ControlSettings> ReadControlSettings(
  const CommandLine& aCommandLine);

} // namespace toucanstand
