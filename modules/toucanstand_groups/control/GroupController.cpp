#include "control/GroupController.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Pause after a read without an answer, so that an outage of the store is not met with
/// a stream of reads.
constexpr Duration kReadRetry = std::chrono::milliseconds(500);

/// Conflicts in a row that mean that another controller works on the domain.
constexpr std::uint32_t kConflictLimit = 5;

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
  this->Advance(aNow);
  return std::exchange(this->actions, {});
}

const DomainRecord* GroupController::Record() const
{
  return this->held ? &this->held->record : nullptr;
}

std::int64_t GroupController::Revision() const
{
  return this->held ? this->held->revision : 0;
}

void GroupController::On(const LeaseGained& /*aEvent*/, TimePoint aNow)
{
  this->DropEverything();
  this->leaseHeld = true;
  this->leaseGainedAt = aNow;
}

void GroupController::On(const LeaseLost& /*aEvent*/, TimePoint /*aNow*/)
{
  this->DropEverything();
  this->leaseHeld = false;
}

void GroupController::On(const RecordRead& aEvent, TimePoint aNow)
{
  if (!this->pendingRead || this->pendingRead->ticket != aEvent.ticket) {
    return;
  }
  const auto sentAt = this->pendingRead->sentAt;
  this->pendingRead.reset();
  if (!aEvent.answered) {
    this->readNotBefore = aNow + kReadRetry;
    return;
  }
  this->AdoptRecord(aEvent, sentAt, aNow);
}

void GroupController::On(const WriteReply& aEvent, TimePoint aNow)
{
  if (!this->pendingWrite || this->pendingWrite->ticket != aEvent.ticket) {
    return;
  }
  auto write = std::move(*this->pendingWrite);
  this->pendingWrite.reset();
  if (aEvent.outcome == WriteOutcome::Committed) {
    this->AdoptWrite(std::move(write), aEvent.revision, aNow);
    return;
  }
  if (aEvent.outcome == WriteOutcome::Unknown) {
    ++this->counters.unknownWrites;
    this->unresolvedWrite = std::move(write);
    return;
  }
  ++this->counters.conflicts;
  this->held.reset();
  if (++this->conflictsInARow >= kConflictLimit) {
    this->GiveUp();
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
    // Leaving is irreversible, and the list can lag behind what the server announced.
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
    if (!known.seen || known.seen->observedAt <= observation.observedAt) {
      known.seen = observation;
    }
  }
  this->planDue = true;
}

