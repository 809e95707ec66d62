#include "StoreSynchronizer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "platform/ConfigurationReader.h"
#include "platform/EvacuationKey.h"
#include "platform/ServerEntryReader.h"

namespace toucanstand {

namespace {

/// Interval at which a relay reads the store; one answer contains all heartbeats of an
/// interval. Group formation and the VMs that follow the relay learn of a change after
/// half an interval on average.
constexpr Duration kRelayInterval = std::chrono::milliseconds(300);
/// Long-poll time of a relay. An answer brings the copy up to date as of the start of the
/// call, so while nothing changes, the copy is already this old when the answer arrives.
constexpr std::chrono::milliseconds kRelayWait{ 250 };
/// Interval at which other VMs query a relay to check that they are up to date; changes
/// are also pushed to them. A configuration must be in force 2 s after it was accepted,
/// and a leaving server must get no requests 2 s after it announced that.
constexpr Duration kFollowerInterval = std::chrono::milliseconds(600);
constexpr std::chrono::milliseconds kFollowerWait{ 1000 };
/// Minimum outage of the store that may have caused registrations to expire. They expire
/// after three missed heartbeats of 1.2 s, so no shorter outage removes any.
constexpr Duration kMinOutageWithExpiry = std::chrono::milliseconds(2000);
/// Bytes of an unreadable entry's key that a log line shows.
constexpr std::size_t kMaxLoggedKeyBytes = 128;

StoreMirrorSettings MirrorSettings()
{
  StoreMirrorSettings settings;
  settings.interval = kRelayInterval;
  settings.wait = kRelayWait;
  return settings;
}

} // namespace

StoreSynchronizer::StoreSynchronizer(ServingState& aState, ChangeFeed& aFeed)
  : state(aState)
  , mirror(aState.loop,
           aFeed,
           MirrorSettings(),
           StoreMirrorListener{
             [this](const StoreChange& aChange) { this->ApplyChange(aChange); },
             [this] { this->PushChanges(); },
             [this](const std::vector<std::string>& aKeys, StoreRevision aPrevious) {
               this->OnReadAll(aKeys, aPrevious);
             },
             [this](StoreFailure aFailure) { this->OnStoreLost(aFailure); },
             [this](Duration aOutage) { this->OnStoreRegained(aOutage); },
             [this](StoreHistory aHistory) { this->OnStoreRestored(aHistory); } })
{
}

void StoreSynchronizer::ApplyChange(const StoreChange& aChange)
{
  bool isNew = true;
  if (aChange.key == platform::kConfigurationKey) {
    isNew = aChange.value && this->ApplyConfiguration(*aChange.value, aChange.revision);
  } else if (const auto server = platform::ServerIdFromKey(aChange.key)) {
    isNew = this->ApplyServerEntry(*server, aChange);
  } else if (platform::IsServerKey(aChange.key)) {
    this->CountUnreadableEntry(aChange, platform::ServerEntryFailure::InvalidId);
  } else if (platform::IsEvacuationKey(aChange.key)) {
    isNew = this->ApplyEvacuation(aChange);
  } else if (aChange.key.starts_with(kSystemKeyPrefix)) {
    this->systemKeyListener(aChange);
  } else {
    return;
  }
  if (aChange.value) {
    this->knownKeys.insert(aChange.key);
  } else {
    this->knownKeys.erase(aChange.key);
  }
  if (isNew) {
    this->changesToPush.push_back(aChange);
  }
}

void StoreSynchronizer::SetIsRelay(bool aIsRelay)
{
  if (aIsRelay) {
    this->mirror.SetPace(kRelayInterval, kRelayWait);
  } else {
    this->mirror.SetPace(kFollowerInterval, kFollowerWait);
  }
}

void StoreSynchronizer::ApplyPushedChanges(const ChangeAnswer& aPushed)
{
  if (aPushed.known) {
    this->mirror.TakeUnasked(aPushed.after, aPushed.changes);
  }
}

void StoreSynchronizer::PushChanges()
{
  const auto now = BootClock::now();
  for (const auto& change : std::exchange(this->changesToPush, {})) {
    this->changeLog.Note(change, now);
  }
  const bool hasChangesToPush =
    this->pushListener && this->changeLog.LastRevision() > this->pushedUpTo;
  if (!hasChangesToPush) {
    return;
  }
  this->pushListener(this->AnswerQuery({ 0, this->previouslyPushedUpTo }, now));
  this->previouslyPushedUpTo = std::exchange(this->pushedUpTo, this->mirror.At());
}

ChangeAnswer StoreSynchronizer::AnswerQuery(const ChangeQuery& aQuery,
                                            TimePoint aNow) const
{
  ChangeAnswer answer;
  answer.number = aQuery.number;
  answer.after = aQuery.after;
  auto changes = this->changeLog.After(aQuery.after);
  // A copy of the time before a restoration says nothing about the restored store.
  answer.known = changes && !IsFromLaterHistory(aQuery.after, this->mirror.At());
  if (answer.known) {
    answer.changes = { std::move(*changes),
                       this->mirror.At(),
                       aNow - this->mirror.UpToDateAt() };
  }
  return answer;
}

bool StoreSynchronizer::ApplyConfiguration(const std::string& aText,
                                           StoreRevision aRevision)
{
  // A peer that started since the store was restored may not have a version that this VM
  // already has when the operator writes it again.
  const bool isNewWrite = aRevision > this->configurationRevision;
  this->configurationRevision = std::max(aRevision, this->configurationRevision);
  const auto readingSince = BootClock::now();
  auto configuration = platform::ReadConfiguration(aText);
  if (!configuration) {
    this->state.metrics.Count("configuration_unreadable_total");
    this->state.log.Write(LogWeight::Notable,
                          "configuration_rejected",
                          { { "reason", platform::Name(configuration.LastReason()) },
                            { "bytes", static_cast<std::int64_t>(aText.size()) } });
    return isNewWrite;
  }
  const auto hasUnreadableTerms = [](const ServingPool& aPool) {
    return aPool.areColdTermsUnreadable;
  };
  if (std::ranges::any_of(configuration->Pools(), hasUnreadableTerms)) {
    this->state.metrics.Count("cold_values_unreadable_total{in=\"configuration\"}");
  }
  const auto version = configuration->Version();
  const auto routes = static_cast<std::int64_t>(configuration->RouteCount());
  const auto malformedDelays = configuration->MalformedZoneDelays();
  const bool applied = this->state.ApplyConfiguration(std::move(*configuration));
  if (applied && malformedDelays > 0) {
    this->state.metrics.Count("zone_distances_unreadable_total", malformedDelays);
  }
  this->state.log.Write(
    LogWeight::Notable,
    applied ? "configuration_in_force" : "configuration_not_newer",
    { { "version", version },
      { "routes", routes },
      { "bytes", static_cast<std::int64_t>(aText.size()) },
      { "reading_ms", ToMilliseconds(BootClock::now() - readingSince).count() } });
  return isNewWrite;
}

bool StoreSynchronizer::ApplyServerEntry(const ServerId& aServer,
                                         const StoreChange& aChange)
{
  const auto now = BootClock::now();
  const auto* known = this->state.directory.Find(aServer);
  if (!aChange.value) {
    if (known != nullptr) {
      this->state.log.Write(LogWeight::Notable,
                            "server_gone",
                            { { "server", aServer.Value() },
                              { "pool", known->pool.Value() },
                              { "revision", RevisionText(aChange.revision) } });
    }
    this->state.directory.Remove(aServer, now);
    return true;
  }
  auto entry = platform::ReadServerEntry(aServer, *aChange.value);
  if (!entry) {
    // Without a readable registration, the server can't be used.
    this->CountUnreadableEntry(aChange, entry.LastReason());
    this->state.directory.Remove(aServer, now);
    return true;
  }
  // A server that said in an answer that it leaves may be registered as ready.
  const bool isOtherRun =
    known == nullptr || known->startedAtUnixMs != entry->startedAtUnixMs;
  if (isOtherRun || (entry->leaving && !known->leaving)) {
    this->state.log.Write(LogWeight::Notable,
                          entry->leaving ? "server_leaving" : "server_registered",
                          { { "server", aServer.Value() },
                            { "pool", entry->pool.Value() },
                            { "revision", RevisionText(aChange.revision) } });
  }
  const bool isCold = entry->coldTime.IsCold();
  this->ApplyColdTime(*entry, now);
  const bool isNews = this->state.directory.Put(std::move(*entry));
  if (isCold) {
    this->state.coldServers.Update(now);
  }
  return isNews;
}

void StoreSynchronizer::ApplyColdTime(const ServerEntry& aEntry, TimePoint aNow)
{
  if (aEntry.coldTime.isUnreadable) {
    this->state.metrics.Count("cold_values_unreadable_total{in=\"registration\"}");
  }
  if (!this->state.coldServers.OnRegistration(aEntry, aNow)) {
    return;
  }
  this->state.metrics.Count("cold_servers_total");
  const auto remaining = this->state.coldServers.RemainingTime(aEntry.id, aNow);
  this->state.log.Write(LogWeight::Notable,
                        "server_cold",
                        { { "server", aEntry.id.Value() },
                          { "remaining_ms", ToMilliseconds(remaining).count() },
                          { "stated", aEntry.coldTime.IsCold() } });
}

void StoreSynchronizer::ReturnZone(const ZoneId& aZone, TimePoint aNow)
{
  const auto servers = this->state.coldServers.OnZoneReturned(aZone, aNow);
  if (servers > 0) {
    this->state.metrics.Count("cold_zones_total");
    this->state.log.Write(
      LogWeight::Notable,
      "zone_returns_cold",
      { { "zone", aZone.Value() }, { "servers", static_cast<std::int64_t>(servers) } });
  }
}

bool StoreSynchronizer::ApplyEvacuation(const StoreChange& aChange)
{
  const auto zone = platform::EvacuatedZoneFromKey(aChange.key);
  if (!zone) {
    if (!aChange.value) {
      return true;
    }
    this->state.metrics.Count("evacuations_unreadable_total");
    this->state.log.Write(LogWeight::Notable,
                          "evacuation_rejected",
                          { { "key", aChange.key.substr(0, kMaxLoggedKeyBytes) } });
    return true;
  }
  const auto now = BootClock::now();
  if (aChange.value) {
    if (!this->state.evacuations.Begin(*zone, now)) {
      return false;
    }
    this->state.metrics.Count("zone_evacuations_total");
    this->state.log.Write(
      LogWeight::Notable,
      "zone_evacuated",
      { { "zone", zone->Value() }, { "revision", RevisionText(aChange.revision) } });
    if (this->state.hasReadServers) {
      this->CheckEvacuation(*zone);
    }
  } else {
    const auto lasted = this->state.evacuations.End(*zone, now);
    if (!lasted) {
      return false;
    }
    this->state.log.Write(LogWeight::Notable,
                          "zone_taken_back",
                          { { "zone", zone->Value() },
                            { "evacuated_ms", ToMilliseconds(*lasted).count() },
                            { "revision", RevisionText(aChange.revision) } });
    this->ReturnZone(*zone, now);
  }
  this->state.OnEvacuationsChanged(now);
  return true;
}

void StoreSynchronizer::CheckEvacuation(const ZoneId& aZone)
{
  std::set<ZoneId> zones;
  std::ranges::transform(this->state.directory.Servers() | std::views::values,
                         std::inserter(zones, zones.end()),
                         &ServerEntry::zone);
  const bool isUnknown = !zones.contains(aZone);
  if (!isUnknown && !this->state.evacuations.AreAllEvacuated(zones)) {
    return;
  }
  this->state.metrics.Count("evacuations_doubtful_total");
  this->state.log.Write(
    LogWeight::Warning,
    "evacuation_doubtful",
    { { "zone", aZone.Value() },
      { "reason", isUnknown ? "no_server_in_zone" : "all_zones_evacuated" } });
}

void StoreSynchronizer::CountUnreadableEntry(const StoreChange& aChange,
                                             platform::ServerEntryFailure aFailure)
{
  if (!aChange.value) {
    return;
  }
  this->state.metrics.Count("registrations_unreadable_total");
  this->state.log.Write(LogWeight::Notable,
                        "registration_rejected",
                        { { "key", aChange.key.substr(0, kMaxLoggedKeyBytes) },
                          { "bytes", static_cast<std::int64_t>(aChange.value->size()) },
                          { "reason", platform::Name(aFailure) } });
}

void StoreSynchronizer::OnReadAll(const std::vector<std::string>& aKeys,
                                  StoreRevision aPrevious)
{
  const std::set<std::string> present(aKeys.begin(), aKeys.end());
  std::vector<std::string> missing;
  std::ranges::set_difference(this->knownKeys, present, std::back_inserter(missing));
  const auto readRevision = this->mirror.At();
  for (const auto& key : missing) {
    this->ApplyChange({ key, std::nullopt, readRevision });
  }
  const bool isFirst = !std::exchange(this->state.hasReadServers, true);
  if (isFirst) {
    this->changesToPush.clear();
    this->changeLog.Restart(readRevision);
    this->pushedUpTo = readRevision;
    this->previouslyPushedUpTo = readRevision;
  } else {
    this->changeLog.NoteFullRead(aPrevious, readRevision);
    // Changes found by a full read get at least its revision, so that peers which had
    // reached this copy's previous revision receive all of them.
    for (auto& change : this->changesToPush) {
      change.revision = std::max(change.revision, readRevision);
    }
    std::ranges::stable_sort(this->changesToPush, {}, &StoreChange::revision);
    this->PushChanges();
  }
  if (isFirst) {
    std::ranges::for_each(this->state.evacuations.Zones(),
                          [this](const ZoneId& aZone) { this->CheckEvacuation(aZone); });
  }
  this->state.log.Write(LogWeight::Notable,
                        "store_read_whole",
                        { { "keys", static_cast<std::int64_t>(aKeys.size()) },
                          { "removed", static_cast<std::int64_t>(missing.size()) },
                          { "revision", RevisionText(readRevision) } });
}

void StoreSynchronizer::OnStoreRestored(StoreHistory aHistory)
{
  const auto now = BootClock::now();
  this->state.log.Write(
    LogWeight::Notable,
    "store_restored",
    { { "history", aHistory }, { "previous", RevisionText(this->mirror.At()) } });
  // Servers register again as after an outage in which registrations expired.
  this->state.directory.OnStoreBack(now);
  if (this->restorationListener) {
    this->restorationListener(now);
  }
}

void StoreSynchronizer::OnStoreLost(StoreFailure aFailure)
{
  this->state.log.Write(
    LogWeight::Notable, "store_lost", { { "reason", Name(aFailure) } });
}

void StoreSynchronizer::OnStoreRegained(Duration aOutage)
{
  if (aOutage >= kMinOutageWithExpiry) {
    this->state.directory.OnStoreBack(BootClock::now());
  }
  this->state.log.Write(LogWeight::Notable,
                        "store_regained",
                        { { "outage_ms", ToMilliseconds(aOutage).count() },
                          { "revision", RevisionText(this->mirror.At()) } });
}

} // namespace toucanstand
