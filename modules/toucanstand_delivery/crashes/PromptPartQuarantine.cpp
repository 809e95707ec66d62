#include "crashes/PromptPartQuarantine.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

#include "text/Hexadecimal.h"

namespace toucanstand {

namespace {

/// A part that went on this recently needs more evidence.
constexpr Duration kSurvivalRetention = std::chrono::seconds(60);
/// The same while there is no room for more.
constexpr Duration kSurvivalRetentionWhenFull = std::chrono::seconds(5);
/// A peer's survival counts if it is later than the known one by more than this: the same
/// one is reported several times, with different delays.
constexpr Duration kSurvivalTolerance = std::chrono::milliseconds(500);
/// Changes are judged again until they have settled and all ticks in between have passed.
constexpr Duration kJudgingTime =
  PromptPartQuarantine::kSettlingTime + std::chrono::seconds(1);

bool Contains(const std::vector<PromptPartId>& aParts, PromptPartId aPart)
{
  return std::ranges::find(aParts, aPart) != aParts.end();
}

} // namespace

void PromptPartQuarantine::OnSent(const RequestId& aRun,
                                  const ServerId& aServer,
                                  std::span<const PromptPartId> aParts)
{
  if (aParts.empty()) {
    return;
  }
  const auto tracked = aParts.first(std::min(aParts.size(), kMaxPartsPerRun));
  this->runs.insert_or_assign(
    aRun, Run{ aServer, { tracked.begin(), tracked.end() }, 0, std::nullopt });
}

void PromptPartQuarantine::OnEvents(const RequestId& aRun,
                                    std::size_t aEvents,
                                    TimePoint aNow)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  found->second.events = aEvents;
  if (aEvents >= kEventsToSurvive) {
    const auto parts = std::move(found->second.parts);
    this->runs.erase(found);
    std::ranges::for_each(parts, [&](PromptPartId aPart) {
      this->AddSurvival(aPart, { aNow, true }, aNow);
    });
  }
}

void PromptPartQuarantine::OnEnded(const RequestId& aRun, RunEnd aEnd, TimePoint aNow)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  if (aEnd == RunEnd::Abandoned) {
    found->second.expiresAt = aNow + CrashQuarantine::kAbandonedRunRetention;
    return;
  }
  if (aEnd == RunEnd::Survived && found->second.events > 0) {
    this->OnEvents(aRun, kEventsToSurvive, aNow);
    return;
  }
  this->runs.erase(found);
}

void PromptPartQuarantine::OnServerCrashed(const ServerId& aServer, TimePoint aNow)
{
  std::vector<PromptPartId> parts;
  std::erase_if(this->runs, [&](const auto& aEntry) {
    const Run& run = aEntry.second;
    if (run.server != aServer) {
      return false;
    }
    if (!run.expiresAt || *run.expiresAt >= aNow) {
      parts.insert(parts.end(), run.parts.begin(), run.parts.end());
    }
    return true;
  });
  if (!parts.empty()) {
    this->AddCrash(aServer, aNow, std::move(parts), aNow);
  }
}

void PromptPartQuarantine::Merge(const PromptPartEvidence& aEvidence, TimePoint aNow)
{
  for (const auto& survival : aEvidence.survivals) {
    const auto at = aNow - survival.age;
    const bool isKnown = this->HasSurvived(survival.part) &&
                         at <= this->LastSurvival(survival.part) + kSurvivalTolerance;
    if (!isKnown) {
      this->AddSurvival(survival.part, { at, false }, aNow);
    }
  }
  for (const auto& crash : aEvidence.crashes) {
    if (crash.age < kLifetime) {
      this->AddCrash(crash.server, aNow - crash.age, crash.parts, aNow);
    }
  }
  for (const auto part : aEvidence.quarantined) {
    this->OnQuarantinedElsewhere(part, aNow);
  }
}

void PromptPartQuarantine::AddCrash(const ServerId& aServer,
                                    TimePoint aAt,
                                    std::vector<PromptPartId> aParts,
                                    TimePoint aNow)
{
  auto known = std::ranges::find_if(this->crashes, [&](const Crash& aCrash) {
    return aCrash.server == aServer && aCrash.at - aAt <= kSameCrash &&
           aAt - aCrash.at <= kSameCrash;
  });
  if (known == this->crashes.end()) {
    if (this->crashes.size() >= kMaxCrashes) {
      this->crashes.pop_front();
    }
    const auto later = std::ranges::upper_bound(this->crashes, aAt, {}, &Crash::at);
    known = this->crashes.insert(later, Crash{ aServer, aAt, TimePoint{}, {} });
  }
  Crash& crash = *known;
  std::erase_if(aParts, [&](PromptPartId aPart) {
    return this->LastSurvival(aPart) >= crash.at || Contains(crash.parts, aPart);
  });
  if (crash.parts.size() + aParts.size() > kMaxPartsPerCrash) {
    // Keeps the parts that recur: a caller could fill the list with parts of its own.
    std::ranges::stable_partition(
      aParts, [&](PromptPartId aPart) { return this->IsSharedElsewhere(aPart, crash); });
  }
  for (const auto part : aParts) {
    if (crash.parts.size() >= kMaxPartsPerCrash || Contains(crash.parts, part)) {
      continue;
    }
    crash.parts.push_back(part);
    crash.changedAt = aNow;
    this->lastChange = aNow;
    if (this->HasSurvived(part)) {
      this->AddSurvivalNews(part, this->lastSurvivals.at(part), aNow);
    }
  }
}

