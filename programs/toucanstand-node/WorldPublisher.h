#pragma once

#include <map>
#include <string>

#include "messages/MessagePort.h"
#include "observation/WorldView.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Processes of this VM that get snapshots and the configuration.
class WorldPublisher
{
public:
  static constexpr std::size_t kMaximumSubscribers = 64;
  /// Subscriptions are repeated every second; one that is not ends after this.
  static constexpr Duration kSubscription = std::chrono::seconds(5);

  /// @param aPort must outlive the publisher
  WorldPublisher(MessagePort& aPort, Duration aInterval);

  /// @returns false when there are too many subscribers
  bool Subscribe(const Endpoint& aSubscriber, TimePoint aNow);

  /// Whether a snapshot is due for the time since the last one.
  [[nodiscard]] bool IsDue(TimePoint aNow) const;

  /// Sends the snapshot when it is due or differs in more than load and age from the last
  /// one.
  void Publish(const WorldView& aView, TimePoint aNow);

  /// Sends a message to each subscriber except one.
  void SendToAll(const std::string& aType,
                 const nlohmann::json& aBody,
                 const Endpoint& aExcept = {});

  [[nodiscard]] bool IsSubscriber(const Endpoint& aEndpoint) const;
  [[nodiscard]] std::size_t Subscribers() const { return this->subscribers.size(); }

private:
  MessagePort& port;
  Duration interval;
  std::map<Endpoint, TimePoint> subscribers;
  TimePoint publishedAt{};
  std::string published;
};

} // namespace toucanstand
