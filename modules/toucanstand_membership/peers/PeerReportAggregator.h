#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "peers/PeerReport.h"

namespace toucanstand {

/// Reports of several entry VMs added up, so that one datagram tells a VM what all
/// others have in progress.
class PeerReportAggregator
{
public:
  /// Each VM's latest report at most once.
  void Add(const PeerReport& aReport);

  /// What all have in progress.
  [[nodiscard]] PeerReport Total() const;

  /// What the others have in progress, as seen by the sender of the report, which is
  /// one of those added.
  [[nodiscard]] PeerReport TotalWithout(const PeerReport& aReport) const;

private:
  std::uint64_t reportCount = 0;
  std::map<std::string, PeerReport::Load> loads;
  std::map<std::string, double> demand;
  std::set<std::uint64_t> quarantinedFingerprints;
  std::map<std::string, PeerReport::LearnedOverhead> learnedOverheads;
};

} // namespace toucanstand
