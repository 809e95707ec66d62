#pragma once

#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "crashes/SuspectArbiter.h"
#include "crashes/SuspectDelta.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Body of `run-ask`: an entry VM asks the arbiter for a grant to run a suspect.
struct RunGrantRequest
{
  RequestId request;
  /// State of the fingerprint on the entry VM.
  SuspectDelta known;
  ServerId server;
  /// The entry VM abandons the run after this time.
  Duration maxDuration{ 0 };
};

/// Body of `run-ended`: a granted run ended.
struct RunEndedMessage
{
  RequestId request;
  /// State of the fingerprint on the entry VM after the run.
  SuspectDelta known;
};

/// Maximum number of deltas in one `suspects` message. SuspectsToJson() omits the rest,
/// which the receiver gets only if a later message contains them.
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

/// The well-formed deltas of a `suspects` message; skips malformed ones.
[[nodiscard]] std::vector<SuspectDelta> SuspectsFromJson(const nlohmann::json& aBody);

} // namespace toucanstand
