#include "crashes/SuspectMessages.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

using nlohmann::json;

// In the order of RunGrant.
constexpr std::array<const char*, 4> kGrantNames = { "granted",
                                                     "wait",
                                                     "quarantined",
                                                     "clear" };

/// Parses the delta in the field "known"; empty when it is missing or malformed.
std::optional<SuspectDelta> ReadKnown(const json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("known")) {
    return std::nullopt;
  }
  return SuspectDeltaFromJson(aBody.at("known"));
}

/// Returns the body without the field "known", which ReadKnown() parses: SettingsReader
/// reports a field that it did not read as an error.
json WithoutKnown(json aBody)
{
  aBody.erase("known");
  return aBody;
}

} // namespace

json ToJson(const RunGrantRequest& aMessage)
{
  return { { "request", aMessage.request.Value() },
           { "known", ToJson(aMessage.known) },
           { "server", aMessage.server.Value() },
           { "longest_ms", ToMilliseconds(aMessage.maxDuration).count() } };
}

json ToJson(const RunEndedMessage& aMessage)
{
  return { { "request", aMessage.request.Value() }, { "known", ToJson(aMessage.known) } };
}

std::optional<RunGrantRequest> RunGrantRequestFromJson(const json& aBody)
{
  auto known = ReadKnown(aBody);
  if (!known) {
    return std::nullopt;
  }
  const json fields = WithoutKnown(aBody);
  SettingsReader reader(fields);
  RunGrantRequest message;
  message.request = RequestId(reader.Text("request"));
  message.server = ServerId(reader.Text("server"));
  message.maxDuration =
    reader.Milliseconds("longest_ms", Duration::zero(), std::chrono::hours(24));
  message.known = std::move(*known);
  reader.Finish();
  return reader.Errors().empty() ? std::optional(message) : std::nullopt;
}

std::optional<RunEndedMessage> RunEndedFromJson(const json& aBody)
{
  auto known = ReadKnown(aBody);
  if (!known) {
    return std::nullopt;
  }
  const json fields = WithoutKnown(aBody);
  SettingsReader reader(fields);
  RunEndedMessage message;
  message.request = RequestId(reader.Text("request"));
  message.known = std::move(*known);
  reader.Finish();
  return reader.Errors().empty() ? std::optional(message) : std::nullopt;
}

json ToJson(RunGrant aGrant)
{
  return { { "grant", kGrantNames.at(static_cast<std::size_t>(aGrant)) } };
}

std::optional<RunGrant> RunGrantFromJson(const json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("grant")) {
    return std::nullopt;
  }
  const auto& grant = aBody.at("grant");
  const auto found = std::ranges::find_if(
    kGrantNames, [&grant](const char* aName) { return grant == aName; });
  if (found == kGrantNames.end()) {
    return std::nullopt;
  }
  return static_cast<RunGrant>(found - kGrantNames.begin());
}

json SuspectsToJson(const std::vector<SuspectDelta>& aDeltas)
{
  json deltas = json::array();
  const auto count = std::min(aDeltas.size(), kMaxDeltasPerMessage);
  std::transform(aDeltas.begin(),
                 aDeltas.begin() + static_cast<std::ptrdiff_t>(count),
                 std::back_inserter(deltas),
                 [](const SuspectDelta& aDelta) { return ToJson(aDelta); });
  return { { "deltas", std::move(deltas) } };
}

std::vector<SuspectDelta> SuspectsFromJson(const json& aBody)
{
  std::vector<SuspectDelta> deltas;
  if (!aBody.is_object() || !aBody.contains("deltas") || !aBody.at("deltas").is_array() ||
      aBody.at("deltas").size() > kMaxDeltasPerMessage) {
    return deltas;
  }
  for (const auto& item : aBody.at("deltas")) {
    if (auto delta = SuspectDeltaFromJson(item)) {
      deltas.push_back(std::move(*delta));
    }
  }
  return deltas;
}

} // namespace toucanstand
