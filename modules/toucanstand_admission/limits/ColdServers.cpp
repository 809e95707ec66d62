#include "limits/ColdServers.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// One request, less the rounding error of the sums of fractions.
constexpr double kOneRequest = 1.0 - 1e-9;

} // namespace

TimePoint ColdServers::Run::ColdUntil() const
{
  return std::max({ this->startUntil, this->statedUntil, this->zoneUntil });
}

ColdServers::ColdServers(const ServerDirectory& aDirectory, Tolerance aTolerance)
  : directory(aDirectory)
  , tolerance(aTolerance)
{
}

void ColdServers::SetPools(const std::vector<ServingPool>& aPools)
{
  this->pools.clear();
  for (const auto& pool : aPools) {
    if (pool.coldRequestsPerSecond > 0) {
      this->pools[pool.id] = { pool.coldStart, pool.coldRequestsPerSecond };
    }
  }
}

void ColdServers::SetFleet(FleetView aView, TimePoint aNow)
{
  // What happened meanwhile is not known: another VM may have held this VM's share.
  const bool hasLostTrack = aView.completeAt - this->fleet.completeAt > kHandover;
  if (!aView.isRegistered || hasLostTrack) {
    this->views.clear();
    ++this->viewsNumber;
  }
  const bool isChanged =
    aView.self != this->fleet.self || aView.others != this->fleet.others;
  this->RecordAbsences(aView.others, aNow);
  this->fleet = std::move(aView);
  if (this->fleet.isRegistered && (isChanged || this->views.empty())) {
    View view;
    view.from = aNow;
    // All VMs weigh the same: weights by traffic would change the holders of shares all
    // the time, and a new holder has to wait.
    std::vector<RateShares::Vm> others;
    std::ranges::transform(
      this->fleet.others, std::back_inserter(others), [](const auto& aName) {
        return RateShares::Vm{ aName, 1 };
      });
    view.shares.SetFleet({ this->fleet.self, 1 }, std::move(others));
    this->views.push_back(std::move(view));
    ++this->viewsNumber;
  }
  this->RemoveOldViews();
}

void ColdServers::RecordAbsences(const std::vector<std::string>& aOthers, TimePoint aNow)
{
  const auto before = this->absences.size();
  if (aOthers != this->fleet.others) {
    for (const auto& name : this->fleet.others) {
      this->absences.try_emplace(name, aNow);
    }
    for (const auto& name : aOthers) {
      this->absences.erase(name);
    }
  }
  std::erase_if(this->absences, [aNow](const auto& aAbsence) {
    return aNow - aAbsence.second > kAbsenceRetention;
  });
  if (this->absences.size() != before) {
    ++this->viewsNumber;
  }
}

double ColdServers::PresentPart() const
{
  const auto present = static_cast<double>(this->fleet.others.size() + 1);
  const double part = present / (present + static_cast<double>(this->absences.size()));
  // What the others send comes at random: beside its mean, its fluctuation needs room.
  return part * part;
}

void ColdServers::RemoveOldViews()
{
  // A view ends when the next one begins.
  const auto oldest = this->fleet.completeAt - kHandover;
  while (this->views.size() > 1 && this->views[1].from <= oldest) {
    this->views.pop_front();
    ++this->viewsNumber;
  }
}

bool ColdServers::KnowsFleet(TimePoint aNow) const
{
  return !this->views.empty() && aNow - this->fleet.completeAt <= kHandover &&
         this->views.front().from <= this->fleet.completeAt - kHandover;
}

