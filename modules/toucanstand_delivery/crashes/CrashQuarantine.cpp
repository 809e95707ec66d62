#include "crashes/CrashQuarantine.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "crashes/HomeServers.h"

namespace toucanstand {

namespace {

SuspectDelta MakeDelta(std::uint64_t aFingerprint,
                       const std::set<CrashMark>& aMarks,
                       const std::set<CrashMark>& aCleared,
                       Duration aRemaining)
{
  return { aFingerprint,
           { aMarks.begin(), aMarks.end() },
           { aCleared.begin(), aCleared.end() },
           aRemaining };
}

void InsertUpToMaximum(std::set<CrashMark>& aTarget, const std::vector<CrashMark>& aMarks)
{
  for (const auto& mark : aMarks) {
    if (aTarget.size() < CrashQuarantine::kMaximumMarks) {
      aTarget.insert(mark);
    }
  }
}

} // namespace

RunEnd RunEndOf(const std::optional<AttemptFailure>& aFailure)
{
  if (!aFailure || *aFailure == AttemptFailure::ServerError) {
    return RunEnd::Survived;
  }
  return ProvesNotRun(*aFailure) ? RunEnd::NotRun : RunEnd::Abandoned;
}

void CrashQuarantine::OnSent(const RequestId& aRequest,
                             std::uint64_t aFingerprint,
                             const ServerId& aServer)
{
  if (const auto earlier = this->runs.find(aRequest); earlier != this->runs.end()) {
    this->runsOfServer[earlier->second.server].erase(aRequest);
    this->runs.erase(earlier);
  }
  const Record* record = this->Find(aFingerprint);
  const std::size_t prior = record == nullptr ? 0 : record->marks.size();
  this->runs.emplace(aRequest,
                     Run{ aFingerprint, aServer, static_cast<std::uint32_t>(prior), {} });
  this->runsOfServer[aServer].insert(aRequest);
}

void CrashQuarantine::OnEnded(const RequestId& aRequest, RunEnd aEnd, TimePoint aNow)
{
  const auto found = this->runs.find(aRequest);
  if (found == this->runs.end()) {
    return;
  }
  if (aEnd == RunEnd::Abandoned) {
    found->second.expiresAt = aNow + kAbandonedRunRetention;
    return;
  }
  if (aEnd == RunEnd::Survived) {
    this->RecordAnswer(found->second.fingerprint, aNow);
  }
  const auto record = this->records.find(found->second.fingerprint);
  // Only a run that was sent after the last known crash clears the marks: a run sent
  // before it is no evidence that the fingerprint is harmless.
  if (aEnd == RunEnd::Survived && record != this->records.end() &&
      found->second.priorMarks >= record->second.marks.size() &&
      LevelOf(record->second) == SuspicionLevel::RunAlone) {
    record->second.cleared = record->second.marks;
    this->changedFingerprints.insert(found->second.fingerprint);
  }
  this->runsOfServer[found->second.server].erase(aRequest);
  this->runs.erase(found);
}

std::vector<Suspect> CrashQuarantine::OnServerCrashed(const ServerId& aServer,
                                                      TimePoint aNow)
{
  this->serverLostAt.insert_or_assign(aServer, aNow);
  const auto found = this->runsOfServer.find(aServer);
  if (found == this->runsOfServer.end()) {
    return {};
  }
  const std::unordered_set<RequestId> requests = std::move(found->second);
  this->runsOfServer.erase(found);
  std::vector<Suspect> suspects;
  for (const auto& request : requests) {
    const Run run = this->runs.at(request);
    this->runs.erase(request);
    if (run.expiresAt && *run.expiresAt < aNow) {
      continue;
    }
    this->AddMark(run, aNow);
    if (!run.expiresAt) {
      suspects.push_back({ request, run.fingerprint, SuspicionLevel::RunAlone });
    }
  }
  for (auto& suspect : suspects) {
    suspect.level = this->Level(suspect.fingerprint, aNow);
  }
  std::ranges::sort(suspects, {}, &Suspect::request);
  return suspects;
}

void CrashQuarantine::OnServerLost(const ServerId& aServer, TimePoint aNow)
{
  // Keeps the first time: requests that hit the same dead server later must not prolong
  // the wait of other requests.
  this->serverLostAt.try_emplace(aServer, aNow);
}

TimePoint CrashQuarantine::CrashReportsDueBy(const std::vector<ServerId>& aHomes) const
{
  TimePoint until{};
  for (const auto& home : aHomes) {
    const auto lost = this->serverLostAt.find(home);
    if (lost != this->serverLostAt.end()) {
      until = std::max(until, lost->second + kCrashReportDelay);
    }
  }
  return until;
}

SuspicionLevel CrashQuarantine::Level(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const Record* record = this->Find(aFingerprint);
  return record == nullptr || record->expiresAt <= aNow ? SuspicionLevel::Clear
                                                        : LevelOf(*record);
}

bool CrashQuarantine::MayRunOn(std::uint64_t aFingerprint,
                               const ServerId& aServer,
                               TimePoint aNow) const
{
  const SuspicionLevel level = this->Level(aFingerprint, aNow);
  if (level != SuspicionLevel::RunAlone) {
    return level == SuspicionLevel::Clear;
  }
  return std::ranges::none_of(this->runs, [&](const auto& aEntry) {
    const Run& run = aEntry.second;
    const bool ended = run.expiresAt && *run.expiresAt < aNow;
    const bool otherSuspectOnServer =
      run.server == aServer &&
      this->Level(run.fingerprint, aNow) != SuspicionLevel::Clear;
    return !ended && (run.fingerprint == aFingerprint || otherSuspectOnServer);
  });
}

Placement CrashQuarantine::Place(std::uint64_t aFingerprint,
                                 const std::vector<ServerId>& aServers,
                                 TimePoint aNow,
                                 std::optional<std::uint64_t> aHomeKey) const
{
  const SuspicionLevel level = this->Level(aFingerprint, aNow);
  if (level == SuspicionLevel::Quarantined) {
    return { PlacementKind::Reject, {}, {} };
  }
  // Both suspects and fingerprints without suspicion wait for outstanding crash reports.
  // A copy of a suspect that another entry VM sent earlier may still crash its second
  // home server, which is known only when that VM's report has arrived.
  const auto homes = HomeServers(aHomeKey.value_or(aFingerprint), aServers);
  const TimePoint reportsDueBy = this->CrashReportsDueBy(homes);
  if (reportsDueBy > aNow) {
    return { PlacementKind::Wait, {}, reportsDueBy };
  }
  if (level == SuspicionLevel::Clear && !homes.empty()) {
    return { PlacementKind::Run, homes, {} };
  }
  const auto server = this->TrialServer(aFingerprint, homes);
  if (!server || !this->MayRunOn(aFingerprint, *server, aNow)) {
    return { PlacementKind::Wait, {}, aNow + kPlacementRetryInterval };
  }
  return { PlacementKind::RunAlone, { *server }, {} };
}

std::optional<ServerId> CrashQuarantine::TrialServer(
  std::uint64_t aFingerprint,
  const std::vector<ServerId>& aHomes) const
{
  const Record* record = this->Find(aFingerprint);
  const auto crashedWithSuspect = [record](const ServerId& aServer) {
    return record != nullptr &&
           std::ranges::any_of(record->marks, [&aServer](const CrashMark& aMark) {
             return aMark.server == aServer;
           });
  };
  const auto found = std::ranges::find_if_not(aHomes, crashedWithSuspect);
  return found == aHomes.end() ? std::nullopt : std::optional(*found);
}

bool CrashQuarantine::Merge(const SuspectDelta& aDelta, TimePoint aNow)
{
  if (aDelta.marks.empty() || aDelta.remaining <= Duration::zero()) {
    return false;
  }
  Record& record = this->FindOrInsert(aDelta.fingerprint, aNow);
  const std::size_t sizeBefore = record.marks.size() + record.cleared.size();
  const std::size_t marksBefore = record.marks.size();
  InsertUpToMaximum(record.marks, aDelta.marks);
  InsertUpToMaximum(record.cleared, aDelta.cleared);
  if (record.marks.size() > marksBefore) {
    record.expiresAt =
      std::max(record.expiresAt, aNow + std::min(aDelta.remaining, kSuspicionLifetime));
  }
  const bool isNew = record.marks.size() + record.cleared.size() > sizeBefore;
  if (isNew) {
    this->changedFingerprints.insert(aDelta.fingerprint);
  }
  return isNew;
}

void CrashQuarantine::Merge(const QuarantineEntry& aEntry, TimePoint aNow)
{
  if (aEntry.until <= aNow) {
    return;
  }
  Record& record = this->FindOrInsert(aEntry.fingerprint, aNow);
  record.quarantinedRemotely = true;
  record.expiresAt =
    std::max(record.expiresAt, std::min(aEntry.until, aNow + kSuspicionLifetime));
}

SuspectDelta CrashQuarantine::DeltaFor(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const Record* record = this->Find(aFingerprint);
  if (record == nullptr || record->expiresAt <= aNow) {
    return { aFingerprint, {}, {}, Duration::zero() };
  }
  return MakeDelta(
    aFingerprint, record->marks, record->cleared, record->expiresAt - aNow);
}

std::vector<SuspectDelta> CrashQuarantine::TakeDeltas(TimePoint aNow)
{
  std::vector<SuspectDelta> deltas;
  for (const std::uint64_t fingerprint : std::exchange(this->changedFingerprints, {})) {
    auto delta = this->DeltaFor(fingerprint, aNow);
    if (delta.remaining >= kMinForwardedLifetime) {
      deltas.push_back(std::move(delta));
    }
  }
  return deltas;
}

std::vector<SuspectDelta> CrashQuarantine::AllDeltas(TimePoint aNow) const
{
  std::vector<SuspectDelta> deltas;
  for (const auto& [fingerprint, record] : this->records) {
    if (!record.marks.empty() && record.expiresAt - aNow >= kMinForwardedLifetime) {
      deltas.push_back(
        MakeDelta(fingerprint, record.marks, record.cleared, record.expiresAt - aNow));
    }
  }
  return deltas;
}

std::vector<QuarantineEntry> CrashQuarantine::Quarantined(TimePoint aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, record] : this->records) {
    if (record.expiresAt > aNow && LevelOf(record) == SuspicionLevel::Quarantined) {
      entries.push_back({ fingerprint, record.expiresAt });
    }
  }
  return entries;
}