bool PromptPartQuarantine::IsSharedElsewhere(PromptPartId aPart,
                                             const Crash& aCrash) const
{
  return std::ranges::any_of(this->crashes, [&](const Crash& aOther) {
    return &aOther != &aCrash && Contains(aOther.parts, aPart);
  });
}

void PromptPartQuarantine::AddSurvival(PromptPartId aPart,
                                       const LastRun& aRun,
                                       TimePoint aNow)
{
  bool isNews = std::ranges::any_of(this->crashes, [aPart](const Crash& aCrash) {
    return Contains(aCrash.parts, aPart);
  });
  if (this->lastSurvivals.size() >= kMaxSurvivals) {
    std::erase_if(this->lastSurvivals, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.at > kSurvivalRetentionWhenFull;
    });
  }
  if (this->lastSurvivals.size() < kMaxSurvivals || this->lastSurvivals.contains(aPart)) {
    auto& last = this->lastSurvivals.try_emplace(aPart, aRun).first->second;
    last = last.at < aRun.at ? aRun : last;
  }
  for (auto& crash : this->crashes) {
    if (crash.at <= aRun.at) {
      std::erase(crash.parts, aPart);
    }
  }
  const auto entry = this->quarantined.find(aPart);
  if (entry != this->quarantined.end() && entry->second.since < aRun.at) {
    this->quarantined.erase(entry);
    isNews = true;
  }
  if (isNews) {
    this->AddSurvivalNews(aPart, aRun, aNow);
  }
}

void PromptPartQuarantine::AddSurvivalNews(PromptPartId aPart,
                                           const LastRun& aRun,
                                           TimePoint aNow)
{
  if (this->survivalNews.size() >= kMaxReportedSurvivals) {
    this->survivalNews.pop_front();
  }
  this->survivalNews.push_back({ aPart, aRun, aNow });
}

void PromptPartQuarantine::OnQuarantinedElsewhere(PromptPartId aPart, TimePoint aNow)
{
  const bool survivedRecently = this->LastSurvival(aPart) > aNow - kRecentSurvival;
  if (!survivedRecently) {
    this->Quarantine(aPart, false, aNow);
  }
}

void PromptPartQuarantine::Quarantine(PromptPartId aPart,
                                      bool aIsOwnVerdict,
                                      TimePoint aNow)
{
  if (this->quarantined.contains(aPart)) {
    return;
  }
  if (this->quarantined.size() >= kMaxQuarantined) {
    this->quarantined.erase(std::ranges::min_element(
      this->quarantined, {}, [](const auto& aEntry) { return aEntry.second.until; }));
  }
  this->quarantined.emplace(aPart, Entry{ aNow, aNow + kLifetime, aIsOwnVerdict });
}

void PromptPartQuarantine::Release(PromptPartId aPart, TimePoint aNow)
{
  this->quarantined.erase(aPart);
  this->AddSurvival(aPart, { aNow, true }, aNow);
}

std::optional<PromptPartId> PromptPartQuarantine::FindQuarantined(
  std::span<const PromptPartId> aParts,
  TimePoint aNow) const
{
  if (this->quarantined.empty()) {
    return std::nullopt;
  }
  const auto found = std::ranges::find_if(aParts, [&](PromptPartId aPart) {
    return this->RemainingTime(aPart, aNow) > Duration::zero();
  });
  return found == aParts.end() ? std::nullopt : std::optional(*found);
}

Duration PromptPartQuarantine::RemainingTime(PromptPartId aPart, TimePoint aNow) const
{
  const auto entry = this->quarantined.find(aPart);
  return entry == this->quarantined.end()
           ? Duration::zero()
           : std::max(entry->second.until - aNow, Duration::zero());
}

