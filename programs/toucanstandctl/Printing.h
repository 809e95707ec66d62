#pragma once

#include <ostream>

#include <nlohmann/json_fwd.hpp>

#include "RequestTimeline.h"

namespace toucanstand {

/// Prints one line per entry, with the time since the first entry, and then the cause of
/// the request's outcome.
void PrintTimeline(const RequestTimeline& aTimeline, std::ostream& aOut);

/// Prints the state of a toucanstand-server as tables.
///
/// @param aState the value of `state` in the response to `GET /state`
void PrintServerState(const nlohmann::json& aState, std::ostream& aOut);

} // namespace toucanstand
