#include "attempts/FleetRetryLimits.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Parts of the slack that are given out as credit and as overdraft for lost servers; the
/// rest covers VMs that do not know of one another yet.
constexpr double kCreditFraction = 0.4;
constexpr double kOverdraftFraction = 0.4;
/// Parts of the share that retries may use as it is earned, and that may be saved for the
/// loss of a server. Both may be spent in one window.
constexpr double kEarnedFraction = 0.5;
constexpr double kSavedFraction = 0.4;

} // namespace

RetryBudgetSettings FleetRetryLimits::SettingsPerVm(std::size_t aVmCount) const
{
  const auto vms = static_cast<double>(std::max<std::size_t>(aVmCount, 1));
  RetryBudgetSettings part;
  part.creditPerFirstAttempt = this->share * kEarnedFraction;
  part.maxCreditPerRecentAttempt = this->share * kSavedFraction;
  part.window = this->window;
  part.maxCredit = this->slack * kCreditFraction / vms;
  part.initialCredit = part.maxCredit;
  part.maxOverdraft = this->slack * kOverdraftFraction / vms;
  return part;
}

} // namespace toucanstand
