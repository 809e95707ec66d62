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
  /// Adds a report. Call at most once per VM, with its latest report.
  void Add(const PeerReport& aReport);

  /// The aggregate of all added reports.
  [[nodiscard]] PeerReport Total() const;

  /// The aggregate without the load and demand of one report, which must have been added;
  /// sent to the VM that made this report.
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
