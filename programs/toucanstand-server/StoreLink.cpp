#include "StoreLink.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "platform/ConfigurationReader.h"
#include "platform/ServerEntryReader.h"

namespace toucanstand {

namespace {

/// How often a relay reads the store: one answer brings all heartbeats of this time.
/// Group formation and the VMs behind the relay hear of a change after half of it on
/// average.
constexpr Duration kRelayInterval = std::chrono::milliseconds(300);
/// While nothing changes, the copy of a relay is as old as its last call is long.
constexpr std::chrono::milliseconds kRelayWait{ 250 };
/// How often the others make sure that they are up to date; news reach them unasked. A
/// configuration must be in force 2 s after it was accepted, and a leaving server must
/// get nothing 2 s after it said so.
constexpr Duration kFollowerInterval = std::chrono::milliseconds(600);
constexpr std::chrono::milliseconds kFollowerWait{ 1000 };
/// Registrations lapse after three heartbeats of 1.2 s; a shorter outage removes none.
constexpr Duration kShortestLapse = std::chrono::milliseconds(2000);

StoreMirrorSettings MirrorSettings()
{
  StoreMirrorSettings settings;
  settings.interval = kRelayInterval;
  settings.wait = kRelayWait;
  return settings;
}

} // namespace

StoreLink::StoreLink(ServingState& aState, ChangeFeed& aFeed)
  : state(aState)
  , mirror(aState.loop,
           aFeed,
           MirrorSettings(),
           StoreMirrorListener{
             [this](const StoreChange& aChange) { this->Take(aChange); },
             [this] { this->TellNews(); },
             [this](const std::vector<std::string>& aKeys) { this->TakeAll(aKeys); },
             [this](StoreFailure aFailure) { this->NoteLost(aFailure); },
             [this](Duration aOutage) { this->NoteRegained(aOutage); } })
{
}

void StoreLink::Take(const StoreChange& aChange)
{
  bool isNews = true;
  if (aChange.key == platform::kConfigurationKey) {
    isNews = aChange.value && this->TakeConfiguration(*aChange.value);
  } else if (const auto server = platform::ServerOfKey(aChange.key)) {
    isNews = this->TakeServer(*server, aChange);
  } else if (aChange.key.starts_with(kOwnPrefix)) {
    this->ownKeyListener(aChange);
  } else {
    return;
  }
  if (aChange.value) {
    this->knownKeys.insert(aChange.key);
  } else {
    this->knownKeys.erase(aChange.key);
  }
  if (isNews) {
    this->pendingNews.push_back(aChange);
  }
}

void StoreLink::SetRelay(bool aIsRelay)
{
  if (aIsRelay) {
    this->mirror.SetPace(kRelayInterval, kRelayWait);
  } else {
    this->mirror.SetPace(kFollowerInterval, kFollowerWait);
  }
}

void StoreLink::TakeUnasked(const ChangeAnswer& aNews)
{
  if (aNews.known) {
    this->mirror.TakeUnasked(aNews.after, aNews.changes);
  }
}

void StoreLink::TellNews()
{
  const auto now = BootClock::now();
  for (const auto& change : std::exchange(this->pendingNews, {})) {
    this->changeLog.Note(change, now);
  }
  const bool hasNews =
    this->newsListener && this->changeLog.LastRevision() > this->toldUpTo;
  if (!hasNews) {
    return;
  }
  this->newsListener(this->Answer({ 0, this->toldBefore }, now));
  this->toldBefore = std::exchange(this->toldUpTo, this->mirror.At());
}

ChangeAnswer StoreLink::Answer(const ChangeQuery& aQuery, TimePoint aNow) const
{
  ChangeAnswer answer;
  answer.number = aQuery.number;
  answer.after = aQuery.after;
  auto changes = this->changeLog.After(aQuery.after);
  answer.known = changes.has_value();
  if (changes) {
    answer.changes = { std::move(*changes),
                       this->mirror.At(),
                       aNow - this->mirror.UpToDateAt() };
  }
  return answer;
}

bool StoreLink::TakeConfiguration(const std::string& aText)
{
  auto configuration = platform::ReadConfiguration(aText);
  if (!configuration) {
    this->state.metrics.Count("configuration_unreadable_total");
    this->state.log.Write(LogWeight::Notable,
                          "configuration_rejected",
                          { { "reason", platform::Name(configuration.LastReason()) },
                            { "bytes", static_cast<std::int64_t>(aText.size()) } });
    return true;
  }
  const auto version = configuration->Version();
  const auto routes = static_cast<std::int64_t>(configuration->RouteCount());
  const bool taken = this->state.Apply(std::move(*configuration));
  this->state.log.Write(LogWeight::Notable,
                        taken ? "configuration_in_force" : "configuration_not_newer",
                        { { "version", version }, { "routes", routes } });
  return taken;
}

bool StoreLink::TakeServer(const ServerId& aServer, const StoreChange& aChange)
{
  const auto now = BootClock::now();
  const auto* known = this->state.directory.Find(aServer);
  if (!aChange.value) {
    if (known != nullptr) {
      this->state.log.Write(LogWeight::Notable,
                            "server_gone",
                            { { "server", aServer.Value() },
                              { "pool", known->pool.Value() },
                              { "revision", aChange.revision } });
    }
    this->state.directory.Remove(aServer, now);
    return true;
  }
  auto entry = platform::ReadServerEntry(aServer, *aChange.value);
  if (!entry) {
    // A registration that can't be read names no server to use.
    this->state.metrics.Count("registrations_unreadable_total");
    this->state.log.Write(LogWeight::Notable,
                          "registration_rejected",
                          { { "server", aServer.Value() },
                            { "reason", platform::Name(entry.LastReason()) } });
    this->state.directory.Remove(aServer, now);
    return true;
  }
  if (known == nullptr || known->leaving != entry->leaving) {
    this->state.log.Write(LogWeight::Notable,
                          entry->leaving ? "server_leaving" : "server_registered",
                          { { "server", aServer.Value() },
                            { "pool", entry->pool.Value() },
                            { "revision", aChange.revision } });
  }
  return this->state.directory.Put(std::move(*entry));
}

void StoreLink::TakeAll(const std::vector<std::string>& aKeys)
{
  const std::set<std::string> present(aKeys.begin(), aKeys.end());
  std::vector<std::string> missing;
  std::ranges::set_difference(this->knownKeys, present, std::back_inserter(missing));
  const auto at = this->mirror.At();
  for (const auto& key : missing) {
    this->Take({ key, std::nullopt, at });
  }
  const bool isFirst = !std::exchange(this->state.hasServers, true);
  if (isFirst) {
    this->pendingNews.clear();
    this->changeLog.Restart(at);
    this->toldUpTo = at;
    this->toldBefore = at;
  } else {
    // Peers that were as far as this copy before get all that has changed since.
    for (auto& change : this->pendingNews) {
      change.revision = std::max(change.revision, at);
    }
    std::ranges::stable_sort(this->pendingNews, {}, &StoreChange::revision);
    this->TellNews();
  }
  this->state.log.Write(LogWeight::Notable,
                        "store_read_whole",
                        { { "keys", static_cast<std::int64_t>(aKeys.size()) },
                          { "removed", static_cast<std::int64_t>(missing.size()) },
                          { "revision", at } });
}

void StoreLink::NoteLost(StoreFailure aFailure)
{
  this->state.log.Write(
    LogWeight::Notable, "store_lost", { { "reason", Name(aFailure) } });
}

void StoreLink::NoteRegained(Duration aOutage)
{
  if (aOutage >= kShortestLapse) {
    this->state.directory.OnStoreBack(BootClock::now());
  }
  this->state.log.Write(LogWeight::Notable,
                        "store_regained",
                        { { "outage_ms", ToMilliseconds(aOutage).count() } });
}

} // namespace toucanstand
