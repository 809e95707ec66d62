#include "DomainSimulation.h"

#include <algorithm>
#include <set>

#include "planning/GroupPlanner.h"

namespace toucanstand {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kServers = 9;
constexpr std::size_t kGroupSize = 4;
constexpr std::size_t kWantedGroups = 2;
constexpr Duration kFaultsEnd = 20s;
/// All calls that were delayed during the fault period have ended by then.
constexpr Duration kDelaysEnd = 34s;
constexpr Duration kEnd = 60s;

} // namespace

DomainSimulation::DomainSimulation(std::uint64_t aSeed)
  : random(aSeed)
  , lateOrders(this->WithProbability(0.5))
{
  for (std::size_t index = 0; index < kServers; ++index) {
    BackendServer server;
    server.id = ServerId("e" + std::to_string(index));
    server.pool = PoolId("p");
    server.domain = DomainId("d");
    server.fencing =
      this->WithProbability(0.5) ? FencingSupport::Checked : FencingSupport::Ignored;
    this->list.servers.push_back(server);
    this->engines[server.id];
  }
  const auto controllers = 2 + this->random.Below(2);
  for (std::size_t index = 0; index < controllers; ++index) {
    GroupControllerSettings settings;
    settings.domain = DomainId("d");
    settings.pools = { { PoolId("p"), kGroupSize, kWantedGroups, 0 } };
    this->instances.push_back(
      { std::make_unique<GroupController>(settings,
                                          std::make_unique<GroupPlanner>(),
                                          "controller-" + std::to_string(index)),
        {},
        false });
    this->RunEvery(200ms, [this, index] { this->Deliver(index, Tick{}); });
    this->RunEvery(500ms, [this, index] { this->MaintainLease(index); });
    this->RunEvery(300ms, [this, index] { this->Poll(index); });
  }
  this->RunEvery(400ms, [this] { this->InjectFaults(); });
  this->RunEvery(250ms, [this] { this->CheckPermissions(); });
}

std::string DomainSimulation::Run()
{
  this->now = TimePoint(1000s);
  const auto start = this->now;
  bool converged = false;
  while (this->violation.empty() && !converged && this->now - start < kEnd) {
    auto event = this->events.top();
    this->events.pop();
    this->now = std::max(this->now, start + event.at.time_since_epoch());
    this->faults = this->now - start < kFaultsEnd;
    event.run();
    converged = this->now - start > kDelaysEnd && this->HasConverged();
  }
  if (!converged) {
    this->Fail("did not converge: " +
               (this->committed.empty() ? "no record" : this->committed.back()));
  }
  return this->violation;
}

bool DomainSimulation::LaterFirst::operator()(const Event& aLeft,
                                              const Event& aRight) const
{
  return std::pair(aLeft.at, aLeft.number) > std::pair(aRight.at, aRight.number);
}

void DomainSimulation::RunAfter(Duration aDelay, std::function<void()> aRun)
{
  const auto elapsed = this->now < TimePoint(1000s) ? 0ns : this->now - TimePoint(1000s);
  this->events.push({ TimePoint(elapsed + aDelay), ++this->eventCount, std::move(aRun) });
}

void DomainSimulation::RunEvery(Duration aPeriod, const std::function<void()>& aRun)
{
  this->RunAfter(aPeriod, [this, aPeriod, aRun] {
    aRun();
    this->RunEvery(aPeriod, aRun);
  });
}

bool DomainSimulation::WithProbability(double aChance)
{
  return this->random.Fraction() < aChance;
}

Duration DomainSimulation::Delay()
{
  const bool slow = this->faults && this->WithProbability(0.1);
  return std::chrono::milliseconds(1 + this->random.Below(slow ? 4000 : 30));
}

void DomainSimulation::Deliver(std::size_t aIndex, const ControllerEvent& aEvent)
{
  auto& instance = this->instances[aIndex];
  if (this->now < instance.pausedUntil) {
    // A resumed process receives the events that arrived during the pause, except ticks.
    if (!std::holds_alternative<Tick>(aEvent)) {
      this->RunAfter(instance.pausedUntil - this->now,
                     [this, aIndex, aEvent] { this->Deliver(aIndex, aEvent); });
    }
    return;
  }
  for (const auto& action : instance.controller->Handle(aEvent, this->now)) {
    // Simulates a pause of the process between a decision and the resulting call.
    if (this->faults && this->WithProbability(0.02)) {
      const auto pause = std::chrono::milliseconds(this->random.Below(8000));
      instance.pausedUntil = std::max(instance.pausedUntil, this->now + pause);
      this->RunAfter(pause, [this, aIndex, action] { this->Perform(aIndex, action); });
      continue;
    }
    this->Perform(aIndex, action);
  }
}