std::vector<PromptPartId> PromptPartQuarantine::Quarantined(TimePoint aNow) const
{
  std::vector<PromptPartId> parts;
  for (const auto& [part, entry] : this->quarantined) {
    if (entry.until > aNow) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<PromptPartQuarantine::Verdict> PromptPartQuarantine::OnTime(TimePoint aNow)
{
  std::erase_if(this->runs, [aNow](const auto& aEntry) {
    return aEntry.second.expiresAt && *aEntry.second.expiresAt < aNow;
  });
  std::erase_if(this->crashes,
                [aNow](const Crash& aCrash) { return aNow - aCrash.at > kLifetime; });
  std::erase_if(this->lastSurvivals, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.at > kSurvivalRetention;
  });
  std::erase_if(this->survivalNews, [aNow](const Survival& aSurvival) {
    return aNow - aSurvival.changedAt > kNewsLifetime;
  });
  std::erase_if(this->quarantined,
                [aNow](const auto& aEntry) { return aEntry.second.until <= aNow; });
  std::vector<Verdict> verdicts;
  if (aNow - this->lastChange > kJudgingTime) {
    return verdicts;
  }
  while (const auto verdict = this->FindCulprit(aNow)) {
    this->Quarantine(verdict->part, true, aNow);
    verdicts.push_back(*verdict);
  }
  return verdicts;
}

std::optional<PromptPartQuarantine::Verdict> PromptPartQuarantine::FindCulprit(
  TimePoint aNow) const
{
  auto suspicions = this->Suspicions(aNow);
  std::erase_if(suspicions, [this](const Suspicion& aSuspicion) {
    return aSuspicion.distinctCrashes <
           (this->HasSurvived(aSuspicion.part) ? kDecisiveCrashes : kMinCrashes);
  });
  // Of parts that share their crashes, the one that has not gone on for longest is the
  // likeliest, then the last in the prompt: it is in the fewest other requests.
  const auto suspect =
    std::ranges::max_element(suspicions, [this](const auto& aLeft, const auto& aRight) {
      return std::tuple(!this->HasSurvived(aLeft.part),
                        aLeft.distinctCrashes,
                        this->LastSurvival(aRight.part),
                        aLeft.position) < std::tuple(!this->HasSurvived(aRight.part),
                                                     aRight.distinctCrashes,
                                                     this->LastSurvival(aLeft.part),
                                                     aRight.position);
    });
  if (suspect == suspicions.end()) {
    return std::nullopt;
  }
  const bool hasRival = std::ranges::any_of(suspicions, [&](const Suspicion& aOther) {
    return aOther.part != suspect->part && !this->HasSurvived(aOther.part) &&
           aOther.distinctCrashes >= suspect->distinctCrashes &&
           std::ranges::find_first_of(aOther.crashes, suspect->crashes) !=
             aOther.crashes.end();
  });
  if (hasRival && suspect->distinctCrashes < kDecisiveCrashes) {
    return std::nullopt;
  }
  return Verdict{ suspect->part, suspect->crashes.size() };
}

std::vector<PromptPartQuarantine::Suspicion> PromptPartQuarantine::Suspicions(
  TimePoint aNow) const
{
  std::unordered_map<PromptPartId, Suspicion> byPart;
  for (const auto& crash : this->crashes) {
    if (crash.at > aNow - kSettlingTime || this->IsExplained(crash)) {
      continue;
    }
    for (std::size_t position = 0; position < crash.parts.size(); ++position) {
      Suspicion& suspicion = byPart[crash.parts[position]];
      suspicion.part = crash.parts[position];
      suspicion.position = position;
      const bool isDistinct =
        suspicion.distinctCrashes == 0 ||
        crash.at - suspicion.lastDistinctCrashAt >= kMinCrashDistance;
      if (isDistinct) {
        ++suspicion.distinctCrashes;
        suspicion.lastDistinctCrashAt = crash.at;
      }
      suspicion.crashes.push_back(&crash);
    }
  }
  std::vector<Suspicion> suspicions;
  std::ranges::move(byPart | std::views::values, std::back_inserter(suspicions));
  return suspicions;
}

bool PromptPartQuarantine::IsExplained(const Crash& aCrash) const
{
  return std::ranges::any_of(aCrash.parts, [this](PromptPartId aPart) {
    return this->quarantined.contains(aPart);
  });
}

TimePoint PromptPartQuarantine::LastSurvival(PromptPartId aPart) const
{
  const auto found = this->lastSurvivals.find(aPart);
  return found == this->lastSurvivals.end() ? TimePoint::min() : found->second.at;
}

bool PromptPartQuarantine::HasSurvived(PromptPartId aPart) const
{
  return this->lastSurvivals.contains(aPart);
}

PromptPartEvidence PromptPartQuarantine::News(TimePoint aNow, NewsScope aScope) const
{
  PromptPartEvidence news;
  for (const auto& crash : this->crashes | std::views::reverse) {
    const bool isNew = aNow - crash.changedAt <= kNewsLifetime && !crash.parts.empty();
    if (isNew && news.crashes.size() < kMaxReportedCrashes) {
      news.crashes.push_back({ crash.server, aNow - crash.at, crash.parts });
    }
  }
  for (const auto& survival : this->survivalNews) {
    if (survival.run.isOwn || aScope == NewsScope::All) {
      news.survivals.push_back({ survival.part, aNow - survival.run.at });
    }
  }
  for (const auto& [part, entry] : this->quarantined) {
    if (entry.isOwnVerdict && news.quarantined.size() < kMaxReportedQuarantined) {
      news.quarantined.push_back(part);
    }
  }
  return news;
}

nlohmann::json PromptPartQuarantine::Describe(TimePoint aNow) const
{
  auto parts = nlohmann::json::array();
  for (const auto& [part, entry] : this->quarantined) {
    parts.push_back({ { "part", FormatHexadecimal(part) },
                      { "own_verdict", entry.isOwnVerdict },
                      { "remaining_seconds", ToSeconds(entry.until - aNow) } });
  }
  return { { "starting_runs", this->runs.size() },
           { "crashes", this->crashes.size() },
           { "quarantined", std::move(parts) } };
}

} // namespace toucanstand
