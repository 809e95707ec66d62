#include "DomainLease.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

DomainLease::DomainLease(boost::asio::io_context& aLoop,
                         PlatformStore& aStore,
                         std::string aKey,
                         std::string aOwner,
                         std::chrono::seconds aDuration,
                         Random aRandom)
  : timer(aLoop)
  , store(aStore)
  , key(std::move(aKey))
  , owner(std::move(aOwner))
  , duration(aDuration)
  , random(aRandom)
{
}

Task<> DomainLease::Run(Listener aListener)
{
  this->listener = std::move(aListener);
  while (!this->stopped) {
    if (this->lease == 0) {
      co_await this->TryToGain();
    } else {
      co_await this->Renew();
    }
    // A process without the lease asks less often: all entry VMs but one are such, and
    // every call counts towards the store's rate. The random part keeps them from asking
    // at the same time.
    const Duration whole = this->duration;
    const Duration period = this->lease == 0 ? whole : whole / 4;
    co_await this->Wait(period +
                        FromSeconds(ToSeconds(period) / 2 * this->random.Fraction()));
  }
}

Task<> DomainLease::Release()
{
  const auto ended = std::exchange(this->lease, 0);
  if (ended != 0) {
    // A lease that can't be ended now ends by itself.
    (void)co_await this->store.RevokeLease(ended);
  }
}

Task<> DomainLease::TryToGain()
{
  // Reading first keeps the common case, another holder, at one call.
  const auto holder = co_await this->store.Read(this->key);
  if (holder || holder.LastReason() != StoreFailure::NotFound || this->stopped) {
    co_return;
  }
  const auto startedAt = BootClock::now();
  const auto granted = co_await this->store.GrantLease(this->duration);
  if (!granted) {
    co_return;
  }
  const auto created =
    co_await this->store.CreateIfAbsent(this->key, this->owner, *granted);
  if (!created || this->stopped) {
    (void)co_await this->store.RevokeLease(*granted);
    co_return;
  }
  this->lease = *granted;
  this->renewedAt = startedAt;
  this->listener(true);
}

Task<> DomainLease::Renew()
{
  const auto startedAt = BootClock::now();
  const auto renewed = co_await this->store.KeepLeaseAlive(this->lease);
  if (this->lease == 0) {
    co_return;
  }
  if (renewed) {
    this->renewedAt = startedAt;
    co_return;
  }
  if (renewed.LastReason() == StoreFailure::Conflict ||
      renewed.LastReason() == StoreFailure::NotFound ||
      BootClock::now() - this->renewedAt >= this->duration) {
    this->lease = 0;
    this->listener(false);
  }
}

Task<> DomainLease::Wait(Duration aDuration)
{
  this->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(aDuration));
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace toucanstand
