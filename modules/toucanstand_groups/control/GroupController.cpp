#include "control/GroupController.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Delay after a failed read, so that the controller does not send reads continuously
/// during an outage of the store.
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(500);

/// After this many consecutive conflicts another controller is assumed to be writing the
/// record.
constexpr std::uint32_t kMaxConsecutiveConflicts = 5;

} // namespace

GroupController::GroupController(GroupControllerSettings aSettings,
                                 std::unique_ptr<PlanningStrategy> aStrategy,
                                 std::string aNonce)
  : settings(std::move(aSettings))
  , strategy(std::move(aStrategy))
  , nonce(std::move(aNonce))
  , budget(this->settings.weightBytesPerSecond)
{
}

std::vector<ControllerAction> GroupController::Handle(const ControllerEvent& aEvent,
                                                      TimePoint aNow)
{
  this->actions.clear();
  this->DetectTimeGap(aNow);
  this->ExpireRequests(aNow);
  std::visit([this, aNow](const auto& aKind) { this->On(aKind, aNow); }, aEvent);
  this->StartNextStep(aNow);
  return std::exchange(this->actions, {});
}

const DomainRecord* GroupController::Record() const
{
  return this->confirmed ? &this->confirmed->record : nullptr;
}

std::int64_t GroupController::Revision() const
{
  return this->confirmed ? this->confirmed->revision : 0;
}

void GroupController::On(const LeaseGained& /*aEvent*/, TimePoint aNow)
{
  this->ResetState();
  this->leaseHeld = true;
  this->leaseGainedAt = aNow;
}

void GroupController::On(const LeaseLost& /*aEvent*/, TimePoint /*aNow*/)
{
  this->ResetState();
  this->leaseHeld = false;
}

void GroupController::On(const RecordReadReply& aEvent, TimePoint aNow)
{
  if (!this->pendingRead || this->pendingRead->requestId != aEvent.requestId) {
    return;
  }
  const auto sentAt = this->pendingRead->sentAt;
  this->pendingRead.reset();
  if (!aEvent.answered) {
    this->earliestReadAt = aNow + kReadRetryDelay;
    return;
  }
  this->AdoptRecord(aEvent, sentAt, aNow);
}

void GroupController::On(const WriteReply& aEvent, TimePoint aNow)
{
  if (!this->pendingWrite || this->pendingWrite->requestId != aEvent.requestId) {
    return;
  }
  auto write = std::move(*this->pendingWrite);
  this->pendingWrite.reset();
  if (aEvent.outcome == WriteOutcome::Committed) {
    this->AdoptCommittedWrite(std::move(write), aEvent.revision, aNow);
    return;
  }
  if (aEvent.outcome == WriteOutcome::Unknown) {
    ++this->counters.unknownWrites;
    this->unresolvedWrite = std::move(write);
    return;
  }
  ++this->counters.conflicts;
  this->confirmed.reset();
  if (++this->consecutiveConflicts >= kMaxConsecutiveConflicts) {
    this->StepDown();
  }
}

void GroupController::On(const ObservationsChanged& aEvent, TimePoint /*aNow*/)
{
  std::unordered_set<ServerId> listed;
  for (const auto& server : aEvent.servers) {
    if (server.domain != this->settings.domain || server.kind != ServerKind::Engine) {
      continue;
    }
    listed.insert(server.id);
    auto& known = this->servers[server.id];
    // A leaving server never returns, and the list may lag behind the server's own
    // report.
    const bool leaving = known.server.leaving || server.leaving;
    known.server = server;
    known.server.leaving = leaving;
  }
  std::erase_if(this->servers,
                [&listed](const auto& aPair) { return !listed.contains(aPair.first); });
  for (const auto& observation : aEvent.observations) {
    const auto found = this->servers.find(observation.server);
    if (found == this->servers.end() || !observation.reachable) {
      continue;
    }
    auto& known = found->second;
    known.server.leaving = known.server.leaving || observation.leaving;
    if (!known.lastObservation ||
        known.lastObservation->observedAt <= observation.observedAt) {
      known.lastObservation = observation;
    }
  }
  this->planDue = true;
}

