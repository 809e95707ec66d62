#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "identifiers/Identifiers.h"
#include "serialization/Datagram.h"

namespace toucanstand {

/// What one entry VM tells the others several times a second.
struct PeerReport
{
  /// Requests in progress on one destination.
  struct Load
  {
    /// Id of a replica group.
    std::string group;
    double prefillRequests = 0;
    double prefillTokens = 0;
    double decodeRequests = 0;
  };

  VmId sender;
  /// Differs between runs of the sender's process.
  std::uint64_t runNumber = 0;
  /// Rises with each report of a run; an older report that arrives late is dropped.
  std::uint64_t sequence = 0;
  /// Other entry VMs whose reports are added up in this one; 0 for a VM's own report.
  std::uint64_t aggregatedVms = 0;
  std::vector<Load> loads;
  /// Groups that went silent at the sender.
  std::vector<std::string> suspectedGroups;
  /// Fingerprints of requests that no server may run, because they crashed several.
  std::vector<std::uint64_t> quarantinedFingerprints;
  /// Work that the sender's callers ask for, by model, in engine seconds a second.
  std::map<std::string, double> demand;
  /// Time to the first event beyond the cost model, learned by the sender, by model.
  struct LearnedOverhead
  {
    double seconds = 0;
    /// Requests that it was learned from.
    double samples = 0;
  };
  std::map<std::string, LearnedOverhead> learnedOverheads;
};

[[nodiscard]] std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport);

/// @param aFields of a datagram of that kind
[[nodiscard]] Result<PeerReport, DatagramFailure> DecodePeerReport(
  const nlohmann::json& aFields);

} // namespace toucanstand
