#include "ControlSettings.h"

#include <cstdlib>
#include <iostream>

#include <nlohmann/json.hpp>

#include "settings/EndpointSetting.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

ControlSettings ReadControlSettings(SettingsReader& aReader)
{
  ControlSettings settings;
  settings.node = ReadEndpoint(aReader, "node", Endpoint{ "127.0.0.1", 7001 });
  settings.store = ReadEndpoint(aReader, "store", Endpoint{ "127.0.0.1", 2379 });
  const char* const user = std::getenv("USER");
  settings.author = aReader.Text("author", user == nullptr ? "" : user);
  settings.waitTimeout = aReader.Milliseconds("wait_timeout_ms",
                                              std::chrono::milliseconds(100),
                                              std::chrono::hours(1),
                                              settings.waitTimeout);
  return settings;
}

std::optional<ControlSettings> ReadControlSettings(const CommandLine& aCommandLine)
{
  nlohmann::json document = nlohmann::json::object();
  if (aCommandLine.Has("config")) {
    auto read = ReadJsonFile(aCommandLine.ValueOr("config", ""));
    if (!read) {
      std::cerr << "toucanstandctl: " << Describe(read.LastReason()) << '\n';
      return std::nullopt;
    }
    document = std::move(*read);
  }
  for (const auto* key : { "node", "store", "author" }) {
    if (aCommandLine.Has(key) && document.is_object()) {
      document[key] = aCommandLine.ValueOr(key, "");
    }
  }
  SettingsReader reader(document);
  auto settings = ReadControlSettings(reader);
  settings.reason = aCommandLine.ValueOr("reason", "");
  settings.json = aCommandLine.Has("json");
  settings.wait = aCommandLine.Has("wait");
  reader.Finish();
  for (const auto& error : reader.Errors()) {
    std::cerr << "toucanstandctl: " << Describe(error) << '\n';
  }
  return reader.Errors().empty() ? std::optional(settings) : std::nullopt;
}

} // namespace toucanstand