void GroupController::On(const OrderReply& aEvent, TimePoint aNow)
{
  const auto found = this->servers.find(aEvent.server);
  if (found == this->servers.end() || !found->second.lastOrder ||
      found->second.lastOrder->fence != aEvent.fence ||
      aEvent.outcome == OrderOutcome::Unknown) {
    return;
  }
  auto& known = found->second;
  if (aEvent.outcome == OrderOutcome::Accepted) {
    known.consecutiveRefusals = 0;
    return;
  }
  if (aEvent.outcome == OrderOutcome::Stale) {
    ++this->counters.staleOrders;
    known.staleFence = aEvent.fence;
    this->planDue = true;
  } else {
    ++this->counters.refusedOrders;
  }
  if (++known.consecutiveRefusals >= this->settings.refusalLimit) {
    known.consecutiveRefusals = 0;
    known.unusableUntil = aNow + this->settings.refusalBackoff;
    this->planDue = true;
  }
}

void GroupController::On(const Tick& /*aEvent*/, TimePoint aNow)
{
  for (auto& [id, known] : this->servers) {
    if (known.server.leaving && !known.drainingSince) {
      known.drainingSince = aNow;
    }
  }
}

void GroupController::DetectTimeGap(TimePoint aNow)
{
  const bool gap =
    this->lastEventAt && aNow - *this->lastEventAt > this->settings.recordValidity;
  this->lastEventAt = aNow;
  if (!gap) {
    return;
  }
  ++this->counters.timeGaps;
  if (this->leaseHeld) {
    this->StepDown();
  }
  this->ResetState();
}

void GroupController::ResetState()
{
  this->takenOver = false;
  this->priorOrdersExpireAt = {};
  this->confirmed.reset();
  this->pendingRead.reset();
  this->pendingWrite.reset();
  this->unresolvedWrite.reset();
  this->earliestReadAt = {};
  this->mustInvalidateLateWrite = false;
  this->consecutiveConflicts = 0;
  this->servers.clear();
}

void GroupController::ExpireRequests(TimePoint aNow)
{
  const auto timeout = this->settings.storeTimeout;
  if (this->pendingRead && aNow - this->pendingRead->sentAt > timeout) {
    this->pendingRead.reset();
  }
  if (this->pendingWrite && aNow - this->pendingWrite->sentAt > timeout) {
    ++this->counters.unknownWrites;
    this->unresolvedWrite = std::exchange(this->pendingWrite, std::nullopt);
  }
}

void GroupController::AdoptRecord(const RecordReadReply& aEvent,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  DomainRecord record;
  record.domain = this->settings.domain;
  if (aEvent.revision != 0) {
    auto parsed = ParseDomainRecord(aEvent.text, aEvent.revision);
    if (!parsed || parsed->domain != this->settings.domain) {
      // A controller of another version may be able to read the record, so it must not be
      // overwritten.
      ++this->counters.rejectedRecords;
      this->StepDown();
      return;
    }
    record = std::move(*parsed);
  }
  const bool isOwn = record.controller == this->nonce;
  if (this->unresolvedWrite) {
    auto write = std::move(*this->unresolvedWrite);
    this->unresolvedWrite.reset();
    if (isOwn && record.writeNumber == write.record.writeNumber) {
      ++this->counters.resolvedWrites;
      write.sentAt = aSentAt;
      this->AdoptCommittedWrite(std::move(write), aEvent.revision, aNow);
      return;
    }
    this->mustInvalidateLateWrite = true;
  }
  if (this->takenOver && !isOwn) {
    this->StepDown();
    return;
  }
  this->confirmed = ConfirmedRecord{ std::move(record), aEvent.revision, aSentAt };
  this->planDue = true;
}

void GroupController::AdoptCommittedWrite(PendingWrite aWrite,
                                          std::int64_t aRevision,
                                          TimePoint aNow)
{
  AssignFences(aWrite.record, aRevision);
  this->confirmed = ConfirmedRecord{ std::move(aWrite.record), aRevision, aWrite.sentAt };
  this->budget.AddLoad(aWrite.weightBytes, aNow);
  this->consecutiveConflicts = 0;
  this->mustInvalidateLateWrite = false;
  this->planDue = true;
  if (!this->takenOver) {
    this->takenOver = true;
    ++this->counters.takeOvers;
    // An earlier controller can have confirmed the record only before this write, so its
    // orders expire within `orderLifetime` from now.
    this->priorOrdersExpireAt = aNow + this->settings.orderLifetime;
  }
}