std::vector<std::uint64_t> CrashQuarantine::LocallyQuarantined(TimePoint aNow) const
{
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, record] : this->records) {
    if (record.expiresAt > aNow && !record.quarantinedRemotely &&
        LevelOf(record) == SuspicionLevel::Quarantined) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

void CrashQuarantine::OnTime(TimePoint aNow)
{
  std::erase_if(this->records,
                [aNow](const auto& aEntry) { return aEntry.second.expiresAt <= aNow; });
  std::erase_if(this->answeredAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kAnswerRetention;
  });
  std::erase_if(this->serverLostAt, [aNow](const auto& aEntry) {
    return aEntry.second + kLostServerRetention <= aNow;
  });
  std::erase_if(this->runs, [this, aNow](const auto& aEntry) {
    const bool ended = aEntry.second.expiresAt && *aEntry.second.expiresAt <= aNow;
    if (ended) {
      this->runsOfServer[aEntry.second.server].erase(aEntry.first);
    }
    return ended;
  });
  std::erase_if(this->runsOfServer,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

nlohmann::json CrashQuarantine::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::object();
  document["in_flight"] = this->runs.size();
  document["answered"] = this->answeredAt.size();
  document["fingerprints"] = nlohmann::json::array();
  for (const auto& [fingerprint, record] : this->records) {
    document["fingerprints"].push_back(
      { { "fingerprint", std::to_string(fingerprint) },
        { "marks", record.marks.size() },
        { "cleared", record.cleared.size() },
        { "quarantined", LevelOf(record) == SuspicionLevel::Quarantined },
        { "remaining_seconds", ToSeconds(record.expiresAt - aNow) } });
  }
  return document;
}

std::size_t CrashQuarantine::UnclearedMarks(const Record& aRecord)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aRecord.marks, [&aRecord](const CrashMark& aMark) {
      return !aRecord.cleared.contains(aMark);
    }));
}

