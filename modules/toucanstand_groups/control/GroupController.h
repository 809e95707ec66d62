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
  /// No order takes effect later than this after the record was last confirmed.
  Duration orderLifetime = std::chrono::seconds(5);
  /// How long a read record may be acted on, and the time gap after which everything held
  /// is dropped.
  Duration recordValidity = std::chrono::seconds(2);
  /// How long a server may be unseen before its group is repaired. Longer than the
  /// permission to serve, so that a short pause costs no weight load.
  Duration lossTimeout = std::chrono::seconds(3);
  /// How long a leaving server's group may finish its work.
  Duration drainTimeout = std::chrono::minutes(10);
  Duration storeTimeout = std::chrono::seconds(2);
  /// How often an idle controller reads the record: a controller that did not know yet
  /// that it lost the lease may have written it.
  Duration refreshPeriod = std::chrono::seconds(10);
  Duration orderRetryInterval = std::chrono::seconds(1);
  /// Pause before an order that the server reports as taken is sent again; until then it
  /// may be loading weights.
  Duration acceptedOrderRetryInterval = std::chrono::minutes(10);
  /// Orders refused in a row after which a server counts as unusable for refusalBackoff.
  std::uint32_t refusalLimit = 5;
  Duration refusalBackoff = std::chrono::seconds(60);
  /// The domain's share of the weight store's rate; 0 means unlimited.
  double weightBytesPerSecond = 0;
};

/// Counts of a controller since its start.
struct GroupControllerCounters
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  /// Writes without a reply, and how many of them had taken effect.
  std::uint64_t unknownWrites = 0;
  std::uint64_t resolvedWrites = 0;
  std::uint64_t orders = 0;
  std::uint64_t staleOrders = 0;
  std::uint64_t refusedOrders = 0;
  std::uint64_t timeGaps = 0;
  std::uint64_t rejectedRecords = 0;
  std::uint64_t takeOvers = 0;
};

/// Forms the replica groups of one fabric domain.
///
/// Safety rests on the record alone: each change is a conditional write, and an order is
/// sent only if it is in a record that was confirmed less than `validity` ago. After it
/// gets the lease, the controller first writes its nonce into the record. From then on an
/// earlier holder finds its writes in conflict and its next read showing another nonce.
/// Orders that the earlier holder sent before end within `orderLifetime` of this write;
/// servers that ignore fencing numbers get orders only after that, and only once their
/// state has been observed after that.
class GroupController
{
public:
  /// @param aNonce unique for each run of a controller.
  GroupController(GroupControllerSettings aSettings,
                  std::unique_ptr<PlanningStrategy> aStrategy,
                  std::string aNonce);

  /// Takes an event and returns what to do. Time must not go back.
  [[nodiscard]] std::vector<ControllerAction> Handle(const ControllerEvent& aEvent,
                                                     TimePoint aNow);

  [[nodiscard]] bool HoldsLease() const { return this->leaseHeld; }

  /// The record as last confirmed, and its revision; nothing when none is held.
  [[nodiscard]] const DomainRecord* Record() const;
  [[nodiscard]] std::int64_t Revision() const;

  [[nodiscard]] const GroupControllerCounters& Counters() const { return this->counters; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct ConfirmedRecord
  {
    DomainRecord record;
    std::int64_t revision = 0;
    /// When the request whose reply confirmed it was sent.
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
    /// When it can no longer take effect, whether it was answered or not: a copy of it
    /// may still be on its way.
    TimePoint expiresAt{};
  };
  struct KnownServer
  {
    BackendServer server;
    /// The last observation in which it was reachable.
    std::optional<Observation> lastObservation;
    std::optional<SentOrder> lastOrder;
    std::uint32_t consecutiveRefusals = 0;
    /// The fencing number that it called stale; an order with it needs a new one.
    std::int64_t staleFence = 0;
    TimePoint unusableUntil{};
    /// Since when it leaves with work in flight.
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
  void ResetState();
  void ExpireRequests(TimePoint aNow);
  void AdoptRecord(const RecordReadReply& aEvent, TimePoint aSentAt, TimePoint aNow);
  void AdoptCommittedWrite(PendingWrite aWrite, std::int64_t aRevision, TimePoint aNow);
  void StepDown();
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
  /// Whether the record holds this controller's nonce since it got the lease.
  bool takenOver = false;
  /// Until when orders of an earlier controller may still take effect.
  TimePoint priorOrdersExpireAt{};
  std::optional<TimePoint> lastEventAt;
  std::optional<ConfirmedRecord> confirmed;
  std::optional<PendingRead> pendingRead;
  std::optional<PendingWrite> pendingWrite;
  /// A write without a reply; the next read tells whether it took effect.
  std::optional<PendingWrite> unresolvedWrite;
  TimePoint earliestReadAt{};
  /// A write without a reply was not found by reading back and may still arrive. Writing
  /// the record once more changes its revision, after which it no longer can.
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
