#pragma once

#include <cstdint>
#include <map>

#include "crashes/CrashProbeSeries.h"
#include "http/Task.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"

namespace toucanstand {

class ServingState;

/// Probes servers whose connections broke, and records crashes. One task examines each
/// server, however many of its connections break.
class CrashDetector
{
public:
  /// @param aState must outlive the tasks of its loop
  explicit CrashDetector(ServingState& aState);

  /// A connection to the server broke while a request was in progress on it.
  void OnConnectionBroke(const ServerId& aServer, const Endpoint& aEndpoint);

private:
  struct Break
  {
    TimePoint at{};
    /// Start of the run of the server that was registered then, 0 if unknown.
    std::int64_t startedAtUnixMs = 0;
  };

  Task<> Examine(ServerId aServer, Endpoint aEndpoint);
  /// Probes the server until there is a conclusion.
  Task<CrashConclusion> Probe(ServerId aServer, Endpoint aEndpoint, Break aBreak);
  /// True if this VM reaches another server, directly or through a peer.
  Task<bool> ReachesAnotherServer(ServerId aExcept);
  void Record(const ServerId& aServer,
              CrashConclusion aConclusion,
              const CrashProbeSeries& aSeries,
              ProbeOutcome aLastOutcome);
  /// Start of the registered run of the server, 0 if unknown.
  [[nodiscard]] std::int64_t RegisteredStart(const ServerId& aServer) const;

  ServingState& state;
  /// The last break of each server that is being examined.
  std::map<ServerId, Break> breaks;
};

} // namespace toucanstand
