#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "control/ControllerMessages.h"
#include "planning/PlanningStrategy.h"
#include "planning/WeightBudget.h"
#include "records/DomainRecord.h"

namespace toucanstand {

struct GroupControllerSettings
{
  DomainId domain;
  std::vector<PoolTarget> pools;
  /// Deadline of an order, counted from the last confirmation of the record.
  Duration orderLifetime = std::chrono::seconds(5);
  /// How long a confirmed record may be acted on. After a longer gap between events the
  /// controller discards the record and all observations and releases its lease.
  Duration recordValidity = std::chrono::seconds(2);
  /// How long a server may go unobserved before its group is repaired. Longer than the
  /// permission to serve, so that a short pause does not cause weights to be loaded.
  Duration lossTimeout = std::chrono::seconds(3);
  /// Maximum time that the group of a leaving server may take to finish its work.
  Duration drainTimeout = std::chrono::minutes(10);
  Duration storeTimeout = std::chrono::seconds(2);
  /// How often an idle controller reads the record again: a former lease holder that has
  /// not noticed the loss of its lease may have written it.
  Duration refreshPeriod = std::chrono::seconds(10);
  Duration orderRetryInterval = std::chrono::seconds(1);
  /// Retry interval of an order whose fencing token the server already reports; the
  /// server may be loading weights meanwhile.
  Duration acceptedOrderRetryInterval = std::chrono::minutes(10);
  /// Consecutive refused or stale orders after which a server counts as unusable for
  /// `refusalBackoff`.
  std::uint32_t refusalLimit = 5;
  Duration refusalBackoff = std::chrono::seconds(60);
  /// The domain's share of the weight store's rate; 0 means unlimited.
  double weightBytesPerSecond = 0;
};

/// Event counts of a controller since its start.
struct GroupControllerCounters
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  /// Writes without a reply, and how many of them a later read found to be committed.
  std::uint64_t unknownWrites = 0;
  std::uint64_t resolvedWrites = 0;
  std::uint64_t orders = 0;
  std::uint64_t staleOrders = 0;
  std::uint64_t refusedOrders = 0;
  std::uint64_t timeGaps = 0;
  std::uint64_t rejectedRecords = 0;
  std::uint64_t takeOvers = 0;
};

/// Forms and repairs the replica groups of one fabric domain.
///
/// Safety depends only on the record, not on the lease: each change is a conditional
/// write, and an order is sent only if it is in a record that was confirmed less than
/// `recordValidity` ago. After acquiring the lease, the controller first writes its nonce
/// into the record. From then on the writes of a former lease holder conflict, and its
/// next read shows another nonce. Orders sent by the former holder expire within
/// `orderLifetime` of this write. A server that ignores fencing tokens gets orders only
/// once these have expired and the server has been observed since.
class GroupController
{
public:
  /// @param aNonce identifies one run of a controller and must be unique.
  GroupController(GroupControllerSettings aSettings,
                  std::unique_ptr<PlanningStrategy> aStrategy,
                  std::string aNonce);

  /// Processes an event and returns the actions to perform. @p aNow must not decrease.
  [[nodiscard]] std::vector<ControllerAction> Handle(const ControllerEvent& aEvent,
                                                     TimePoint aNow);

  [[nodiscard]] bool HoldsLease() const { return this->leaseHeld; }

  /// The record as last confirmed, or null when there is none, and its revision, or 0.
  [[nodiscard]] const DomainRecord* Record() const;
  [[nodiscard]] std::int64_t Revision() const;

  [[nodiscard]] const GroupControllerCounters& Counters() const { return this->counters; }