void DomainSimulation::Perform(std::size_t aIndex, const ControllerAction& aAction)
{
  if (const auto* read = std::get_if<ReadRecord>(&aAction)) {
    this->Read(aIndex, read->requestId);
  } else if (const auto* write = std::get_if<WriteRecord>(&aAction)) {
    this->Write(aIndex, *write);
  } else if (const auto* order = std::get_if<SendOrder>(&aAction)) {
    this->Order(aIndex, *order);
  } else {
    this->instances[aIndex].assumesLease = false;
    if (this->leaseHolder == aIndex) {
      this->leaseHolder.reset();
    }
  }
}

void DomainSimulation::Read(std::size_t aIndex, std::uint64_t aRequestId)
{
  const bool answered = !(this->faults && this->WithProbability(0.1));
  this->RunAfter(this->Delay(), [this, aIndex, aRequestId, answered] {
    RecordReadReply reply{ aRequestId, answered, 0, "" };
    if (answered && !this->committed.empty()) {
      reply.revision = this->revision;
      reply.text = this->committed.back();
    }
    this->RunAfter(this->Delay(),
                   [this, aIndex, reply] { this->Deliver(aIndex, reply); });
  });
}

void DomainSimulation::Write(std::size_t aIndex, const WriteRecord& aAction)
{
  const bool lost = this->faults && this->WithProbability(0.1);
  this->RunAfter(this->Delay(), [this, aIndex, aAction, lost] {
    WriteReply reply{ aAction.requestId, WriteOutcome::Conflict, 0 };
    if (aAction.expectedRevision == this->revision) {
      this->Commit(aAction.text);
      reply = { aAction.requestId, WriteOutcome::Committed, this->revision };
    }
    if (lost) {
      reply.outcome = WriteOutcome::Unknown;
    }
    this->RunAfter(this->Delay(),
                   [this, aIndex, reply] { this->Deliver(aIndex, reply); });
  });
}

void DomainSimulation::Order(std::size_t aIndex, const SendOrder& aAction)
{
  const std::size_t copies = this->faults && this->WithProbability(0.1) ? 2 : 1;
  for (std::size_t copy = 0; copy < copies; ++copy) {
    this->RunAfter(this->Delay(), [this, aIndex, aAction] {
      // The sender aborts the request at its expiry, unless it is paused in the middle of
      // it.
      if (this->now >= aAction.expiresAt &&
          !(this->lateOrders && this->WithProbability(0.3))) {
        return;
      }
      const OrderReply reply{ aAction.server,
                              aAction.fence,
                              this->ExecuteOrder(aAction) };
      if (!(this->faults && this->WithProbability(0.1))) {
        this->RunAfter(this->Delay(),
                       [this, aIndex, reply] { this->Deliver(aIndex, reply); });
      }
    });
  }
}

OrderOutcome DomainSimulation::ExecuteOrder(const SendOrder& aAction)
{
  auto& engine = this->engines.at(aAction.server);
  if (!engine.alive) {
    return OrderOutcome::Unknown;
  }
  const GroupKey key{ aAction.group.id, aAction.group.generation };
  if (this->memberLists[key] != aAction.group.members) {
    this->Fail("a server received an order that is not in any committed record");
  }
  const auto server =
    std::ranges::find(this->list.servers, aAction.server, &BackendServer::id);
  if (server->fencing == FencingSupport::Checked && aAction.fence < engine.fence) {
    return OrderOutcome::Stale;
  }
  if (aAction.fence < engine.highestFence && server->fencing == FencingSupport::Ignored &&
      !this->lateOrders) {
    this->Fail("a server that ignores fences took an older order after a newer one");
  }
  engine.highestFence = std::max(engine.highestFence, aAction.fence);
  engine.lastReportedIn[engine.group] = this->now;
  engine.group = key;
  engine.fence = aAction.fence;
  return OrderOutcome::Accepted;
}

void DomainSimulation::MaintainLease(std::size_t aIndex)
{
  auto& instance = this->instances[aIndex];
  const bool storeDown = this->faults && this->WithProbability(0.1);
  if (this->now < instance.pausedUntil || storeDown) {
    return;
  }
  const bool expired = !this->leaseHolder || this->now >= this->leaseUntil;
  if (this->leaseHolder == aIndex && !expired && instance.assumesLease) {
    this->leaseUntil = this->now + 3s;
    return;
  }
  if (instance.assumesLease) {
    instance.assumesLease = false;
    this->Deliver(aIndex, LeaseLost{});
    return;
  }
  if (expired) {
    this->leaseHolder = aIndex;
    this->leaseUntil = this->now + 3s;
    instance.assumesLease = true;
    this->Deliver(aIndex, LeaseGained{});
  }
}

