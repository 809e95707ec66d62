#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "contracts/ClientAccount.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How the concurrency limit of a pool follows the observed service latency.
struct LimitSettings
{
  /// False keeps the limit at the reported slots.
  bool adaptive = true;
  /// Lowest limit, as a share of the reported slots.
  double minimumShare = 0.2;
  /// Latency per cost, relative to the unloaded latency, from which the limit shrinks.
  double tolerance = 2.0;
  /// Period over which latency is averaged before the limit changes.
  Duration window = std::chrono::milliseconds(500);
  /// Samples of a class that a window needs.
  std::size_t minimumWindowSamples = 10;
  /// Share by which the unloaded latency may rise per window, so that a lasting change of
  /// the servers is accepted in the end.
  double baselineGrowth = 0.002;
};

/// Settings of an AdmissionController.
struct AdmissionSettings
{
  /// Accounts with a share or a worth of their own; others count as ordinary ones.
  std::vector<ClientAccount> accounts;
  /// Greatest share of a pool's slots that long work may take.
  double maximumLongShare = 0.5;
  /// Share that long work keeps however many slots short work needs.
  double minimumLongShare = 0.2;
  /// Share of the free slots given out in turn by account; the rest goes to the request
  /// with the highest worth per cost of any account.
  double fairShare = 0.25;
  /// Requests waiting for a pool, over all accounts and classes.
  std::size_t maximumQueued = 2000;
  /// Time that the waiting work of one class may need at the current limit.
  Duration maximumQueueTime = std::chrono::seconds(1);
  /// A request announced as short counts as long once it has run for this multiple of the
  /// mean service time of short work, but not before `minimumLongRunTime`.
  double longRunFactor = 5.0;
  Duration minimumLongRunTime = std::chrono::seconds(2);
  Duration minimumRetryAfter = std::chrono::milliseconds(100);
  Duration maximumRetryAfter = std::chrono::seconds(30);
  /// Retry-After is multiplied by a random factor in [1, 1 + retryJitter).
  double retryJitter = 0.5;
  LimitSettings limit;
};

} // namespace toucanstand