bool ColdServers::OnRegistration(const ServerEntry& aEntry, TimePoint aNow)
{
  const auto [found, isNew] = this->runs.try_emplace(aEntry.id);
  Run& run = found->second;
  run.lastSeenAt = aNow;
  const auto& stated = aEntry.coldTime.remaining;
  const bool isSameRun = !isNew && aEntry.startedAtUnixMs == run.startedAtUnixMs;
  const bool isRepeated =
    isSameRun && aEntry.sequence.number != 0 && aEntry.sequence.number <= run.sequence;
  if (aEntry.startedAtUnixMs < run.startedAtUnixMs || isRepeated) {
    return false;
  }
  const bool wasCold = this->RemainingTime(aEntry.id, aNow) > Duration::zero();
  if (!isSameRun) {
    const auto zoneUntil = run.zoneUntil;
    const auto zoneStatementsFrom = run.zoneStatementsFrom;
    run = {};
    run.startedAtUnixMs = aEntry.startedAtUnixMs;
    run.lastSeenAt = aNow;
    run.zoneUntil = zoneUntil;
    run.zoneStatementsFrom = zoneStatementsFrom;
  }
  run.sequence = aEntry.sequence.number;
  const auto* terms = this->FindTerms(aEntry.pool);
  // Before the first request this VM reads of servers that started at any time.
  if (!isSameRun && this->hasSent && terms != nullptr) {
    run.startUntil = aNow + terms->start;
  }
  if (stated) {
    run.statedUntil = aNow + *stated;
    if (aNow >= run.zoneStatementsFrom) {
      run.zoneUntil = {};
    }
  }
  return !wasCold && terms != nullptr &&
         this->RemainingTime(aEntry.id, aNow) > Duration::zero();
}

std::size_t ColdServers::OnZoneReturned(const ZoneId& aZone, TimePoint aNow)
{
  std::size_t count = 0;
  for (const auto& entry : this->directory.Servers() | std::views::values) {
    const auto* terms = this->FindTerms(entry.pool);
    if (entry.zone == aZone && terms != nullptr) {
      Run& run = this->runs[entry.id];
      run.lastSeenAt = aNow;
      run.zoneUntil = aNow + terms->start + kRegistrationAge;
      run.zoneStatementsFrom = aNow + kRegistrationAge;
      ++count;
    }
  }
  return count;
}

const ColdServers::Terms* ColdServers::FindTerms(const PoolId& aPool) const
{
  const auto found = this->pools.find(aPool);
  return found == this->pools.end() ? nullptr : &found->second;
}

Duration ColdServers::RemainingTime(const ServerId& aServer, TimePoint aNow) const
{
  const auto found = this->runs.find(aServer);
  return found == this->runs.end()
           ? Duration::zero()
           : std::max(found->second.ColdUntil() - aNow, Duration::zero());
}

RateShares::Share ColdServers::ComputeShare(const ServerId& aServer,
                                            const Terms& aTerms) const
{
  const double bound =
    aTerms.perSecond * this->tolerance.overshoot + this->tolerance.slack;
  const double divided = bound * (1 - kReserve);
  // A request must be saved up before it can be sent, so at least one VM may do so.
  const double burst = std::max(1.0, divided - aTerms.perSecond);
  const double leastRate = std::min(aTerms.perSecond, 1 / ToSeconds(kMaxRequestInterval));
  const double rate = std::max(leastRate, std::min(aTerms.perSecond, divided - burst)) *
                      this->PresentPart();
  std::optional<RateShares::Share> least;
  for (const auto& view : this->views) {
    const auto share = view.shares.ShareOf(aServer, rate, burst);
    if (!least || share.perSecond < least->perSecond) {
      least = share;
    }
  }
  return least.value_or(RateShares::Share{});
}

void ColdServers::ForgetRuns(TimePoint aNow)
{
  if (aNow < this->forgetRunsAt) {
    return;
  }
  this->forgetRunsAt = aNow + kRunRetention;
  std::erase_if(this->runs, [&](const auto& aRun) {
    return aNow - aRun.second.lastSeenAt > kRunRetention &&
           this->directory.Find(aRun.first) == nullptr;
  });
}

