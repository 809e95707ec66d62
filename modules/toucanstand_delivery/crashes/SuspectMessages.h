#pragma once

#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "crashes/SuspectArbiter.h"
#include "crashes/SuspectDelta.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Body of `run-ask`: an entry VM asks the arbiter to run a suspect.
struct RunGrantRequest
{
  RequestId request;
  SuspectDelta known;
  ServerId server;
  /// After this the entry VM abandons the run.
  Duration maxDuration{ 0 };
};

/// Body of `run-ended`: a granted run ended.
struct RunEndedMessage
{
  RequestId request;
  SuspectDelta known;
};

/// Deltas of one `suspects` message; above this the rest is cut off and sent later.
inline constexpr std::size_t kMaxDeltasPerMessage = 1000;

[[nodiscard]] nlohmann::json ToJson(const RunGrantRequest& aMessage);
[[nodiscard]] nlohmann::json ToJson(const RunEndedMessage& aMessage);

/// Nothing when a field is missing, has the wrong type or exceeds its bound.
[[nodiscard]] std::optional<RunGrantRequest> RunGrantRequestFromJson(
  const nlohmann::json& aBody);
[[nodiscard]] std::optional<RunEndedMessage> RunEndedFromJson(
  const nlohmann::json& aBody);

/// Body of `run-grant`.
[[nodiscard]] nlohmann::json ToJson(RunGrant aGrant);
[[nodiscard]] std::optional<RunGrant> RunGrantFromJson(const nlohmann::json& aBody);

/// Body of `suspects`.
[[nodiscard]] nlohmann::json SuspectsToJson(const std::vector<SuspectDelta>& aDeltas);

/// Well-formed deltas of a `suspects` message; malformed ones are left out.
[[nodiscard]] std::vector<SuspectDelta> SuspectsFromJson(const nlohmann::json& aBody);

} // namespace toucanstand
