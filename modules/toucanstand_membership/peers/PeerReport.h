#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "identifiers/Identifiers.h"
#include "serialization/Datagram.h"

namespace toucanstand {

/// Load and demand report that an entry VM sends to other entry VMs several times per
/// second, or an aggregate of such reports that a relay sends.
struct PeerReport
{
  /// Requests in progress on one replica group.
  struct Load
  {
    /// Id of a replica group.
    std::string group;
    /// Requests in prefill, and the prompt tokens that these have yet to process.
    double prefillRequests = 0;
    double prefillTokens = 0;
    /// Requests that are generating output.
    double decodeRequests = 0;
  };

  VmId sender;
  /// Random number that distinguishes the runs of the sender's process.
  std::uint64_t runNumber = 0;
  /// Increases with each report of a run; a report that arrives after a newer one is
  /// dropped.
  std::uint64_t sequence = 0;
  /// Number of entry VMs whose reports are aggregated in this one; 0 for the report of a
  /// single VM.
  std::uint64_t aggregatedVms = 0;
  std::vector<Load> loads;
  /// Groups that the sender suspects of having failed.
  std::vector<std::string> suspectedGroups;
  /// Fingerprints of requests that no server may run, because they crashed several
  /// servers.
  std::vector<std::uint64_t> quarantinedFingerprints;
  /// A crashed backend server and the prompt parts of the requests that had just started
  /// on it.
  struct Crash
  {
    std::string server;
    double ageSeconds = 0;
    std::vector<PromptPartId> parts;
  };
  std::vector<Crash> crashes;
  /// A request with this prompt part did not crash its server.
  struct Survival
  {
    PromptPartId part = 0;
    double ageSeconds = 0;
  };
  std::vector<Survival> survivals;
  /// Prompt parts that the sender has quarantined because of its own evidence.
  std::vector<PromptPartId> quarantinedParts;
  /// A limit on the requests that a backend server takes per second from all VMs
  /// together.
  struct RateLimit
  {
    std::string server;
    /// Nothing if the server has lifted its limit.
    std::optional<double> perSecond;
    double ageSeconds = 0;
  };
  std::vector<RateLimit> rateLimits;
  /// Demand of the sender's callers, by model, in engine seconds per second.
  std::map<std::string, double> demand;
  /// Time to the first event in excess of the prediction by the cost model, estimated
  /// from the requests of the sender.
  struct LearnedOverhead
  {
    double seconds = 0;
    /// Number of requests used for the estimate.
    double samples = 0;
  };
  /// By model.
  std::map<std::string, LearnedOverhead> learnedOverheads;
};

/// The fields of a report, for datagrams that contain one.
[[nodiscard]] nlohmann::json PeerReportFields(const PeerReport& aReport);

[[nodiscard]] std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport);

/// Decodes the fields of a datagram of kind DatagramKind::LoadReport.
[[nodiscard]] Result<PeerReport, DatagramFailure> DecodePeerReport(
  const nlohmann::json& aFields);

} // namespace toucanstand
