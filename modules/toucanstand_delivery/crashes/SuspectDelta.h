#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Records that a request with a fingerprint was in flight when a server crashed. Equal
/// marks from several entry VMs denote the same crash and count once.
struct CrashMark
{
  ServerId server;
  /// Number of marks that the entry VM had stored for the fingerprint when it sent the
  /// request. Distinguishes a later crash of the same server from a duplicate report.
  std::uint32_t priorMarks = 0;

  friend auto operator<=>(const CrashMark&, const CrashMark&) = default;
};

/// State of one fingerprint as exchanged between nodes. Merging is commutative and
/// idempotent.
struct SuspectDelta
{
  std::uint64_t fingerprint = 0;
  std::vector<CrashMark> marks;
  /// Marks that no longer count, because a server has since run the fingerprint without
  /// crashing.
  std::vector<CrashMark> cleared;
  /// Remaining lifetime when the message was sent.
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
