#include "attempts/FleetRetryLimits.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// The VMs divide these fractions of the slack among themselves: one as credit, the other
/// as overdraft for lost servers. The rest is a reserve for VMs that have not discovered
/// one another yet and so assume too few VMs.
constexpr double kCreditFraction = 0.4;
constexpr double kOverdraftFraction = 0.4;
/// Each first attempt earns one fraction of the share as credit, and raises the maximum
/// credit by the other, so that credit can be saved for the loss of a server. Their sum
/// stays below 1, because both may be spent in one window.
constexpr double kEarnedFraction = 0.5;
constexpr double kSavedFraction = 0.4;

} // namespace

RetryBudgetSettings FleetRetryLimits::SettingsPerVm(std::size_t aVmCount) const
{
  const auto vms = static_cast<double>(std::max<std::size_t>(aVmCount, 1));
  RetryBudgetSettings perVm;
  perVm.creditPerFirstAttempt = this->share * kEarnedFraction;
  perVm.maxCreditPerRecentAttempt = this->share * kSavedFraction;
  perVm.window = this->window;
  perVm.maxCredit = this->slack * kCreditFraction / vms;
  perVm.initialCredit = perVm.maxCredit;
  perVm.maxOverdraft = this->slack * kOverdraftFraction / vms;
  return perVm;
}

} // namespace toucanstand
