#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Identifies one crash of one server for one fingerprint, so that the reports of several
/// entry VMs about the same crash count once.
struct CrashMark
{
  ServerId server;
  /// Marks that the entry VM knew for the fingerprint when it sent the request. Tells a
  /// later crash of the same server from a second report of an earlier one.
  std::uint32_t priorMarks = 0;

  friend auto operator<=>(const CrashMark&, const CrashMark&) = default;
};

/// What one node tells another about one fingerprint. Merging is commutative and
/// idempotent.
struct SuspectDelta
{
  std::uint64_t fingerprint = 0;
  std::vector<CrashMark> marks;
  /// Marks that are no longer held against the fingerprint, because a server has survived
  /// it since.
  std::vector<CrashMark> cleared;
  /// Rest of the lifetime when the message was sent.
  Duration remaining{ 0 };

  friend bool operator==(const SuspectDelta&, const SuspectDelta&) = default;
};

/// Message body:
/// `{"fingerprint","marks":[{"server","prior"}],"cleared":[...],"remaining_ms"}`.
[[nodiscard]] nlohmann::json ToJson(const SuspectDelta& aDelta);

/// Nothing when a field is missing, has the wrong type or exceeds its bound.
[[nodiscard]] std::optional<SuspectDelta> SuspectDeltaFromJson(
  const nlohmann::json& aBody);

} // namespace toucanstand
