#pragma once

#include "claims/RetentionLease.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// Settings of one toucanstand-ledger process.
struct LedgerSettings
{
  VmId id;
  /// Where operators connect.
  Endpoint operatorEndpoint;
  /// Where messages of the other processes arrive.
  Endpoint messages;
  /// The toucanstand-node process of this VM.
  Endpoint node;
  EtcdStoreSettings store;
  /// How long a claim is kept.
  Duration retention = RetentionLease::kDefaultRetention;
  /// First wait before a store call is repeated; doubles up to the longest wait.
  Duration retryWait = std::chrono::milliseconds(100);
  Duration longestRetryWait = std::chrono::seconds(10);
  /// A granted call without an outcome after this time is recorded as unknown. Above the
  /// longest deadline of a call.
  Duration longestCall = std::chrono::minutes(11);
  /// Longest time for open claims when the process stops.
  Duration drainPeriod = std::chrono::seconds(30);
  /// Seed of random choices; 0 takes one from the system.
  std::int64_t seed = 0;
};

/// Reads the settings; broken rules are in the reader's list.
LedgerSettings ReadLedgerSettings(SettingsReader& aReader);

} // namespace toucanstand
