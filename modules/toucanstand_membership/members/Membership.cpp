#include "members/Membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

// Limits the probes that other nodes can cause by ProbeRequests.
constexpr std::size_t kMaximumPendingProbes = 4096;
// Number of members to which a leaving VM sends its announcement directly; these forward
// it to the others.
constexpr std::size_t kLeaveNotifications = 4;
// Deltas on each message besides the queued ones: one about the receiver, and one about
// the next member in order of ids.
constexpr std::size_t kRepeatedDeltas = 2;
// Upper bound of the random number from which the sequence numbers of a run start.
constexpr std::uint64_t kFirstSequenceLimit = 1ULL << 52U;

} // namespace

Membership::Membership(Vm aSelf,
                       MembershipSettings aSettings,
                       Random& aRandom,
                       TimePoint aNow)
  : self(std::move(aSelf))
  , settings(aSettings)
  , random(aRandom)
  , realNow(aNow)
  , protocolNow(aNow)
  , nextRound(aNow)
  // Sequence numbers start at random, so that a late answer to a probe of an earlier run
  // does not match a probe of this run: it would count a contact from before the restart
  // as a current one.
  , lastSequence(aRandom.Below(kFirstSequenceLimit))
{
}

void Membership::SetSeeds(std::vector<Vm> aSeeds)
{
  std::erase_if(aSeeds, [this](const Vm& aVm) { return aVm.id == this->self.id; });
  std::ranges::shuffle(aSeeds, this->random.Engine());
  this->seeds = std::move(aSeeds);
}

void Membership::SetConfiguration(std::int64_t aRevision, bool aSynchronized)
{
  this->revision = aRevision;
  this->synchronized = aSynchronized;
}

MembershipActions Membership::Leave()
{
  this->leaving = true;
  this->deltas.Put(this->self.id, this->OwnDelta());
  MembershipActions actions;
  auto receivers = this->members.AliveIds();
  std::ranges::shuffle(receivers, this->random.Engine());
  receivers.resize(std::min(receivers.size(), kLeaveNotifications));
  for (const auto& id : receivers) {
    PendingProbe probe;
    probe.target = this->members.Find(id)->member.vm;
    probe.suspectOnTimeout = false;
    this->SendProbe(std::move(probe), false, actions);
  }
  return actions;
}

bool Membership::Announce(const Notice& aNotice, TimePoint aNow)
{
  return this->notices.Record(aNotice, aNow);
}

MembershipActions Membership::Tick(TimePoint aNow)
{
  MembershipActions actions;
  this->AdvanceTime(aNow);
  this->ExpireProbes(actions);
  this->ExpireMembers(actions);
  this->notices.RemoveExpired(aNow);
  if (this->protocolNow >= this->nextRound) {
    this->nextRound = this->protocolNow + this->settings.probeInterval;
    this->StartRound(actions);
  }
  return actions;
}

MembershipActions Membership::Receive(const MembershipMessage& aMessage, TimePoint aNow)
{
  MembershipActions actions;
  const auto& header = HeaderOf(aMessage);
  if (header.sender.id == this->self.id) {
    ++this->counters.ignored;
    return actions;
  }
  this->AdvanceTime(aNow);
  this->ApplyHeader(header, actions);
  std::visit([&](const auto& aContent) { this->HandleContent(aContent, actions); },
             aMessage);
  return actions;
}

MembershipActions Membership::ReceiveText(std::string_view aText, TimePoint aNow)
{
  const auto message = ParseMembershipMessage(aText);
  if (!message) {
    ++this->counters.rejected.at(static_cast<std::size_t>(message.LastReason()));
    return {};
  }
  return this->Receive(*message, aNow);
}

std::vector<VmId> Membership::ActiveMembers() const
{
  std::vector<VmId> active;
  if (!this->leaving) {
    active.push_back(this->self.id);
  }
  for (const auto& [id, entry] : this->members.Entries()) {
    if (entry.member.state != MemberState::Dead && !entry.member.leaving) {
      active.push_back(id);
    }
  }
  return active;
}

