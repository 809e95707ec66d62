#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace toucanstand {

/// Position in the writes of the store. Increases with each write to any key, also when
/// the store is restored from an older copy and gives its revision numbers out again: the
/// upper bits hold the history, the lower ones the number that the store gave.
using StoreRevision = std::int64_t;
/// Lease granted to this process; 0 is none.
using StoreLease = std::int64_t;
/// Number of the store's history. Each restoration from a copy begins a new one with a
/// higher number.
using StoreHistory = std::int64_t;

constexpr int kRevisionNumberBits = 40;
constexpr std::int64_t kMaxRevisionNumber =
  (std::int64_t{ 1 } << kRevisionNumberBits) - 1;
constexpr StoreHistory kMaxStoreHistory = (StoreHistory{ 1 } << 22) - 1;

/// Returns nothing if a part is negative or above its maximum.
[[nodiscard]] std::optional<StoreRevision> MakeStoreRevision(StoreHistory aHistory,
                                                             std::int64_t aNumber);

[[nodiscard]] StoreHistory HistoryOf(StoreRevision aRevision);
/// The number that the store gave to the revision.
[[nodiscard]] std::int64_t NumberOf(StoreRevision aRevision);

/// True if the store was restored between the two revisions. No revision (0) belongs to
/// any history.
[[nodiscard]] bool IsFromLaterHistory(StoreRevision aRevision, StoreRevision aEarlier);

/// Returns the lease term of a leader elected by the write with this revision, which is
/// also the fencing token of orders that are based on the store as of this revision.
/// Increases like the revision, but fits, multiplied by the generations of a term, into
/// the 53 bits that every JSON reader keeps.
[[nodiscard]] std::int64_t LeaderTermOf(StoreRevision aRevision);

/// `HISTORY:NUMBER`, for logs.
[[nodiscard]] std::string RevisionText(StoreRevision aRevision);

} // namespace toucanstand