void ColdServers::Update(TimePoint aNow)
{
  this->ForgetRuns(aNow);
  std::map<ServerId, TimePoint> bound;
  std::map<GroupId, TimePoint> groups;
  for (const auto& [server, run] : this->runs) {
    const auto* entry = run.ColdUntil() > aNow ? this->directory.Find(server) : nullptr;
    if (entry == nullptr) {
      continue;
    }
    bound[server] = run.ColdUntil();
    if (entry->membership) {
      auto& until = groups[entry->membership->group];
      until = std::max(until, run.ColdUntil());
    }
  }
  if (!groups.empty()) {
    for (const auto& entry : this->directory.Servers() | std::views::values) {
      const bool isHead = entry.membership && entry.membership->rank == 0;
      const auto group = isHead ? groups.find(entry.membership->group) : groups.end();
      if (group != groups.end()) {
        auto& until = bound[entry.id];
        until = std::max(until, group->second);
      }
    }
  }
  std::erase_if(this->accounts,
                [&](const auto& aAccount) { return !bound.contains(aAccount.first); });
  const bool knowsFleet = this->KnowsFleet(aNow);
  for (const auto& [server, until] : bound) {
    const auto* terms = this->FindTerms(this->directory.Find(server)->pool);
    if (terms == nullptr) {
      this->accounts.erase(server);
      continue;
    }
    Account& account = this->accounts[server];
    // Nothing is available at first, nor when this VM has lost its share.
    const bool isNew = account.until <= aNow;
    const double available = isNew ? 0 : this->Available(account, aNow);
    if (account.terms != *terms || account.viewsNumber != this->viewsNumber) {
      account.terms = *terms;
      account.viewsNumber = this->viewsNumber;
      account.divided = this->ComputeShare(server, *terms);
    }
    account.until = until;
    account.share = knowsFleet ? account.divided : RateShares::Share{};
    account.available = std::min(available, account.share.capacity);
    account.updatedAt = aNow;
  }
}

double ColdServers::Available(const Account& aAccount, TimePoint aNow) const
{
  if (!this->KnowsFleet(aNow)) {
    return 0;
  }
  const double added = aAccount.share.perSecond * ToSeconds(aNow - aAccount.updatedAt);
  return std::min(aAccount.share.capacity, aAccount.available + added);
}

const ColdServers::Account* ColdServers::FindBound(const ServerId& aServer,
                                                   TimePoint aNow) const
{
  const auto found = this->accounts.find(aServer);
  return found == this->accounts.end() || found->second.until <= aNow ? nullptr
                                                                      : &found->second;
}

bool ColdServers::OnSent(const ServerId& aServer, TimePoint aNow)
{
  this->hasSent = true;
  if (this->FindBound(aServer, aNow) == nullptr) {
    return false;
  }
  Account& account = this->accounts[aServer];
  account.available = std::max(0.0, this->Available(account, aNow) - 1.0);
  account.updatedAt = aNow;
  return true;
}

std::vector<ServerId> ColdServers::Exhausted(TimePoint aNow) const
{
  std::vector<ServerId> servers;
  for (const auto& [server, account] : this->accounts) {
    if (account.until > aNow && this->Available(account, aNow) < kOneRequest) {
      servers.push_back(server);
    }
  }
  return servers;
}

Duration ColdServers::TimeUntilNextRequest(const ServerId& aServer, TimePoint aNow) const
{
  const auto* account = this->FindBound(aServer, aNow);
  if (account == nullptr) {
    return Duration::zero();
  }
  const double missing = 1.0 - this->Available(*account, aNow);
  if (missing <= 1.0 - kOneRequest) {
    return Duration::zero();
  }
  const auto untilWarm = account->until - aNow;
  if (account->share.perSecond <= 0 || !this->KnowsFleet(aNow)) {
    return untilWarm;
  }
  return std::min(untilWarm, FromSeconds(missing / account->share.perSecond));
}

nlohmann::json ColdServers::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::array();
  for (const auto& [server, account] : this->accounts) {
    document.push_back({ { "server", server.Value() },
                         { "remaining_ms", ToMilliseconds(account.until - aNow).count() },
                         { "per_second", account.terms.perSecond },
                         { "own_share", account.share.perSecond },
                         { "available", this->Available(account, aNow) } });
  }
  return document;
}

} // namespace toucanstand
