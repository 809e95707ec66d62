#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "identifiers/Identifiers.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

/// What one entry VM tells the others several times a second.
struct PeerReport
{
  /// Requests in progress on one destination.
  struct Load
  {
    /// Id of a replica group.
    std::string destination;
    double reading = 0;
    double readingTokens = 0;
    double writing = 0;
  };

  VmId sender;
  /// Differs between runs of the sender's process.
  std::uint64_t run = 0;
  /// Rises with each report of a run; an older report that arrives late is dropped.
  std::uint64_t sequence = 0;
  std::vector<Load> loads;
  /// Groups that went silent at the sender.
  std::vector<std::string> suspected;
  /// Fingerprints of requests that no server may run, because they crashed several.
  std::vector<std::uint64_t> quarantined;
  /// Work that the sender's callers ask for, by model, in engine seconds a second.
  std::map<std::string, double> work;
};

/// Why a datagram was dropped.
enum class PeerReportFailure
{
  Malformed,
  BadField,
};

[[nodiscard]] std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport);
[[nodiscard]] Result<PeerReport, PeerReportFailure> DecodePeerReport(
  std::span<const std::uint8_t> aBytes);

} // namespace toucanstand
