#include "store/StoreRevision.h"

namespace toucanstand {

namespace {

/// A restoration sets the revision back by fewer writes than this: a store that takes
/// 5000 writes a second makes as many in two days.
constexpr std::int64_t kTermsPerHistory = std::int64_t{ 1 } << 30;

} // namespace

std::optional<StoreRevision> MakeStoreRevision(StoreHistory aHistory,
                                               std::int64_t aNumber)
{
  const bool fits = aHistory >= 0 && aHistory <= kMaxStoreHistory && aNumber >= 0 &&
                    aNumber <= kMaxRevisionNumber;
  return fits ? std::optional(aHistory * (kMaxRevisionNumber + 1) + aNumber)
              : std::nullopt;
}

StoreHistory HistoryOf(StoreRevision aRevision)
{
  return aRevision / (kMaxRevisionNumber + 1);
}

std::int64_t NumberOf(StoreRevision aRevision)
{
  return aRevision % (kMaxRevisionNumber + 1);
}

bool IsFromLaterHistory(StoreRevision aRevision, StoreRevision aEarlier)
{
  return aEarlier != 0 && HistoryOf(aRevision) > HistoryOf(aEarlier);
}

std::int64_t LeaderTermOf(StoreRevision aRevision)
{
  return HistoryOf(aRevision) * kTermsPerHistory + NumberOf(aRevision);
}

std::string RevisionText(StoreRevision aRevision)
{
  return std::to_string(HistoryOf(aRevision)) + ":" + std::to_string(NumberOf(aRevision));
}

} // namespace toucanstand