  /// State of the lease, the counters and the record as JSON, for state dumps.
  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct ConfirmedRecord
  {
    DomainRecord record;
    std::int64_t revision = 0;
    /// Send time of the request whose reply confirmed the record.
    TimePoint confirmedAt{};
  };
  struct PendingRead
  {
    std::uint64_t requestId = 0;
    TimePoint sentAt{};
  };
  struct PendingWrite
  {
    std::uint64_t requestId = 0;
    DomainRecord record;
    std::uint64_t weightBytes = 0;
    TimePoint sentAt{};
  };
  /// The last order sent to a server.
  struct SentOrder
  {
    std::int64_t fence = 0;
    TimePoint sentAt{};
    /// When it can no longer be applied. Holds even after a reply, because a duplicate of
    /// the request may still be in flight.
    TimePoint expiresAt{};
  };
  struct KnownServer
  {
    BackendServer server;
    /// The latest observation in which the server was reachable.
    std::optional<Observation> lastObservation;
    std::optional<SentOrder> lastOrder;
    std::uint32_t consecutiveRefusals = 0;
    /// The fencing token that the server rejected as stale; an order with this token
    /// needs a new one.
    std::int64_t staleFence = 0;
    TimePoint unusableUntil{};
    /// When the server was first known to be leaving; start of the drain timeout.
    std::optional<TimePoint> drainingSince;
  };

  void On(const LeaseGained& aEvent, TimePoint aNow);
  void On(const LeaseLost& aEvent, TimePoint aNow);
  void On(const RecordReadReply& aEvent, TimePoint aNow);
  void On(const WriteReply& aEvent, TimePoint aNow);
  void On(const ObservationsChanged& aEvent, TimePoint aNow);
  void On(const OrderReply& aEvent, TimePoint aNow);
  void On(const Tick& aEvent, TimePoint aNow);

  void DetectTimeGap(TimePoint aNow);
  /// Discards the record, the observations and all requests in progress.
  void ResetState();
  /// Treats store requests that exceed `storeTimeout` as unanswered.
  void ExpireRequests(TimePoint aNow);
  /// Accepts a record that was read, or releases the lease if it can't be used.
  void AdoptRecord(const RecordReadReply& aEvent, TimePoint aSentAt, TimePoint aNow);
  void AdoptCommittedWrite(PendingWrite aWrite, std::int64_t aRevision, TimePoint aNow);
  /// Resets the state and releases the lease.
  void StepDown();
  /// Emits the next read, write or orders that the present state calls for.
  void StartNextStep(TimePoint aNow);
  void StartRead(TimePoint aNow);
  void StartWrite(DomainRecord aRecord, std::uint64_t aWeightBytes, TimePoint aNow);
  bool WritePlan(TimePoint aNow);
  void SendOrders(TimePoint aNow);
  [[nodiscard]] bool IsOrderDue(const KnownServer& aServer,
                                const PendingOrder& aOrder,
                                const ReplicaGroup& aGroup,
                                TimePoint aNow) const;
  [[nodiscard]] bool WasSeenRecently(const KnownServer& aServer, TimePoint aNow) const;
  [[nodiscard]] bool MayPlan(TimePoint aNow) const;
  /// Clears fencing tokens that servers rejected, so that the next write assigns new
  /// ones.
  void ClearStaleFences(DomainRecord& aRecord) const;
  [[nodiscard]] PlanningInput MakePlanningInput(TimePoint aNow) const;
  [[nodiscard]] PlannedServer ToPlannedServer(const KnownServer& aServer,
                                              TimePoint aNow) const;

  GroupControllerSettings settings;
  std::unique_ptr<PlanningStrategy> strategy;
  std::string nonce;
  WeightBudget budget;
  GroupControllerCounters counters;

  bool leaseHeld = false;
  /// Whether this controller has written its nonce into the record since it acquired the
  /// lease.
  bool takenOver = false;
  /// Until this time, orders of an earlier controller may still be applied.
  TimePoint priorOrdersExpireAt{};
  std::optional<TimePoint> lastEventAt;
  std::optional<ConfirmedRecord> confirmed;
  std::optional<PendingRead> pendingRead;
  std::optional<PendingWrite> pendingWrite;
  /// A write without a reply; the next read shows whether it was committed.
  std::optional<PendingWrite> unresolvedWrite;
  TimePoint earliestReadAt{};
  /// A write without a reply was not found by reading back and may still be applied.
  /// Writing the record once more changes its revision, so that the late write conflicts.
  bool mustInvalidateLateWrite = false;
  TimePoint leaseGainedAt{};
  /// Whether anything changed since the last plan.
  bool planDue = false;
  std::uint32_t consecutiveConflicts = 0;
  std::uint64_t lastRequestId = 0;
  std::uint64_t lastWriteNumber = 0;
  std::map<ServerId, KnownServer> servers;
  std::vector<ControllerAction> actions;
};

} // namespace toucanstand