SuspicionLevel CrashQuarantine::LevelOf(const Record& aRecord)
{
  const auto uncleared = UnclearedMarks(aRecord);
  const bool full = aRecord.marks.size() >= kMaximumMarks;
  const bool hasEnoughMarks = uncleared >= aRecord.marksForQuarantine;
  if (aRecord.quarantinedRemotely || hasEnoughMarks || full) {
    return SuspicionLevel::Quarantined;
  }
  return uncleared > 0 ? SuspicionLevel::RunAlone : SuspicionLevel::Clear;
}

const CrashQuarantine::Record* CrashQuarantine::Find(std::uint64_t aFingerprint) const
{
  const auto found = this->records.find(aFingerprint);
  return found == this->records.end() ? nullptr : &found->second;
}

CrashQuarantine::Record& CrashQuarantine::FindOrInsert(std::uint64_t aFingerprint,
                                                       TimePoint aNow)
{
  if (const auto found = this->records.find(aFingerprint); found != this->records.end()) {
    if (found->second.expiresAt <= aNow) {
      found->second = {};
    }
    return found->second;
  }
  if (this->records.size() >= kMaximumFingerprints) {
    this->EvictLeastSuspectedRecord();
  }
  return this->records[aFingerprint];
}

bool CrashQuarantine::WasAnsweredRecently(std::uint64_t aFingerprint,
                                          TimePoint aNow) const
{
  const auto answered = this->answeredAt.find(aFingerprint);
  return answered != this->answeredAt.end() &&
         aNow - answered->second <= kAnswerRetention;
}

