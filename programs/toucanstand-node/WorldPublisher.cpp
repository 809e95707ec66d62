#include "WorldPublisher.h"

#include <nlohmann/json.hpp>

#include "observation/WorldViewText.h"

namespace toucanstand {

namespace {

/// Everything in a view that a subscriber must learn at once.
std::string Essence(const WorldView& aView)
{
  std::string essence = aView.mayServe ? "serve " : "refuse ";
  essence += std::to_string(aView.configurationRevision);
  for (const auto& candidate : aView.candidates) {
    essence.append(" ").append(candidate.id).append("/");
    essence += std::to_string(candidate.generation);
  }
  for (const auto& entry : aView.quarantine) {
    essence += " " + std::to_string(entry.fingerprint);
  }
  for (const auto& vm : aView.liveEntryVms) {
    essence.append(" ").append(vm.id.Value());
  }
  return essence;
}

} // namespace

WorldPublisher::WorldPublisher(MessagePort& aPort, Duration aInterval)
  : port(aPort)
  , interval(aInterval)
{
}

bool WorldPublisher::Subscribe(const Endpoint& aSubscriber, TimePoint aNow)
{
  std::erase_if(this->subscribers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kSubscription;
  });
  if (this->subscribers.size() >= kMaximumSubscribers &&
      !this->subscribers.contains(aSubscriber)) {
    return false;
  }
  this->subscribers[aSubscriber] = aNow;
  return true;
}

bool WorldPublisher::IsDue(TimePoint aNow) const
{
  return aNow - this->publishedAt >= this->interval;
}

void WorldPublisher::Publish(const WorldView& aView, TimePoint aNow)
{
  auto essence = Essence(aView);
  if (essence == this->published && !this->IsDue(aNow)) {
    return;
  }
  this->published = std::move(essence);
  this->publishedAt = aNow;
  if (!this->subscribers.empty()) {
    this->SendToAll("world", WorldViewToJson(aView, aNow));
  }
}

void WorldPublisher::SendToAll(const std::string& aType,
                               const nlohmann::json& aBody,
                               const Endpoint& aExcept)
{
  for (const auto& [endpoint, time] : this->subscribers) {
    if (endpoint != aExcept) {
      this->port.Send(endpoint, aType, aBody);
    }
  }
}

bool WorldPublisher::IsSubscriber(const Endpoint& aEndpoint) const
{
  return this->subscribers.contains(aEndpoint);
}

} // namespace toucanstand
