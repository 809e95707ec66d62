#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "admission/Arrival.h"
#include "admission/ServiceModel.h"
#include "contracts/ClientAccount.h"

namespace toucanstand {

class AccountState;

/// Lowest share of an account that counts, so that a division by it stays finite.
constexpr double kLowestShare = 1e-3;

/// A request in a queue.
struct Waiting
{
  Arrival arrival;
  /// Class whose share of the slots it uses; can differ from the announced one.
  WorkClass accountedAs = WorkClass::Short;
  /// Cost after correction by what the account's earlier requests took.
  double cost = 1;
  /// Worth per corrected cost.
  double density = 0;
  /// Expected service in seconds; zero when unknown.
  double service = 0;
  std::uint64_t sequence = 0;
  /// From then on it cannot finish by its deadline.
  TimePoint giveUpAt{};
  AccountState* account = nullptr;
};

/// Queues, use and observed accuracy of one client account in one pool.
class AccountState
{
public:
  /// Highest worth per cost first, then in order of arrival.
  struct Order
  {
    bool operator()(const Waiting* aLeft, const Waiting* aRight) const
    {
      return aLeft->density != aRight->density ? aLeft->density > aRight->density
                                               : aLeft->sequence < aRight->sequence;
    }
  };
  using Queue = std::set<const Waiting*, Order>;

  explicit AccountState(ClientAccount aGranted);

  void Enqueue(const Waiting& aWaiting);
  void Dequeue(const Waiting& aWaiting);

  [[nodiscard]] const Queue& QueueOf(WorkClass aClass) const
  {
    return this->queues[IndexOf(aClass)];
  }
  /// Expected seconds of service in a queue.
  [[nodiscard]] double QueuedService(WorkClass aClass) const;

  [[nodiscard]] bool IsBacklogged() const;
  [[nodiscard]] bool IsIdle() const;

  /// Adds a cost, which may be negative, to the service that the account received.
  void Charge(double aCost);

  /// Learns how far a request's service was from its announced cost.
  /// @param aFactor observed through announced cost.
  void Correct(WorkClass aClass, double aFactor);

  /// Learns whether a request announced as short ran long.
  void OnShortEnded(bool aRanLong);

  /// Whether its short requests mostly run long.
  [[nodiscard]] bool MisannouncesLongWork() const;

  /// Factor on announced costs.
  [[nodiscard]] double CostFactor(WorkClass aClass) const
  {
    return this->costFactors[IndexOf(aClass)];
  }

  ClientAccount granted;
  /// Service received so far per share: the tag of start-time fair queueing.
  double virtualTime = 0;
  std::size_t running = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;

private:
  std::array<Queue, 2> queues;
  std::array<double, 2> queuedService{};
  std::array<double, 2> costFactors{ 1.0, 1.0 };
  /// Moving share of requests announced as short that ran long.
  double longRuns = 0;
};

} // namespace toucanstand
