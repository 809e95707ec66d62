#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "acceptance/AcceptanceTracker.h"
#include "isolation/IsolationDetector.h"
#include "machines/PlatformList.h"
#include "members/MembershipAction.h"
#include "replica/ConfigurationReplica.h"

namespace toucanstand {

/// The configuration in force on this node, its acceptance, and whether the node may
/// serve.
class NodeConfiguration
{
public:
  NodeConfiguration(Vm aSelf, const std::vector<Vm>& aSeeds, TimePoint aNow);

  /// Takes over a text from the store or a peer when it is newer.
  OfferOutcome Offer(std::string_view aText, TimePoint aNow);

  /// The store answered a read. @param aText unset when it holds no configuration
  void StoreAnswered(TimePoint aAskedAt,
                     const std::optional<std::string>& aText,
                     TimePoint aNow);

  void OnPeer(const PeerMessageReceived& aPeer, TimePoint aNow);
  void SetPlatform(const PlatformList& aList);

  /// Counts confirmations again.
  void Update(TimePoint aNow);

  [[nodiscard]] const ConfigurationReplica& Replica() const { return this->replica; }
  [[nodiscard]] const IsolationDetector& Contact() const { return this->isolation; }
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Peer
  {
    std::int64_t revision = 0;
    TimePoint heardAt{};
  };

  void SetQuorum(const std::vector<VmId>& aPlatform);

  Vm self;
  std::vector<VmId> settingsList;
  ConfigurationReplica replica;
  IsolationDetector isolation;
  AcceptanceTracker acceptance;
  std::map<VmId, Peer> peers;
};

} // namespace toucanstand