nlohmann::json Membership::Describe() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, entry] : this->members.Entries()) {
    list.push_back({ { "id", id.Value() },
                     { "zone", entry.member.vm.zone.Value() },
                     { "node", entry.member.vm.nodeEndpoint.Text() },
                     { "incarnation", entry.member.incarnation },
                     { "state", Name(entry.member.state) },
                     { "leaving", entry.member.leaving } });
  }
  nlohmann::json rejected = nlohmann::json::object();
  for (std::size_t index = 0; index < kMessageErrorCount; ++index) {
    rejected[Name(static_cast<MessageError>(index))] = this->counters.rejected.at(index);
  }
  return { { "self", this->self.id.Value() },
           { "incarnation", this->incarnation },
           { "leaving", this->leaving },
           { "alive", this->members.AliveCount() + 1 },
           { "members", std::move(list) },
           { "deltas_queued", this->deltas.Size() },
           { "probes_outstanding", this->pendingProbes.size() },
           { "counters",
             { { "probes", this->counters.probes },
               { "indirect_probes", this->counters.indirectProbes },
               { "suspicions", this->counters.suspicions },
               { "deaths", this->counters.deaths },
               { "refutations", this->counters.refutations },
               { "pauses", this->counters.pauses },
               { "ignored", this->counters.ignored },
               { "rejected", std::move(rejected) } } } };
}

void Membership::AdvanceTime(TimePoint aNow)
{
  const auto gap = std::max(aNow - this->realNow, Duration::zero());
  this->realNow = std::max(this->realNow, aNow);
  this->protocolNow += std::min(gap, this->settings.probeInterval);
  if (gap > this->settings.suspicionTimeout) {
    this->HandlePause();
  }
}

void Membership::HandlePause()
{
  ++this->counters.pauses;
  // The other members may have declared this node dead during the pause, so it refutes in
  // advance. Refutations by suspects may have been missed, so each suspicion starts again
  // with the full timeout.
  this->Refute(this->incarnation);
  for (auto& [id, entry] : this->members.Entries()) {
    if (entry.member.state == MemberState::Suspect) {
      entry.deadline = this->SuspicionDeadline();
    }
  }
  this->pendingProbes.clear();
}

void Membership::ExpireProbes(MembershipActions& aActions)
{
  std::vector<MemberDelta> unanswered;
  for (auto probe = this->pendingProbes.begin(); probe != this->pendingProbes.end();) {
    auto& [sequence, state] = *probe;
    if (this->protocolNow >= state.expiresAt) {
      const auto* entry = this->members.Find(state.target.id);
      if (state.suspectOnTimeout && entry != nullptr &&
          entry->member.state == MemberState::Alive) {
        unanswered.push_back(entry->member);
      }
      probe = this->pendingProbes.erase(probe);
      continue;
    }
    if (state.suspectOnTimeout && !state.indirectSent &&
        this->protocolNow >= state.indirectAt) {
      state.indirectSent = true;
      this->SendIndirectProbes(sequence, state, aActions);
    }
    ++probe;
  }
  for (auto& member : unanswered) {
    ++this->counters.suspicions;
    member.state = MemberState::Suspect;
    this->ApplyDelta(member, aActions);
  }
}

void Membership::SendIndirectProbes(std::uint64_t aSequence,
                                    const PendingProbe& aProbe,
                                    MembershipActions& aActions)
{
  auto candidates = this->members.AliveIds();
  std::erase(candidates, aProbe.target.id);
  std::vector<VmId> proxies;
  std::ranges::sample(candidates,
                      std::back_inserter(proxies),
                      static_cast<long>(this->settings.indirectProbes),
                      this->random.Engine());
  for (const auto& proxy : proxies) {
    ++this->counters.indirectProbes;
    const auto to = this->members.Find(proxy)->member.vm.nodeEndpoint;
    aActions.push_back(SendMessage{
      to, ProbeRequest{ this->MakeHeader(proxy), aSequence, aProbe.target } });
  }
}

void Membership::ExpireMembers(MembershipActions& aActions)
{
  std::vector<MemberDelta> dead;
  std::vector<VmId> expired;
  for (const auto& [id, entry] : this->members.Entries()) {
    if (entry.member.state == MemberState::Alive || this->protocolNow < entry.deadline) {
      continue;
    }
    if (entry.member.state == MemberState::Suspect) {
      dead.push_back(entry.member);
    } else {
      expired.push_back(id);
    }
  }
  for (auto& member : dead) {
    ++this->counters.deaths;
    member.state = MemberState::Dead;
    this->ApplyDelta(member, aActions);
  }
  for (const auto& id : expired) {
    this->members.Remove(id);
    this->deltas.Remove(id);
  }
}

void Membership::StartRound(MembershipActions& aActions)
{
  for (auto remaining = this->ProbesPerRound(); remaining > 0; --remaining) {
    const auto target = this->NextTarget();
    if (!target) {
      break;
    }
    PendingProbe probe;
    probe.target = this->members.Find(*target)->member.vm;
    this->SendProbe(std::move(probe), false, aActions);
  }
  this->ProbeSeed(aActions);
}

