#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "contracts/ClientAccount.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Settings of the concurrency limit of a pool. @see ConcurrencyLimit
struct LimitSettings
{
  /// Whether the limit follows the observed latency. If false, it equals the reported
  /// slots.
  bool adaptive = true;
  /// Lower bound of the limit, as a fraction of the reported slots.
  double minimumShare = 0.2;
  /// The limit shrinks when the latency is above this multiple of the unloaded latency,
  /// both per unit of cost.
  double tolerance = 2.0;
  /// Period over which latency is averaged before the limit changes.
  Duration window = std::chrono::milliseconds(500);
  /// Minimum number of samples of a work class before its window is evaluated.
  std::size_t minimumWindowSamples = 10;
  /// Relative increase of the unloaded latency that is accepted per window, so that the
  /// limit adapts to servers that have become permanently slower.
  double baselineGrowth = 0.002;
};

/// Settings of an AdmissionController.
struct AdmissionSettings
{
  /// Accounts with configured share and worth. Other accounts have share 1 and worth 1.
  std::vector<ClientAccount> accounts;
  /// Maximum fraction of a pool's slots that long work may use.
  double maximumLongShare = 0.5;
  /// Fraction of a pool's slots that long work may use even if short work needs them.
  double minimumLongShare = 0.2;
  /// Fraction of the admissions that go to the account with the least service per share.
  /// The others go to the request with the highest worth per cost of any account.
  double fairShare = 0.25;
  /// Maximum number of requests waiting for a pool, over all accounts and classes.
  std::size_t maximumQueued = 2000;
  /// Maximum time that the queued work of one class may take at the current limit. If the
  /// mean service time of the class is longer, that is the maximum. Requests are refused
  /// while the queue exceeds it.
  Duration maximumQueueTime = std::chrono::seconds(1);
  /// A request declared short counts as long once it has run for this multiple of the
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
