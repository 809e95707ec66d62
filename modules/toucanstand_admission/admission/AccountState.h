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

/// Lowest share of an account that counts, so that a division by it stays finite.
constexpr double kMinimumShare = 1e-3;

/// A request in a queue.
struct WaitingRequest
{
  Arrival arrival;
  /// Class whose share of the slots it uses; can differ from the announced one.
  WorkClass effectiveClass = WorkClass::Short;
  /// Cost after correction by what the account's earlier requests took.
  double cost = 1;
  /// Worth per corrected cost.
  double worthPerCost = 0;
  /// Expected service in seconds; zero when unknown.
  double expectedSeconds = 0;
  std::uint64_t sequence = 0;
  /// From then on it cannot finish by its deadline.
  TimePoint latestStart{};
  AccountState* account = nullptr;
};

/// Queues, use and observed accuracy of one client account in one pool.
class AccountState
{
public:
  /// Highest worth per cost first, then in order of arrival.
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
  /// Expected seconds of service in a queue.
  [[nodiscard]] double QueuedSeconds(WorkClass aClass) const;

  [[nodiscard]] bool IsBacklogged() const;
  [[nodiscard]] bool IsIdle() const;

  /// Adds a cost, which may be negative, to the service that the account received.
  void Charge(double aCost);

  /// Learns how far a request's service was from its announced cost.
  /// @param aFactor observed through announced cost.
  void UpdateCostFactor(WorkClass aClass, double aFactor);

  /// Learns whether a request announced as short ran long.
  void OnShortWorkFinished(bool aRanLong);

  /// Whether its short requests mostly run long.
  [[nodiscard]] bool DeclaresLongWorkAsShort() const;

  /// Factor on announced costs.
  [[nodiscard]] double CostFactor(WorkClass aClass) const
  {
    return this->costFactors[IndexOf(aClass)];
  }

  ClientAccount clientAccount;
  /// Service received so far per share: the tag of start-time fair queueing.
  double virtualTime = 0;
  std::size_t running = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;

private:
  std::array<Queue, 2> queues;
  std::array<double, 2> queuedSeconds{};
  std::array<double, 2> costFactors{ 1.0, 1.0 };
  /// Moving share of requests announced as short that ran long.
  double longRunShare = 0;
};

} // namespace toucanstand
