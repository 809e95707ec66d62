#pragma once

#include <optional>
#include <string_view>

#include "observation/Observation.h"

namespace toucanstand {

/// Reads the answer of a backend server to `GET /state`. Keys that are not known are
/// ignored, because engines of several versions serve at the same time.
///
/// @returns nothing when it is malformed or another server answered
[[nodiscard]] std::optional<Observation> ReadStateReport(const ServerId& aServer,
                                                         int aStatus,
                                                         std::string_view aBody,
                                                         TimePoint aNow);

} // namespace toucanstand
