#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "peers/PeerReport.h"

namespace toucanstand {

/// Aggregates the reports of several entry VMs, so that one datagram tells a VM the load
/// and demand of all others.
class PeerReportAggregator
{
public:
  /// Adds the report of a VM, or an aggregate. Each VM may be in one of them only.
  void Add(const PeerReport& aReport);

  /// The aggregate of all added reports.
  [[nodiscard]] PeerReport Total() const;

  /// The aggregate without the load and demand of one report, which must have been added
  /// or be part of an aggregate that was; sent to the VM that made this report. In the
  /// second case it is not exact: the report may be newer than the aggregate.
  [[nodiscard]] PeerReport TotalWithout(const PeerReport& aReport) const;

private:
  std::uint64_t reportCount = 0;
  std::map<std::string, PeerReport::Load> loads;
  std::map<std::string, double> demand;
  std::set<std::uint64_t> quarantinedFingerprints;
  std::set<PromptPartId> quarantinedParts;
  std::map<std::string, PeerReport::LearnedOverhead> learnedOverheads;
};

} // namespace toucanstand
