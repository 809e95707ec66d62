#pragma once

#include <optional>
#include <string>

#include "observation/Observation.h"

namespace toucanstand {

/// Reads an engine's answer to `GET /state`; nothing when it is malformed or of another
/// server, as when an address was given to a new VM.
[[nodiscard]] std::optional<Observation> ReadEngineState(const ServerId& aServer,
                                                         const std::string& aBody,
                                                         TimePoint aObservedAt);

} // namespace toucanstand
