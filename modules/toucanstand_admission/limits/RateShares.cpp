#include "limits/RateShares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <ranges>
#include <string_view>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

/// Weighted rendezvous hashing: the VMs with the lowest ranks are selected, each with a
/// probability that grows with its weight.
double SelectionRank(const ServerId& aServer, const RateShares::Vm& aVm)
{
  constexpr double kRange = 18446744073709551616.0;
  const auto weight = static_cast<double>(RendezvousWeight(aServer.Value(), aVm.name));
  return -std::log((weight + 1) / (kRange + 1)) / aVm.weight;
}

} // namespace

bool RateShares::SetFleet(Vm aSelf, std::vector<Vm> aOthers)
{
  const double total = std::accumulate(
    aOthers.begin(), aOthers.end(), aSelf.weight, [](double aSum, const Vm& aVm) {
      return aSum + aVm.weight;
    });
  const double minWeight =
    total > 0 ? kMinRelativeWeight * total / static_cast<double>(aOthers.size() + 1) : 1;
  const auto raise = [minWeight](Vm& aVm) {
    aVm.weight = std::max(aVm.weight, minWeight);
  };
  raise(aSelf);
  std::ranges::for_each(aOthers, raise);
  if (aSelf == this->self && aOthers == this->others) {
    return false;
  }
  this->self = std::move(aSelf);
  this->others = std::move(aOthers);
  return true;
}

std::vector<const RateShares::Vm*> RateShares::SelectSenders(const ServerId& aServer,
                                                             double aBurst) const
{
  std::vector<std::pair<double, const Vm*>> ranking;
  ranking.emplace_back(SelectionRank(aServer, this->self), &this->self);
  for (const auto& other : this->others) {
    ranking.emplace_back(SelectionRank(aServer, other), &other);
  }
  std::ranges::sort(ranking, {}, [](const auto& aVm) {
    return std::pair(aVm.first, std::string_view(aVm.second->name));
  });
  // Each of them may save up one whole request.
  const auto count = aBurst >= static_cast<double>(ranking.size())
                       ? ranking.size()
                       : static_cast<std::size_t>(aBurst);
  std::vector<const Vm*> senders;
  std::ranges::copy(ranking | std::views::take(count) | std::views::values,
                    std::back_inserter(senders));
  return senders;
}

RateShares::Share RateShares::ShareOf(const ServerId& aServer,
                                      double aPerSecond,
                                      double aBurst) const
{
  const auto senders = this->SelectSenders(aServer, aBurst);
  if (std::ranges::find(senders, &this->self) == senders.end()) {
    return {};
  }
  const double total =
    std::accumulate(senders.begin(), senders.end(), 0.0, [](double aSum, const Vm* aVm) {
      return aSum + aVm->weight;
    });
  const double part = this->self.weight / total;
  const double sharedBurst = aBurst - static_cast<double>(senders.size());
  return { aPerSecond * part, 1 + sharedBurst * part };
}

} // namespace toucanstand