void GroupController::On(const OrderReply& aEvent, TimePoint aNow)
{
  const auto found = this->servers.find(aEvent.server);
  if (found == this->servers.end() || !found->second.sent ||
      found->second.sent->fence != aEvent.fence ||
      aEvent.outcome == OrderOutcome::Unknown) {
    return;
  }
  auto& known = found->second;
  if (aEvent.outcome == OrderOutcome::Accepted) {
    known.refusals = 0;
    return;
  }
  if (aEvent.outcome == OrderOutcome::Stale) {
    ++this->counters.staleOrders;
    known.staleFence = aEvent.fence;
    this->planDue = true;
  } else {
    ++this->counters.refusedOrders;
  }
  if (++known.refusals >= this->settings.refusalLimit) {
    known.refusals = 0;
    known.unusableUntil = aNow + this->settings.refusalPeriod;
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
    this->lastEventAt && aNow - *this->lastEventAt > this->settings.validity;
  this->lastEventAt = aNow;
  if (!gap) {
    return;
  }
  ++this->counters.timeGaps;
  if (this->leaseHeld) {
    this->GiveUp();
  }
  this->DropEverything();
}

void GroupController::DropEverything()
{
  this->takenOver = false;
  this->quietUntil = {};
  this->held.reset();
  this->pendingRead.reset();
  this->pendingWrite.reset();
  this->unresolvedWrite.reset();
  this->readNotBefore = {};
  this->excludeLateWrite = false;
  this->conflictsInARow = 0;
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

void GroupController::AdoptRecord(const RecordRead& aEvent,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  DomainRecord record;
  record.domain = this->settings.domain;
  if (aEvent.revision != 0) {
    auto parsed = ParseDomainRecord(aEvent.text, aEvent.revision);
    if (!parsed || parsed->domain != this->settings.domain) {
      // Another program version may be able to read it; nothing is overwritten.
      ++this->counters.rejectedRecords;
      this->GiveUp();
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
      this->AdoptWrite(std::move(write), aEvent.revision, aNow);
      return;
    }
    this->excludeLateWrite = true;
  }
  if (this->takenOver && !isOwn) {
    this->GiveUp();
    return;
  }
  this->held = HeldRecord{ std::move(record), aEvent.revision, aSentAt };
  this->planDue = true;
}

void GroupController::AdoptWrite(PendingWrite aWrite,
                                 std::int64_t aRevision,
                                 TimePoint aNow)
{
  AssignFences(aWrite.record, aRevision);
  this->held = HeldRecord{ std::move(aWrite.record), aRevision, aWrite.sentAt };
  this->budget.Spend(aWrite.weightBytes, aNow);
  this->conflictsInARow = 0;
  this->excludeLateWrite = false;
  this->planDue = true;
  if (!this->takenOver) {
    this->takenOver = true;
    ++this->counters.takeOvers;
    // An earlier controller confirmed the record before this write at the latest.
    this->quietUntil = aNow + this->settings.orderLifetime;
  }
}

void GroupController::GiveUp()
{
  this->DropEverything();
  this->leaseHeld = false;
  this->actions.emplace_back(GiveUpLease{});
}

void GroupController::Advance(TimePoint aNow)
{
  if (!this->leaseHeld || this->pendingRead || this->pendingWrite) {
    return;
  }
  if (!this->held || this->unresolvedWrite ||
      aNow - this->held->confirmedAt >= this->settings.refreshPeriod) {
    this->StartRead(aNow);
    return;
  }
  if (!this->takenOver || this->excludeLateWrite) {
    this->StartWrite(this->held->record, 0, aNow);
    return;
  }
  if (!this->WritePlan(aNow)) {
    this->SendOrders(aNow);
  }
}

void GroupController::StartRead(TimePoint aNow)
{
  if (aNow < this->readNotBefore) {
    return;
  }
  ++this->counters.reads;
  this->pendingRead = PendingRead{ ++this->lastTicket, aNow };
  this->actions.emplace_back(ReadRecord{ this->lastTicket });
}

void GroupController::StartWrite(DomainRecord aRecord,
                                 std::uint64_t aWeightBytes,
                                 TimePoint aNow)
{
  aRecord.controller = this->nonce;
  aRecord.writeNumber = ++this->lastWriteNumber;
  auto text = FormatDomainRecord(aRecord);
  if (text.size() > DomainRecord::kMaximumBytes || Check(aRecord)) {
    ++this->counters.rejectedRecords;
    return;
  }
  ++this->counters.writes;
  this->actions.emplace_back(
    WriteRecord{ ++this->lastTicket, this->held->revision, std::move(text) });
  this->pendingWrite =
    PendingWrite{ this->lastTicket, std::move(aRecord), aWeightBytes, aNow };
}

bool GroupController::WritePlan(TimePoint aNow)
{
  if (!this->planDue || !this->MayPlan(aNow)) {
    return false;
  }
  this->planDue = false;
  auto plan = this->strategy->MakePlan(this->PlanningInputAt(aNow));
  this->RenewStaleOrders(plan.record);
  if (plan.record.HasSameContent(this->held->record)) {
    return false;
  }
  this->StartWrite(std::move(plan.record), plan.weightBytes, aNow);
  return this->pendingWrite.has_value();
}

bool GroupController::MayPlan(TimePoint aNow) const
{
  // Before every server could have been seen, those not seen yet would count as lost.
  const auto isSeen = [](const auto& aPair) { return aPair.second.seen.has_value(); };
  return aNow - this->leaseGainedAt >= this->settings.lossTimeout ||
         std::ranges::all_of(this->servers, isSeen);
}

void GroupController::RenewStaleOrders(DomainRecord& aRecord) const
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
  for (const auto& order : this->held->record.orders) {
    const auto found = this->servers.find(order.server);
    const auto* entry = this->held->record.GroupOf(order.server);
    if (found == this->servers.end() || entry == nullptr ||
        !this->IsOrderDue(found->second, order, entry->group, aNow)) {
      continue;
    }
    if (aNow - this->held->confirmedAt >= this->settings.validity) {
      this->StartRead(aNow);
      return;
    }
    auto& sent = found->second.sent;
    if (!sent || sent->fence != order.fence) {
      sent = SentOrder{ order.fence, {}, {} };
    }
    sent->sentAt = aNow;
    sent->expiresAt = this->held->confirmedAt + this->settings.orderLifetime;
    ++this->counters.orders;
    this->actions.emplace_back(
      SendOrder{ order.server, order.fence, entry->group, sent->expiresAt });
  }
}

bool GroupController::IsOrderDue(const KnownServer& aServer,
                                 const PendingOrder& aOrder,
                                 const ReplicaGroup& aGroup,
                                 TimePoint aNow) const
{
  if (!this->IsSeen(aServer, aNow) || (aServer.seen->group == aGroup.id &&
                                       aServer.seen->generation == aGroup.generation)) {
    return false;
  }
  const bool ignoresFences = aServer.server.fencing == FencingSupport::Ignored;
  if (ignoresFences &&
      (aNow < this->quietUntil || aServer.seen->observedAt < this->quietUntil)) {
    return false;
  }
  if (!aServer.sent) {
    return true;
  }
  const auto& sent = *aServer.sent;
  if (sent.fence == aOrder.fence) {
    // Unlike the reply, the reported fence also shows that a restart or an older order
    // has undone the order since.
    const bool taken = aServer.seen->fence == aOrder.fence;
    const auto pause =
      taken ? this->settings.acceptedOrderRetry : this->settings.orderRetry;
    return aNow - sent.sentAt >= pause;
  }
  // An earlier order could still arrive after this one.
  return !ignoresFences || aNow >= sent.expiresAt;
}

bool GroupController::IsSeen(const KnownServer& aServer, TimePoint aNow) const
{
  return aServer.seen && aNow - aServer.seen->observedAt < this->settings.lossTimeout;
}

PlanningInput GroupController::PlanningInputAt(TimePoint aNow) const
{
  PlanningInput input;
  input.record = this->held->record;
  input.pools = this->settings.pools;
  input.mayLoadWeights = this->budget.MayLoad(aNow);
  input.weightStoreUnlimited = this->budget.IsUnlimited();
  for (const auto& [id, known] : this->servers) {
    input.servers.push_back(this->Planned(known, aNow));
  }
  return input;
}

PlannedServer GroupController::Planned(const KnownServer& aServer, TimePoint aNow) const
{
  PlannedServer planned;
  planned.id = aServer.server.id;
  planned.pool = aServer.server.pool;
  planned.leaving = aServer.server.leaving;
  planned.reachable = this->IsSeen(aServer, aNow);
  planned.accepting = aNow >= aServer.unusableUntil;
  if (!aServer.seen) {
    return planned;
  }
  const auto& seen = *aServer.seen;
  const bool drainOver =
    aServer.drainingSince && aNow - *aServer.drainingSince >= this->settings.drainLimit;
  planned.busy = seen.load.running + seen.load.queued > 0 && !drainOver;
  planned.group = seen.group;
  planned.generation = seen.generation;
  // An engine that was ordered into a group of its pool loaded the pool's model; it
  // reports no group after a restart.
  planned.holdsWeights = !seen.group.IsEmpty();
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
  if (this->held) {
    document["record"] = nlohmann::json::parse(FormatDomainRecord(this->held->record));
  }
  return document;
}

} // namespace toucanstand
