#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "admission/Arrival.h"
#include "admission/ServiceTimeModel.h"
#include "contracts/ClientAccount.h"

namespace toucanstand {

class AccountState;

/// Lower bound of the share that costs are divided by, so that the quotient stays finite.
constexpr double kMinimumShare = 1e-3;

/// A request in a queue.
struct WaitingRequest
{
  Arrival arrival;
  /// Work class whose slots it uses. Long if the account mostly declares long work as
  /// short, else the declared class.
  WorkClass effectiveClass = WorkClass::Short;
  /// Declared cost multiplied by the account's cost factor.
  double cost = 1;
  /// Worth divided by `cost`; the priority in the queue.
  double worthPerCost = 0;
  /// Expected service time; zero when unknown.
  double expectedSeconds = 0;
  std::uint64_t sequence = 0;
  /// Latest start with which it is expected to finish by its deadline.
  TimePoint latestStart{};
  AccountState* account = nullptr;
};

/// Queues, usage and accuracy of the declared costs of one client account in one pool.
class AccountState
{
public:
  /// Orders by worth per cost, highest first, then by arrival.
  struct HigherWorthFirst
  {
    bool operator()(const WaitingRequest* aLeft, const WaitingRequest* aRight) const
    {
      return aLeft->worthPerCost != aRight->worthPerCost
               ? aLeft->worthPerCost > aRight->worthPerCost
               : aLeft->sequence < aRight->sequence;
    }
  };
  using Queue = std::set<const WaitingRequest*, HigherWorthFirst>;

  explicit AccountState(ClientAccount aClientAccount);

  void Enqueue(const WaitingRequest& aWaiting);
  void Dequeue(const WaitingRequest& aWaiting);

  [[nodiscard]] const Queue& QueueOf(WorkClass aClass) const
  {
    return this->queues[IndexOf(aClass)];
  }
  /// Sum of the expected service times in a queue, in seconds.
  [[nodiscard]] double QueuedSeconds(WorkClass aClass) const;

  [[nodiscard]] bool IsBacklogged() const;
  [[nodiscard]] bool IsIdle() const;

  /// Adds a cost to the service that the account has received. A negative cost is a
  /// refund.
  void Charge(double aCost);

  /// Adjusts the cost factor by a finished request.
  /// @param aFactor observed cost divided by declared cost
  void UpdateCostFactor(WorkClass aClass, double aFactor);

  /// Records whether a finished request that was declared short ran long.
  void OnShortWorkFinished(bool aRanLong);

  /// Whether the requests that it declares short mostly run long.
  [[nodiscard]] bool DeclaresLongWorkAsShort() const;

  /// Factor by which declared costs are multiplied.
  [[nodiscard]] double CostFactor(WorkClass aClass) const
  {
    return this->costFactors[IndexOf(aClass)];
  }

  ClientAccount clientAccount;
  /// Service received so far divided by the share, as in start-time fair queueing.
  double virtualTime = 0;
  std::size_t running = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;

private:
  std::array<Queue, 2> queues;
  std::array<double, 2> queuedSeconds{};
  std::array<double, 2> costFactors{ 1.0, 1.0 };
  /// Moving average of the fraction of requests declared short that ran long.
  double longRunShare = 0;
};

} // namespace toucanstand
