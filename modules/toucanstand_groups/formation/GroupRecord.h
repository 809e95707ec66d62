#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How far a replica group is in its life.
enum class GroupPhase
{
  Forming,
  Active,
  /// Finishes its work before the head leaves.
  Closing,
  /// The head must leave before the members may be used again.
  Retiring,
  /// The members may be used again.
  Dissolved,
};

/// Name of a phase for logs and state dumps.
[[nodiscard]] const char* Name(GroupPhase aPhase);

/// What the holder of the lease knows of one group.
struct GroupRecord
{
  /// Longest time that a group with a leaving member finishes its work; the member exits
  /// as soon as 2 s after it announced that it leaves.
  static constexpr Duration kDefaultDrainTimeout = std::chrono::milliseconds(1500);

  Generation generation = 0;
  std::string model;
  std::size_t size = 1;
  GroupPhase phase = GroupPhase::Active;
  TimePoint phaseEnteredAt{};
  /// Known once the head was seen or the group was formed here.
  ServerId head;
  Endpoint headEndpoint;
  /// Members by rank; for an adopted group known once it was seen complete.
  std::vector<ServerId> members;
  std::map<ServerId, Endpoint> endpoints;
  bool wasComplete = false;
  Duration drainTimeout = kDefaultDrainTimeout;
  /// Set while the group is dissolved for the sake of another model: until then the
  /// free engines of its domain are kept for that model.
  std::string reassignedTo;
  DomainId domain;
  /// Set once no member is left in the group of a head that does not answer.
  std::optional<TimePoint> membersLeftAt;
  /// When each engine got its last order on this group.
  std::map<ServerId, TimePoint> orderedAt;
  /// Engines that may still carry out an order to join, also after they have left.
  std::set<ServerId> unansweredJoins;

  /// Its engines are on their way to another model.
  [[nodiscard]] bool IsBeingReassigned() const
  {
    return !this->reassignedTo.empty() && this->phase != GroupPhase::Dissolved;
  }
};

/// Id of a group that runs a model.
[[nodiscard]] GroupId GroupIdFor(const std::string& aModel, Generation aGeneration);

/// The model that a group's id names; empty when the id is not one of GroupIdFor().
[[nodiscard]] std::string ModelOfGroup(const GroupId& aGroup);

} // namespace toucanstand
