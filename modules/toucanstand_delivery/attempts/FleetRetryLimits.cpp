#include "attempts/FleetRetryLimits.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Parts of the slack that are given out as credit and as overdraft for lost servers; the
/// rest covers VMs that do not know of one another yet.
constexpr double kCreditPart = 0.4;
constexpr double kOverdraftPart = 0.4;
/// Parts of the share that retries may use as it is earned, and that may be saved for the
/// loss of a server. Both may be spent in one window.
constexpr double kEarnedPart = 0.5;
constexpr double kSavedPart = 0.4;

} // namespace

RetryBudgetSettings FleetRetryLimits::PartOf(std::size_t aVms) const
{
  const auto vms = static_cast<double>(std::max<std::size_t>(aVms, 1));
  RetryBudgetSettings part;
  part.share = this->share * kEarnedPart;
  part.recentShare = this->share * kSavedPart;
  part.window = this->window;
  part.largestCredit = this->slack * kCreditPart / vms;
  part.initialCredit = part.largestCredit;
  part.largestOverdraft = this->slack * kOverdraftPart / vms;
  return part;
}

} // namespace toucanstand
