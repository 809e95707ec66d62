#pragma once

#include <optional>

#include "EngineModel.h"
#include "http/HttpMessage.h"

namespace toucanstand {

/// Reads a chat request; nothing when the body or a header is malformed.
[[nodiscard]] std::optional<EngineRequest> ReadEngineRequest(const HttpRequest& aRequest);

/// Reads a control order; nothing when it is malformed.
[[nodiscard]] std::optional<EngineOrder> ReadEngineOrder(const HttpRequest& aRequest);

/// An error with the header that proves that the request has not run.
[[nodiscard]] HttpResponse NotRunResponse(int aStatus, std::string_view aType);

} // namespace toucanstand
