#pragma once

#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "observation/Observation.h"
#include "observation/WorldView.h"

namespace toucanstand {

/// Body of a `world` message. Times are written as ages or remaining periods, because
/// the clocks of two processes are not compared.
[[nodiscard]] nlohmann::json WorldViewToJson(const WorldView& aView, TimePoint aNow);

/// Reads a `world` message; nothing when a field is missing, malformed or out of range.
[[nodiscard]] std::optional<WorldView> WorldViewFromJson(const nlohmann::json& aBody,
                                                         TimePoint aNow);

/// One observation in an `observations` message, with its age.
[[nodiscard]] nlohmann::json ObservationToJson(const Observation& aObservation,
                                               TimePoint aNow);

/// Reads one observation; nothing when a field is missing, malformed or out of range.
[[nodiscard]] std::optional<Observation> ObservationFromJson(const nlohmann::json& aBody,
                                                             TimePoint aNow);

} // namespace toucanstand
