#pragma once

#include <optional>
#include <string_view>

#include "network/Endpoint.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// Reads an `address:port` setting with a numeric address; the default when it is
/// missing.
Endpoint ReadEndpoint(SettingsReader& aReader,
                      std::string_view aKey,
                      const std::optional<Endpoint>& aDefault = {});

} // namespace toucanstand