void GroupController::StepDown()
{
  this->ResetState();
  this->leaseHeld = false;
  this->actions.emplace_back(ReleaseLease{});
}

void GroupController::StartNextStep(TimePoint aNow)
{
  if (!this->leaseHeld || this->pendingRead || this->pendingWrite) {
    return;
  }
  if (!this->confirmed || this->unresolvedWrite ||
      aNow - this->confirmed->confirmedAt >= this->settings.refreshPeriod) {
    this->StartRead(aNow);
    return;
  }
  if (!this->takenOver || this->mustInvalidateLateWrite) {
    this->StartWrite(this->confirmed->record, 0, aNow);
    return;
  }
  if (!this->WritePlan(aNow)) {
    this->SendOrders(aNow);
  }
}

void GroupController::StartRead(TimePoint aNow)
{
  if (aNow < this->earliestReadAt) {
    return;
  }
  ++this->counters.reads;
  this->pendingRead = PendingRead{ ++this->lastRequestId, aNow };
  this->actions.emplace_back(ReadRecord{ this->lastRequestId });
}

void GroupController::StartWrite(DomainRecord aRecord,
                                 std::uint64_t aWeightBytes,
                                 TimePoint aNow)
{
  aRecord.controller = this->nonce;
  aRecord.writeNumber = ++this->lastWriteNumber;
  auto text = FormatDomainRecord(aRecord);
  if (text.size() > DomainRecord::kMaximumBytes || FindRecordError(aRecord)) {
    ++this->counters.rejectedRecords;
    return;
  }
  ++this->counters.writes;
  this->actions.emplace_back(
    WriteRecord{ ++this->lastRequestId, this->confirmed->revision, std::move(text) });
  this->pendingWrite =
    PendingWrite{ this->lastRequestId, std::move(aRecord), aWeightBytes, aNow };
}

bool GroupController::WritePlan(TimePoint aNow)
{
  if (!this->planDue || !this->MayPlan(aNow)) {
    return false;
  }
  this->planDue = false;
  auto plan = this->strategy->MakePlan(this->MakePlanningInput(aNow));
  this->ClearStaleFences(plan.record);
  if (plan.record.HasSameContent(this->confirmed->record)) {
    return false;
  }
  this->StartWrite(std::move(plan.record), plan.weightBytes, aNow);
  return this->pendingWrite.has_value();
}

bool GroupController::MayPlan(TimePoint aNow) const
{
  // Plan only once every server has been observed or `lossTimeout` has passed; otherwise
  // servers that were not observed yet would count as lost.
  const auto wasObserved = [](const auto& aPair) {
    return aPair.second.lastObservation.has_value();
  };
  return aNow - this->leaseGainedAt >= this->settings.lossTimeout ||
         std::ranges::all_of(this->servers, wasObserved);
}

void GroupController::ClearStaleFences(DomainRecord& aRecord) const
{
  for (auto& order : aRecord.orders) {
    const auto found = this->servers.find(order.server);
    if (found != this->servers.end() && order.fence == found->second.staleFence) {
      order.fence = 0;
    }
  }
}

void GroupController::SendOrders(TimePoint aNow)
{
  for (const auto& order : this->confirmed->record.orders) {
    const auto found = this->servers.find(order.server);
    const auto* entry = this->confirmed->record.GroupOf(order.server);
    if (found == this->servers.end() || entry == nullptr ||
        !this->IsOrderDue(found->second, order, entry->group, aNow)) {
      continue;
    }
    if (aNow - this->confirmed->confirmedAt >= this->settings.recordValidity) {
      this->StartRead(aNow);
      return;
    }
    auto& lastOrder = found->second.lastOrder;
    if (!lastOrder || lastOrder->fence != order.fence) {
      lastOrder = SentOrder{ order.fence, {}, {} };
    }
    lastOrder->sentAt = aNow;
    lastOrder->expiresAt = this->confirmed->confirmedAt + this->settings.orderLifetime;
    ++this->counters.orders;
    this->actions.emplace_back(
      SendOrder{ order.server, order.fence, entry->group, lastOrder->expiresAt });
  }
}

