#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "random/Random.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Competes for the lease key of one fabric domain and keeps the lease alive.
class DomainLease
{
public:
  /// Called with true when the lease was gained and with false when it was lost.
  using Listener = std::function<void(bool)>;

  /// @param aStore must outlive the lease.
  DomainLease(boost::asio::io_context& aLoop,
              PlatformStore& aStore,
              std::string aKey,
              std::string aOwner,
              std::chrono::seconds aDuration,
              Random aRandom);

  /// Competes until the process ends.
  Task<> Run(Listener aListener);

  /// Ends the lease at the store, so that another process gets it at once; Run() competes
  /// again after a pause.
  Task<> Release();

  /// Does not compete any more.
  void Stop() { this->stopped = true; }

private:
  Task<> TryToGain();
  Task<> Renew();
  Task<> Wait(Duration aDuration);

  boost::asio::steady_timer timer;
  PlatformStore& store;
  std::string key;
  std::string owner;
  std::chrono::seconds duration;
  Random random;
  StoreLease lease = 0;
  TimePoint renewedAt{};
  bool stopped = false;
  Listener listener;
};

} // namespace toucanstand
