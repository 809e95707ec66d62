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

/// Phase in the life cycle of a replica group.
enum class GroupPhase
{
  Forming,
  Active,
  /// The head finishes its requests before it leaves.
  Closing,
  /// The head must leave before the members may join other groups.
  Retiring,
  /// The members that have left may join other groups; once the head has left, all may.
  Dissolved,
};

/// Name of a phase for logs and state dumps.
[[nodiscard]] const char* Name(GroupPhase aPhase);

/// State that the lease holder keeps of one group.
struct GroupRecord
{
  Generation generation = 0;
  std::string model;
  std::size_t size = 1;
  GroupPhase phase = GroupPhase::Active;
  TimePoint phaseEnteredAt{};
  /// Set once the head was observed or this process formed the group.
  ServerId head;
  Endpoint headEndpoint;
  ZoneId zone;
  /// Its zone is evacuated: the group gets no orders and does not count.
  bool isEvacuated = false;
  /// Members in order of rank; those of an adopted group that are known.
  std::vector<ServerId> members;
  std::map<ServerId, Endpoint> endpoints;
  /// All members are known, and all were ready.
  bool wasComplete = false;
  /// Maximum time that a closing group may take to finish its requests.
  Duration drainTimeout{ 0 };
  /// It closes because of its head or a member, so that requests may go on elsewhere.
  bool hasLostMember = false;
  /// The model that the engines are reassigned to; empty otherwise. Until the group is
  /// dissolved, the free engines of its domain are reserved for that model.
  std::string reassignedTo;
  DomainId domain;
  /// The head has answered that it has left, is registered outside the group, or its
  /// process has ended.
  bool headHasLeft = false;
  /// When the last reachable member left while the head did not answer. Start of the wait
  /// until the head has abandoned its requests.
  std::optional<TimePoint> membersLeftAt;
  /// When the last order for this group was sent to each engine.
  std::map<ServerId, TimePoint> orderedAt;
  /// Engines that may still execute an unanswered order to join, even after they have
  /// left.
  std::set<ServerId> unansweredJoins;

  /// Whether its engines are being reassigned to another model.
  [[nodiscard]] bool IsBeingReassigned() const
  {
    return !this->reassignedTo.empty() && this->phase != GroupPhase::Dissolved;
  }
};

/// Id of a group, made of its model and generation.
[[nodiscard]] GroupId GroupIdFor(const std::string& aModel, Generation aGeneration);

/// The model part of an id made by GroupIdFor(); empty when the id has another form.
[[nodiscard]] std::string ModelOfGroup(const GroupId& aGroup);

} // namespace toucanstand
