#pragma once

#include <optional>

#include "attempts/AttemptFailure.h"
#include "http/HttpClient.h"
#include "routing/RouteQuery.h"

namespace toucanstand {

/// How an exchange that failed ended the attempt. A silence counts as a break: whether
/// the server or only the connection was silent is for the caller to find out.
[[nodiscard]] AttemptFailure ToAttemptFailure(HttpFailure aFailure);

/// What a failed attempt says about its candidate. @param aSilenceOutcome what a silent
/// connection says, which depends on whether connections are shared
[[nodiscard]] RouteOutcome ToRouteOutcome(AttemptFailure aFailure,
                                          RouteOutcome aSilenceOutcome);

} // namespace toucanstand