bool GroupController::IsOrderDue(const KnownServer& aServer,
                                 const PendingOrder& aOrder,
                                 const ReplicaGroup& aGroup,
                                 TimePoint aNow) const
{
  if (!this->WasSeenRecently(aServer, aNow) ||
      (aServer.lastObservation->group == aGroup.id &&
       aServer.lastObservation->generation == aGroup.generation)) {
    return false;
  }
  const bool ignoresFences = aServer.server.fencing == FencingSupport::Ignored;
  if (ignoresFences &&
      (aNow < this->priorOrdersExpireAt ||
       aServer.lastObservation->observedAt < this->priorOrdersExpireAt)) {
    return false;
  }
  if (!aServer.lastOrder) {
    return true;
  }
  const auto& lastOrder = *aServer.lastOrder;
  if (lastOrder.fence == aOrder.fence) {
    // The reported fencing token is checked instead of the reply, because it also shows
    // when a restart or an older order has undone the order since.
    const bool isReported = aServer.lastObservation->fence == aOrder.fence;
    const auto retryInterval = isReported ? this->settings.acceptedOrderRetryInterval
                                          : this->settings.orderRetryInterval;
    return aNow - lastOrder.sentAt >= retryInterval;
  }
  // A server that ignores fencing tokens must not get this order while an earlier one may
  // still arrive after it.
  return !ignoresFences || aNow >= lastOrder.expiresAt;
}

bool GroupController::WasSeenRecently(const KnownServer& aServer, TimePoint aNow) const
{
  return aServer.lastObservation &&
         aNow - aServer.lastObservation->observedAt < this->settings.lossTimeout;
}

PlanningInput GroupController::MakePlanningInput(TimePoint aNow) const
{
  PlanningInput input;
  input.record = this->confirmed->record;
  input.pools = this->settings.pools;
  input.mayLoadWeights = this->budget.CanLoad(aNow);
  input.weightStoreUnlimited = this->budget.IsUnlimited();
  for (const auto& [id, known] : this->servers) {
    input.servers.push_back(this->ToPlannedServer(known, aNow));
  }
  return input;
}

PlannedServer GroupController::ToPlannedServer(const KnownServer& aServer,
                                               TimePoint aNow) const
{
  PlannedServer planned;
  planned.id = aServer.server.id;
  planned.pool = aServer.server.pool;
  planned.leaving = aServer.server.leaving;
  planned.reachable = this->WasSeenRecently(aServer, aNow);
  planned.accepting = aNow >= aServer.unusableUntil;
  if (!aServer.lastObservation) {
    return planned;
  }
  const auto& lastObservation = *aServer.lastObservation;
  const bool drainTimedOut =
    aServer.drainingSince && aNow - *aServer.drainingSince >= this->settings.drainTimeout;
  planned.busy =
    lastObservation.load.running + lastObservation.load.queued > 0 && !drainTimedOut;
  planned.group = lastObservation.group;
  planned.generation = lastObservation.generation;
  // An engine that joined a group of its pool has loaded the pool's model. After a
  // restart it reports no group.
  planned.holdsWeights = !lastObservation.group.IsEmpty();
  return planned;
}

nlohmann::json GroupController::Describe() const
{
  nlohmann::json document = { { "domain", this->settings.domain.Value() },
                              { "nonce", this->nonce },
                              { "lease_held", this->leaseHeld },
                              { "taken_over", this->takenOver },
                              { "revision", this->Revision() },
                              { "servers_known", this->servers.size() },
                              { "write_pending", this->pendingWrite.has_value() },
                              { "write_unresolved", this->unresolvedWrite.has_value() } };
  document["counters"] = { { "reads", this->counters.reads },
                           { "writes", this->counters.writes },
                           { "conflicts", this->counters.conflicts },
                           { "unknown_writes", this->counters.unknownWrites },
                           { "resolved_writes", this->counters.resolvedWrites },
                           { "orders", this->counters.orders },
                           { "stale_orders", this->counters.staleOrders },
                           { "refused_orders", this->counters.refusedOrders },
                           { "time_gaps", this->counters.timeGaps },
                           { "rejected_records", this->counters.rejectedRecords },
                           { "take_overs", this->counters.takeOvers } };
  if (this->confirmed) {
    document["record"] =
      nlohmann::json::parse(FormatDomainRecord(this->confirmed->record));
  }
  return document;
}

} // namespace toucanstand