std::size_t Membership::ProbesPerRound() const
{
  const double rounds =
    ToSeconds(this->settings.fullRound) / ToSeconds(this->settings.probeInterval);
  const auto wanted = static_cast<std::size_t>(
    std::ceil(static_cast<double>(this->members.AliveCount()) / rounds));
  return std::clamp<std::size_t>(wanted, 1, this->settings.maximumProbes);
}

std::optional<VmId> Membership::NextTarget()
{
  // Each member is probed once per pass, which limits the time until a failure is
  // detected; independent random choices could leave a member unprobed for long.
  for (int pass = 0; pass < 2; ++pass) {
    while (!this->probeOrder.empty()) {
      const VmId target = std::move(this->probeOrder.back());
      this->probeOrder.pop_back();
      if (this->members.IsAlive(target)) {
        return target;
      }
    }
    this->probeOrder = this->members.AliveIds();
    std::ranges::shuffle(this->probeOrder, this->random.Engine());
  }
  return std::nullopt;
}

void Membership::ProbeSeed(MembershipActions& aActions)
{
  // Seeds that are not known to be alive are probed without a limit on retries: after a
  // partition each side has declared the other dead, and no other message reconnects
  // them.
  for (std::size_t attempt = 0; attempt < this->seeds.size(); ++attempt) {
    const auto& seed = this->seeds[this->nextSeed++ % this->seeds.size()];
    if (this->members.IsAlive(seed.id)) {
      continue;
    }
    PendingProbe probe;
    probe.target = seed;
    probe.suspectOnTimeout = false;
    this->SendProbe(std::move(probe), !this->joined, aActions);
    return;
  }
}

void Membership::SendProbe(PendingProbe aProbe, bool aJoin, MembershipActions& aActions)
{
  if (this->pendingProbes.size() >= kMaximumPendingProbes) {
    ++this->counters.ignored;
    return;
  }
  ++this->counters.probes;
  aProbe.sentAt = this->realNow;
  aProbe.indirectAt = this->protocolNow + this->settings.probeTimeout;
  aProbe.expiresAt = aProbe.indirectAt + this->settings.indirectTimeout;
  const auto sequence = ++this->lastSequence;
  aActions.push_back(
    SendMessage{ aProbe.target.nodeEndpoint,
                 Probe{ this->MakeHeader(aProbe.target.id), sequence, aJoin } });
  this->pendingProbes.emplace(sequence, std::move(aProbe));
}

void Membership::HandleContent(const Probe& aProbe, MembershipActions& aActions)
{
  const auto& sender = aProbe.header.sender;
  aActions.push_back(PeerMessageReceived{
    sender, aProbe.header.revision, aProbe.header.synchronized, std::nullopt });
  ProbeAck ack{ this->MakeHeader(sender.id), aProbe.sequence, this->self.id };
  if (aProbe.join) {
    this->AppendAllMembers(ack.header.deltas);
  }
  aActions.push_back(SendMessage{ sender.nodeEndpoint, std::move(ack) });
}

void Membership::HandleContent(const ProbeAck& aAck, MembershipActions& aActions)
{
  const auto& header = aAck.header;
  PeerMessageReceived received{
    header.sender, header.revision, header.synchronized, std::nullopt
  };
  const auto found = this->pendingProbes.find(aAck.sequence);
  const bool matches =
    found != this->pendingProbes.end() && found->second.target.id == aAck.subject;
  if (matches) {
    const auto probe = std::move(found->second);
    this->pendingProbes.erase(found);
    const bool direct = header.sender.id == aAck.subject;
    if (direct) {
      received.probeSentAt = probe.sentAt;
      this->joined = true;
    }
    if (direct && probe.requester) {
      aActions.push_back(SendMessage{
        *probe.requester,
        ProbeAck{ this->MakeHeader(VmId{}), probe.requesterSequence, aAck.subject } });
    }
  }
  aActions.push_back(std::move(received));
}

void Membership::HandleContent(const ProbeRequest& aRequest, MembershipActions& aActions)
{
  const auto& header = aRequest.header;
  aActions.push_back(PeerMessageReceived{
    header.sender, header.revision, header.synchronized, std::nullopt });
  if (aRequest.target.id == this->self.id) {
    return;
  }
  PendingProbe probe;
  probe.target = aRequest.target;
  probe.suspectOnTimeout = false;
  probe.requester = header.sender.nodeEndpoint;
  probe.requesterSequence = aRequest.sequence;
  this->SendProbe(std::move(probe), false, aActions);
}