void CrashQuarantine::RecordAnswer(std::uint64_t aFingerprint, TimePoint aNow)
{
  if (this->answeredAt.size() < kMaximumAnswered ||
      this->answeredAt.contains(aFingerprint)) {
    this->answeredAt.insert_or_assign(aFingerprint, aNow);
  }
}

void CrashQuarantine::AddMark(const Run& aRun, TimePoint aNow)
{
  Record& record = this->FindOrInsert(aRun.fingerprint, aNow);
  record.expiresAt = aNow + kSuspicionLifetime;
  if (UnclearedMarks(record) == 0) {
    record.marksForQuarantine = this->WasAnsweredRecently(aRun.fingerprint, aNow)
                                  ? kMarksAfterAnswers
                                  : kMarksForQuarantine;
  }
  const bool isSameFault = record.marksForQuarantine == kMarksAfterAnswers &&
                           aNow - record.lastOwnMarkAt < kMinCrashDistance;
  if (isSameFault) {
    return;
  }
  InsertUpToMaximum(record.marks, { { aRun.server, aRun.priorMarks } });
  record.lastOwnMarkAt = aNow;
  this->changedFingerprints.insert(aRun.fingerprint);
}

void CrashQuarantine::EvictLeastSuspectedRecord()
{
  // Evicts the least suspected record that expires first. Quarantined fingerprints are
  // kept longest, because a forgotten one would crash servers again.
  const auto evicted =
    std::ranges::min_element(this->records, {}, [](const auto& aEntry) {
      return std::pair(LevelOf(aEntry.second), aEntry.second.expiresAt);
    });
  this->changedFingerprints.erase(evicted->first);
  this->records.erase(evicted);
}

} // namespace toucanstand
