#pragma once

#include <ostream>

#include <nlohmann/json_fwd.hpp>

#include "RequestTimeline.h"

namespace toucanstand {

/// The story of a request, one line an entry, with times since the first.
void PrintTimeline(const RequestTimeline& aTimeline, std::ostream& aOut);

/// The state of a toucanstand-server as tables. @param aState the `state` of its dump
void PrintServerState(const nlohmann::json& aState, std::ostream& aOut);

} // namespace toucanstand
