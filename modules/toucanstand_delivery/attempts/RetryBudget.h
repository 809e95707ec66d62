#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Class of failure behind a retry; determines whether the budget may be overdrawn.
enum class RetryCause
{
  /// The failure also occurs under overload: the retry requires credit.
  MayBeOverload,
  /// A server or connection was lost: a bounded overdraft is allowed, because at most the
  /// requests in flight on the lost server are retried.
  LostServer,
};

/// Retry limits of one entry VM. One retry costs one unit of credit.
struct RetryBudgetSettings
{
  /// Credit earned by each first attempt.
  double creditPerFirstAttempt = 0.1;
  /// Allows one retry to an account that sends few requests.
  double initialCredit = 1.0;
  /// Bounds the burst of retries after a long period without failures.
  double maxCredit = 20.0;
  /// Raises maxCredit for each first attempt in the last window, because retries come in
  /// bursts: the loss of a server causes many at once, and there are few otherwise.
  double maxCreditPerRecentAttempt = 0.0;
  /// Time constant of the exponential decay by which recent first attempts are counted.
  Duration window = std::chrono::seconds(10);
  /// Allows about as many retries as one entry VM has requests in flight on a third of a
  /// pool of 50 engines.
  double maxOverdraft = 64.0;
};

/// Token buckets that limit retries to a fraction of the first attempts, per account and
/// per pool.
///
/// Both buckets must permit a retry. In any period, the retries to one pool are at most
/// the credit earned by its first attempts plus the maximum credit plus the maximum
/// overdraft. An account may be overdrawn further than its pool: by half of the amount by
/// which maxCreditPerRecentAttempt raises the maximum credit of the pool.
class RetryBudget
{
public:
  RetryBudget() = default;
  explicit RetryBudget(RetryBudgetSettings aSettings)
    : settings(aSettings)
  {
  }

  /// Replaces the limits; keeps the earned credit.
  void Configure(const RetryBudgetSettings& aSettings) { this->settings = aSettings; }

  /// Decays the count of recent attempts. Call several times per window if
  /// maxCreditPerRecentAttempt is not 0.
  void OnTime(TimePoint aNow);

  /// Accounts or pools beyond this number share one bucket.
  static constexpr std::size_t kMaximumBuckets = 4096;

  /// Adds credit. Call for the first attempt of each request.
  void OnFirstAttempt(const AccountId& aAccount, const PoolId& aPool);

  /// Takes the credit for one retry from both buckets. Returns false and takes nothing
  /// when either bucket is exhausted.
  [[nodiscard]] bool TrySpend(const AccountId& aAccount,
                              const PoolId& aPool,
                              RetryCause aCause);

  [[nodiscard]] std::uint64_t Spent() const { return this->spent; }
  [[nodiscard]] std::uint64_t Denied() const { return this->denied; }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Bucket
  {
    double credit = 0;
    /// First attempts, decayed exponentially with the window as time constant.
    double recentAttempts = 0;
  };

  template<typename Id>
  using Buckets = std::unordered_map<Id, Bucket>;

  template<typename Id>
  Bucket& BucketOf(Buckets<Id>& aBuckets, const Id& aId) const;
  [[nodiscard]] double MaxCreditOf(const Bucket& aBucket) const;

  RetryBudgetSettings settings;
  Buckets<AccountId> accounts;
  Buckets<PoolId> pools;
  TimePoint decayedAt{};
  std::uint64_t firstAttempts = 0;
  std::uint64_t spent = 0;
  std::uint64_t denied = 0;
};

} // namespace toucanstand