Observation DomainSimulation::Observe(const ServerId& aServer)
{
  auto& engine = this->engines.at(aServer);
  Observation observation;
  observation.server = aServer;
  observation.reachable = engine.alive && !(this->faults && this->WithProbability(0.05));
  observation.group = engine.group.first;
  observation.generation = engine.group.second;
  observation.fence = engine.fence;
  observation.observedAt = this->now;
  engine.lastReportedIn[engine.group] = this->now;
  return observation;
}

void DomainSimulation::Poll(std::size_t aIndex)
{
  if (!this->instances[aIndex].controller->HoldsLease()) {
    return;
  }
  ObservationsChanged event{ this->list.servers, {} };
  for (const auto& server : this->list.servers) {
    event.observations.push_back(this->Observe(server.id));
  }
  this->RunAfter(this->Delay(), [this, aIndex, event] { this->Deliver(aIndex, event); });
}

void DomainSimulation::InjectFaults()
{
  if (!this->faults) {
    for (auto& [id, engine] : this->engines) {
      engine.alive = true;
    }
    return;
  }
  const bool wholeDomain = this->WithProbability(0.02);
  for (auto& [id, engine] : this->engines) {
    const bool fails = engine.alive && (wholeDomain || this->WithProbability(0.02));
    if (fails) {
      engine.alive = false;
    } else if (!engine.alive && this->WithProbability(0.15)) {
      engine.alive = true;
      if (this->WithProbability(0.5)) {
        // The engine was restarted and has lost its state; otherwise it was only paused.
        engine.lastReportedIn[engine.group] = this->now;
        engine.group = {};
        engine.fence = 0;
      }
    }
  }
  for (auto& instance : this->instances) {
    if (this->WithProbability(0.03)) {
      instance.pausedUntil =
        std::max(instance.pausedUntil,
                 this->now + std::chrono::milliseconds(this->random.Below(9000)));
    }
  }
}

void DomainSimulation::Commit(const std::string& aText)
{
  this->revision += 1 + static_cast<std::int64_t>(this->random.Below(3));
  this->committed.push_back(aText);
  const auto record = ParseDomainRecord(aText, this->revision);
  if (!record) {
    this->Fail(std::string("committed record: ") + Name(record.LastReason()));
    return;
  }
  this->lastGroups = GroupsOpenForWork(*record);
  std::set<ServerId> members;
  for (const auto& entry : record->groups) {
    for (const auto& member : entry.group.members) {
      if (!members.insert(member).second) {
        this->Fail("a server is in two groups of the record");
      }
    }
    const GroupKey key{ entry.group.id, entry.group.generation };
    const auto [known, isNew] = this->memberLists.emplace(key, entry.group.members);
    if (!isNew && known->second != entry.group.members) {
      this->Fail("a generation of a group has two different member lists");
    }
  }
}

void DomainSimulation::CheckPermissions()
{
  // The evaluator's record and observations are refreshed at random, so that they may be
  // outdated.
  if (!this->committed.empty() && this->WithProbability(0.3)) {
    this->evaluatorGroups = this->lastGroups;
  }
  for (const auto& server : this->list.servers) {
    if (!this->faults || this->WithProbability(0.5)) {
      this->evaluatorObservations[server.id] = this->Observe(server.id);
    }
  }
  auto groups =
    DeriveGroups(this->evaluatorGroups, this->evaluatorObservations, this->list);
  std::set<ServerId> members;
  for (const auto& candidate : toucanstand::PermittedCandidates(
         groups, this->evaluatorObservations, this->list, this->now)) {
    const GroupKey key{ GroupId(candidate.id), candidate.generation };
    if (this->memberLists[key] != candidate.members) {
      this->Fail("a group with permission to serve was never in the record");
    }
    for (const auto& member : candidate.members) {
      const auto& lastReportedIn = this->engines.at(member).lastReportedIn;
      if (!lastReportedIn.contains(key) ||
          this->now - lastReportedIn.at(key) >= kPermissionValidity) {
        this->Fail(
          "a group has permission to serve without a recent report of every member");
      }
      if (!members.insert(member).second) {
        this->Fail("a server is in two groups with permission to serve");
      }
    }
  }
}

bool DomainSimulation::HasConverged()
{
  const auto everyMemberJoined = [this](const ReplicaGroup& aGroup) {
    return std::ranges::all_of(aGroup.members, [&](const ServerId& aServer) {
      return this->engines.at(aServer).group == GroupKey{ aGroup.id, aGroup.generation };
    });
  };
  return this->lastGroups.size() == kWantedGroups &&
         std::ranges::all_of(this->lastGroups, everyMemberJoined) &&
         this->committed.back().find("\"orders\":[]") != std::string::npos;
}

void DomainSimulation::Fail(const std::string& aViolation)
{
  if (this->violation.empty()) {
    this->violation = aViolation;
  }
}

} // namespace toucanstand
