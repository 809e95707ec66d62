#pragma once

#include <string>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Divides the requests per second that a server takes from all entry VMs together among
/// these VMs. Each VM computes the division by itself; VMs that know the same fleet
/// compute the same one.
class RateShares
{
public:
  /// A VM with little traffic counts as this fraction of the mean, so that it may use its
  /// share when its traffic grows.
  static constexpr double kMinRelativeWeight = 0.25;

  /// An entry VM.
  struct Vm
  {
    std::string name;
    /// Its part of the traffic, in any unit that is the same for all.
    double weight = 1;

    bool operator==(const Vm&) const = default;
  };

  /// Sets the VMs that share the rates. All VMs must pass the same names, and about the
  /// same weights.
  /// @returns false if nothing changed
  bool SetFleet(Vm aSelf, std::vector<Vm> aOthers);

  /// What one VM may send.
  struct Share
  {
    /// Requests per second; 0 if this VM has no share.
    double perSecond = 0;
    /// Requests that it may save up; at least one if it has a share.
    double capacity = 0;
  };

  /// This VM's share of a rate.
  /// @param aBurst requests that all VMs together may save up. At most as many VMs get a
  /// share, since each has to save up one whole request before it can send.
  [[nodiscard]] Share ShareOf(const ServerId& aServer,
                              double aPerSecond,
                              double aBurst) const;

private:
  /// The VMs among which the rate of a server is divided.
  [[nodiscard]] std::vector<const Vm*> SelectSenders(const ServerId& aServer,
                                                     double aBurst) const;

  Vm self;
  std::vector<Vm> others;
};

} // namespace toucanstand
