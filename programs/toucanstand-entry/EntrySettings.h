#pragma once

#include "http/HttpServer.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "progress/ProgressWatch.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// How requests are admitted.
enum class AdmissionMode
{
  /// By worth, account share and deadline, under adaptive limits.
  Weighted,
  /// Every request at once: the baseline of the load measurements.
  Open,
};

/// Settings of one toucanstand-entry process.
struct EntrySettings
{
  VmId id;
  ZoneId zone;
  /// Where callers connect.
  Endpoint listen;
  /// Where operators connect.
  Endpoint operatorEndpoint;
  /// Where messages of the other processes arrive.
  Endpoint messages;
  /// The toucanstand-node and toucanstand-ledger processes of this VM.
  Endpoint node;
  Endpoint ledger;
  HttpServerLimits limits;
  ProgressTimeouts progress;
  Duration connectTimeout = std::chrono::milliseconds(500);
  /// For one claim, including the ledger's tries at the store.
  Duration claimTimeout = std::chrono::milliseconds(1500);
  /// Requested tokens from which a chat counts as long work.
  std::int64_t longTokens = 512;
  /// Candidates of a pool that this node uses; 0 uses all of them.
  std::size_t subsetSize = 0;
  AdmissionMode admission = AdmissionMode::Weighted;
  /// Longest time for calls in flight when the process stops.
  Duration drainPeriod = std::chrono::seconds(30);
  /// Time between readiness turning false and the listener closing, for balancers that
  /// notice late.
  Duration listenerWait = std::chrono::seconds(0);
  /// Seed of random choices; 0 takes one from the system.
  std::int64_t seed = 0;
};

/// Reads the settings; broken rules are in the reader's list.
EntrySettings ReadEntrySettings(SettingsReader& aReader);

} // namespace toucanstand
