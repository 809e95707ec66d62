#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "admission/AccountState.h"
#include "admission/AdmissionSettings.h"
#include "admission/Arrival.h"
#include "admission/ConcurrencyLimit.h"
#include "admission/RetryAfterSchedule.h"
#include "admission/ShortWorkDemand.h"
#include "random/Random.h"

namespace toucanstand {

/// Queues and slots of one pool. @see AdmissionController
class AdmissionPool
{
public:
  /// @param aSettings and aRandom must outlive the pool.
  AdmissionPool(const AdmissionSettings& aSettings, Random& aRandom);

  /// Applies changed settings.
  void Configure();

  void SetSlots(double aSlots);
  [[nodiscard]] bool HasSlots() const { return this->limit.Slots() > 0; }

  /// Queues a valid request, then admits what fits and refuses what exceeds the queue.
  void Offer(Arrival aArrival, TimePoint aNow, std::vector<AdmissionAction>& aActions);

  /// Releases the slot of a running request.
  /// @param aOutcome unset when its caller gave up
  void Finish(const RequestId& aId,
              std::optional<AttemptOutcome> aOutcome,
              Duration aService,
              TimePoint aNow);

  /// Removes a waiting request. @return false when it is not waiting in this pool
  bool CancelWaiting(const RequestId& aId);

  /// Reclassifies requests that run long, refuses waiting requests that cannot finish by
  /// their deadline, and admits what fits.
  void Advance(TimePoint aNow, std::vector<AdmissionAction>& aActions);

  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// Computes Retry-After for one more refused caller, and reserves the retry time.
  [[nodiscard]] Duration RetryAfter(TimePoint aNow);

  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Running
  {
    AccountState* account = nullptr;
    WorkClass declaredClass = WorkClass::Short;
    WorkClass effectiveClass = WorkClass::Short;
    double declaredCost = 1;
    double chargedCost = 1;
    std::uint64_t sequence = 0;
    /// When it starts to count as long work; unset when it already does.
    std::optional<TimePoint> reclassifyAt;
  };
  /// Sums over the queues of one class.
  struct QueueTotals
  {
    double expectedSeconds = 0;
    double count = 0;
    /// Sum over the accounts with waiting requests.
    double shares = 0;

    /// Fraction of the queued work that belongs to an account, divided by the fraction
    /// that its share entitles it to. Only accounts with waiting requests are counted.
    /// Above 1, the account has queued more than its share.
    [[nodiscard]] double RelativeShareOf(const AccountState& aAccount,
                                         WorkClass aClass) const;
  };
  using RequestsByTime = std::map<std::pair<TimePoint, std::uint64_t>, RequestId>;
  using Actions = std::vector<AdmissionAction>;

  AccountState& FindOrCreateAccount(const AccountId& aId);
  [[nodiscard]] ClientAccount ClientAccountFor(const AccountId& aId) const;
  void EraseIdleAccounts();
  WaitingRequest MakeWaitingRequest(Arrival aArrival);
  const WaitingRequest& Enqueue(WaitingRequest aWaiting);
  WaitingRequest RemoveWaiting(const WaitingRequest& aWaiting);
  void Refuse(const WaitingRequest& aWaiting,
              RefusalReason aReason,
              TimePoint aNow,
              Actions& aActions);

  /// Refuses the waiting requests with the lowest worth per cost while the queue is too
  /// long.
  void RefuseExcess(WorkClass aClass, TimePoint aNow, Actions& aActions);
  [[nodiscard]] bool IsQueueTooLong(WorkClass aClass) const;
  [[nodiscard]] const WaitingRequest* FindLeastValuable(WorkClass aClass) const;
  [[nodiscard]] QueueTotals TotalsOf(WorkClass aClass) const;

  void RefuseExpired(TimePoint aNow, Actions& aActions);
  void ReclassifyLongRuns(TimePoint aNow);
  void Dispatch(TimePoint aNow, Actions& aActions);
  void StartRequest(const WaitingRequest& aWaiting, TimePoint aNow, Actions& aActions);
  /// Selects the next request to run; null when none may run.
  const WaitingRequest* SelectNext();
  [[nodiscard]] const WaitingRequest* MostValuableRunnable(
    const AccountState& aAccount) const;
  [[nodiscard]] const WaitingRequest* SelectByFairShare();
  [[nodiscard]] const WaitingRequest* SelectByWorth() const;
  [[nodiscard]] bool MayRun(WorkClass aClass) const;
  /// Slots that a class may use. Long work may use those that short work does not need,
  /// within the minimum and maximum share of long work.
  [[nodiscard]] std::size_t SlotLimitOf(WorkClass aClass) const;
  [[nodiscard]] Duration LongRunThreshold() const;
  void UpdateEstimates(const Running& aRunning, Duration aService, TimePoint aNow);

  const AdmissionSettings& settings;
  Random& random;
  ConcurrencyLimit limit;
  ServiceTimeModel serviceTimeModel;
  RetryAfterSchedule retryAfterSchedule;
  ShortWorkDemand shortWorkDemand;
  std::unordered_map<AccountId, std::unique_ptr<AccountState>> accounts;
  std::unordered_map<RequestId, WaitingRequest> waiting;
  std::unordered_map<RequestId, Running> running;
  std::array<std::size_t, 2> runningByClass{};
  RequestsByTime latestStarts;
  RequestsByTime reclassifications;
  std::uint64_t nextSequence = 0;
  /// Highest virtual time at which an account was selected by fair share.
  double virtualTime = 0;
  /// Increases by the setting `fairShare` with each selection. When it reaches 1, that
  /// selection is made by fair share and 1 is subtracted.
  double fairShareCredit = 0;
  std::uint64_t admitted = 0;
  std::uint64_t reclassifiedCount = 0;
  std::array<std::uint64_t, 6> refusals{};
};

} // namespace toucanstand
