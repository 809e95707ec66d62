#include "EngineState.h"

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

constexpr double kMostRequests = 1e6;

/// A number of requests; implausible values count as none.
double Requests(const nlohmann::json& aState, const char* aKey)
{
  const auto found = aState.find(aKey);
  if (found == aState.end() || !found->is_number()) {
    return 0;
  }
  const auto value = found->get<double>();
  return value >= 0 && value <= kMostRequests ? value : 0;
}

} // namespace

std::optional<Observation> ReadEngineState(const ServerId& aServer,
                                           const std::string& aBody,
                                           TimePoint aObservedAt)
{
  const auto state = DecodeJson(aBody);
  if (!state || !state->is_object()) {
    return std::nullopt;
  }
  const auto isType = [&state](const char* aKey, bool (nlohmann::json::*aIs)() const) {
    const auto found = state->find(aKey);
    return found != state->end() && ((*found).*aIs)();
  };
  const auto isWhole = [&state](const char* aKey) {
    const auto found = state->find(aKey);
    return found != state->end() && found->is_number_integer();
  };
  using Json = nlohmann::json;
  if (!isType("server", &Json::is_string) || !isType("group", &Json::is_string) ||
      !isType("leaving", &Json::is_boolean) || !isWhole("generation") ||
      !isWhole("fence") || (*state)["server"] != aServer.Value()) {
    return std::nullopt;
  }
  Observation observation;
  observation.server = aServer;
  observation.reachable = true;
  observation.group = GroupId((*state)["group"].get<std::string>());
  observation.generation = (*state)["generation"].get<Generation>();
  observation.fence = (*state)["fence"].get<std::int64_t>();
  observation.leaving = (*state)["leaving"].get<bool>();
  observation.load.running = Requests(*state, "running");
  observation.load.queued = Requests(*state, "queued");
  observation.load.receivedAt = aObservedAt;
  observation.observedAt = aObservedAt;
  return observation;
}

} // namespace toucanstand
