#pragma once

#include <optional>

#include "attempts/AttemptFailure.h"
#include "http/HttpClient.h"
#include "routing/RouteQuery.h"

namespace toucanstand {

/// Converts an HTTP client failure into the failure of the attempt. A timeout while
/// waiting for the answer counts as a broken connection; the caller has to determine
/// whether the server or only the connection was silent.
[[nodiscard]] AttemptFailure ToAttemptFailure(HttpFailure aFailure);

/// Converts the failure of an attempt into the outcome that the Router records for the
/// candidate. @param aSilenceOutcome outcome of a silent connection, which depends on
/// whether requests share connections
[[nodiscard]] RouteOutcome ToRouteOutcome(AttemptFailure aFailure,
                                          RouteOutcome aSilenceOutcome);

} // namespace toucanstand