void Membership::ApplyHeader(const MessageHeader& aHeader, MembershipActions& aActions)
{
  this->ApplyDelta(
    { aHeader.sender, aHeader.incarnation, MemberState::Alive, aHeader.leaving },
    aActions);
  // A full member list is the answer to this node's request to join. Its deltas are not
  // queued for sending, because the other nodes know them already.
  const bool isFullList =
    aHeader.deltas.size() > this->settings.deltasPerMessage + kRepeatedDeltas;
  for (const auto& delta : aHeader.deltas) {
    this->ApplyDelta(delta, aActions);
    if (isFullList && delta.vm.id != this->self.id) {
      this->deltas.Remove(delta.vm.id);
    }
  }
  for (const auto& notice : aHeader.notices) {
    if (this->notices.Record(notice, this->realNow)) {
      aActions.push_back(NoticeReceived{ notice });
    }
  }
}

void Membership::ApplyDelta(const MemberDelta& aDelta, MembershipActions& aActions)
{
  if (aDelta.vm.id == this->self.id) {
    this->ApplyDeltaAboutSelf(aDelta);
    return;
  }
  const auto outcome = this->members.Merge(aDelta);
  if (outcome == MergeOutcome::Full) {
    ++this->counters.ignored;
  }
  if (outcome != MergeOutcome::Changed) {
    return;
  }
  auto& entry = *this->members.Find(aDelta.vm.id);
  if (entry.member.state == MemberState::Suspect) {
    entry.deadline = this->SuspicionDeadline();
  } else if (entry.member.state == MemberState::Dead) {
    entry.deadline = this->protocolNow + this->settings.deadRetention;
  }
  this->deltas.Put(entry.member.vm.id, entry.member);
  aActions.push_back(MemberChanged{ entry.member });
}

void Membership::ApplyDeltaAboutSelf(const MemberDelta& aDelta)
{
  if (aDelta.incarnation < this->incarnation) {
    return;
  }
  // Refutes suspicions, and deltas of an earlier run of this VM: these have a higher
  // incarnation, or the same one with content that this run did not send.
  if (aDelta.incarnation > this->incarnation || aDelta.state != MemberState::Alive ||
      (aDelta.leaving && !this->leaving) || aDelta.vm != this->self) {
    this->Refute(aDelta.incarnation);
  }
}

void Membership::Refute(Incarnation aSeenIncarnation)
{
  ++this->counters.refutations;
  this->incarnation = std::max(this->incarnation, aSeenIncarnation) + 1;
  this->deltas.Put(this->self.id, this->OwnDelta());
}

MessageHeader Membership::MakeHeader(const VmId& aReceiver)
{
  MessageHeader header{
    this->self, this->incarnation, this->leaving, this->revision, this->synchronized, {},
    {}
  };
  const auto transmitLimit = TransmitLimit(this->members.AliveCount() + 1);
  header.deltas = this->deltas.Take(this->settings.deltasPerMessage, transmitLimit);
  header.notices =
    this->notices.Take(this->settings.noticesPerMessage, transmitLimit, this->realNow);
  // The receiver must know this node's entry about it, or it can't refute a suspicion.
  const auto* receiver = this->members.Find(aReceiver);
  if (receiver != nullptr) {
    header.deltas.push_back(receiver->member);
  }
  // A node that joins after a delta has been sent its limited number of times may have
  // missed it. Each message therefore carries one more member in turn, so that all member
  // tables converge.
  const auto& entries = this->members.Entries();
  auto next = entries.upper_bound(this->lastRepeatedMember);
  if (next == entries.end()) {
    next = entries.begin();
  }
  if (next != entries.end()) {
    this->lastRepeatedMember = next->first;
    header.deltas.push_back(next->second.member);
  }
  return header;
}

void Membership::AppendAllMembers(std::vector<MemberDelta>& aDeltas) const
{
  for (const auto& [id, entry] : this->members.Entries()) {
    if (aDeltas.size() >= kMaximumMemberDeltas) {
      return;
    }
    aDeltas.push_back(entry.member);
  }
}

MemberDelta Membership::OwnDelta() const
{
  return { this->self, this->incarnation, MemberState::Alive, this->leaving };
}

TimePoint Membership::SuspicionDeadline() const
{
  const double rounds = this->settings.suspicionMultiplier *
                        std::log2(static_cast<double>(this->members.AliveCount()) + 2.0);
  const auto spreadTime = FromSeconds(rounds * ToSeconds(this->settings.probeInterval));
  return this->protocolNow + std::max(this->settings.suspicionTimeout, spreadTime);
}

} // namespace toucanstand
