#include "PromptPartRecords.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "text/Hexadecimal.h"

namespace toucanstand {

PromptPartRecords::PromptPartRecords(ServingState& aState,
                                     PlatformStore& aStore,
                                     PeerDirectory& aPeers)
  : state(aState)
  , store(aStore)
  , peers(aPeers)
  , timer(aState.loop)
{
}

Task<> PromptPartRecords::Run()
{
  while (true) {
    const auto now = BootClock::now();
    if (this->state.hasReadServers) {
      co_await this->WriteMissing(now);
      co_await this->DeleteEnded(now);
    }
    co_await this->Wait(kInterval);
  }
}

Task<> PromptPartRecords::WriteMissing(TimePoint aNow)
{
  const auto quarantined = this->state.promptPartQuarantine.Quarantined(aNow);
  std::erase_if(this->writesDue, [&](const auto& aEntry) {
    return this->stored.contains(aEntry.first) ||
           std::ranges::find(quarantined, aEntry.first) == quarantined.end();
  });
  for (const auto part : quarantined) {
    if (this->stored.contains(part)) {
      continue;
    }
    // The VMs reach the same verdict at about the same time; different delays let one
    // write serve all of them.
    const auto jitter =
      FromSeconds(ToSeconds(kNonRelayDelay) * this->state.random.Fraction());
    const auto delay = this->peers.IsRelay() ? jitter / 4 : kNonRelayDelay + jitter;
    const auto due = this->writesDue.try_emplace(part, aNow + delay).first;
    if (aNow < due->second) {
      continue;
    }
    std::string key = std::string(kKeyPrefix) + FormatHexadecimal(part);
    std::string value = this->state.settings.id.Value();
    const auto created =
      co_await this->store.CreateIfAbsent(std::move(key), std::move(value), 0);
    if (created) {
      this->stored[part] = *created;
    } else {
      // A conflict means that another VM wrote it; the change feed will show its record.
      this->writesDue[part] = BootClock::now() + kRetryDelay;
    }
  }
}

Task<> PromptPartRecords::DeleteEnded(TimePoint aNow)
{
  const auto quarantined = this->state.promptPartQuarantine.Quarantined(aNow);
  const auto records = this->stored;
  for (const auto& [part, revision] : records) {
    if (std::ranges::find(quarantined, part) != quarantined.end()) {
      continue;
    }
    std::string key = std::string(kKeyPrefix) + FormatHexadecimal(part);
    const auto deleted = co_await this->store.DeleteIf(std::move(key), revision);
    const bool isGone = deleted || deleted.LastReason() == StoreFailure::Conflict ||
                        deleted.LastReason() == StoreFailure::NotFound;
    if (isGone) {
      this->stored.erase(part);
    } else {
      co_await this->Wait(kRetryDelay);
    }
  }
}

void PromptPartRecords::OnSystemKeyChanged(const StoreChange& aChange)
{
  if (!aChange.key.starts_with(kKeyPrefix)) {
    return;
  }
  const auto part = ParseHexadecimal(aChange.key.substr(kKeyPrefix.size()));
  if (!part) {
    this->state.metrics.Count("prompt_part_records_unreadable_total");
    return;
  }
  const auto now = BootClock::now();
  const auto known = this->stored.find(*part);
  if (known != this->stored.end() && aChange.revision < known->second) {
    return;
  }
  if (aChange.value) {
    const bool isNew = known == this->stored.end();
    this->stored[*part] = aChange.revision;
    if (isNew) {
      this->state.promptPartQuarantine.OnQuarantinedElsewhere(*part, now);
    }
    return;
  }
  if (known != this->stored.end()) {
    const bool wasLost = IsFromLaterHistory(aChange.revision, known->second);
    this->stored.erase(known);
    if (wasLost) {
      // The copy that the store was restored from lacks the record: WriteMissing() writes
      // it again while the quarantine lasts.
      return;
    }
    this->state.promptPartQuarantine.Release(*part, now);
    this->state.log.Write(LogWeight::Notable,
                          "prompt_part_released",
                          { { "part", FormatHexadecimal(*part) } });
  }
}

Task<> PromptPartRecords::Wait(Duration aDuration)
{
  this->timer.expires_after(aDuration);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace toucanstand
