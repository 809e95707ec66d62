#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "BackgroundAttempt.h"
#include "Call.h"
#include "http/Task.h"
#include "time/BootClock.h"

namespace toucanstand {

/// The current attempt of a call and, while its server is silent, a standby: an attempt
/// at another server, which becomes the current one once it has succeeded.
///
/// @tparam Attempt has Cancel() and Background(), which returns the BackgroundAttempt of
/// a standby
template<typename Attempt>
class CallAttempts
{
public:
  /// Interval at which a wait for the current attempt looks at the standby.
  static constexpr Duration kStandbyCheckInterval = std::chrono::milliseconds(20);

  using StandbyEndListener = std::function<void(Attempt&, AttemptFailure)>;

  /// @param aOnStandbyEnd told of each standby that does not become the current attempt
  explicit CallAttempts(StandbyEndListener aOnStandbyEnd)
    : onStandbyEnd(std::move(aOnStandbyEnd))
  {
  }

  [[nodiscard]] Attempt& Current() const { return *this->current; }
  [[nodiscard]] bool IsCurrent(const Attempt& aAttempt) const
  {
    return &aAttempt == this->current.get();
  }
  /// Null without a standby.
  [[nodiscard]] Attempt* Standby() const { return this->standby.get(); }

  void SetCurrent(std::shared_ptr<Attempt> aAttempt)
  {
    this->current = std::move(aAttempt);
    this->CancelIfDue(*this->current);
  }

  void SetStandby(std::shared_ptr<Attempt> aAttempt)
  {
    this->standby = std::move(aAttempt);
    this->CancelIfDue(*this->standby);
  }

  /// Makes the standby the current attempt. @returns false without one
  [[nodiscard]] bool TakeOverStandby()
  {
    if (!this->standby) {
      return false;
    }
    this->current = std::move(this->standby);
    return true;
  }

  /// Cancels these attempts and all later ones.
  void Cancel()
  {
    this->isCancelled = true;
    for (const auto* attempt : { &this->current, &this->standby }) {
      if (*attempt) {
        (*attempt)->Cancel();
      }
    }
  }

  /// How much longer the current attempt is waited for because of the standby: zero once
  /// that has succeeded. @returns nothing if there is no standby, or none any more
  [[nodiscard]] std::optional<Duration> WaitForStandby()
  {
    if (!this->standby) {
      return std::nullopt;
    }
    const auto& background = *this->standby->Background();
    if (!background.HasEnded()) {
      return kStandbyCheckInterval;
    }
    if (!background.FailedWith()) {
      return Duration::zero();
    }
    this->EndStandby(background.FailedWith()->failure);
    return std::nullopt;
  }

  /// Cancels the standby, if there is one, and waits for its end.
  Task<> DropStandby()
  {
    if (!this->standby) {
      co_return;
    }
    this->standby->Cancel();
    const auto failedAttempt = co_await this->standby->Background()->Wait();
    const bool isSuperseded =
      !failedAttempt ||
      (failedAttempt->failure == AttemptFailure::CallerLeft && !this->isCancelled);
    this->EndStandby(isSuperseded ? AttemptFailure::Superseded : failedAttempt->failure);
  }

  /// Runs the call to which the attempts belong, and drops what it leaves behind.
  Task<CallResult> Run(Task<CallResult> aCall)
  {
    CallResult result;
    std::exception_ptr error;
    try {
      result = co_await std::move(aCall);
    } catch (...) {
      error = std::current_exception();
    }
    co_await this->DropStandby();
    if (error) {
      std::rethrow_exception(error);
    }
    co_return result;
  }

private:
  void CancelIfDue(Attempt& aAttempt) const
  {
    if (this->isCancelled) {
      aAttempt.Cancel();
    }
  }

  void EndStandby(AttemptFailure aFailure)
  {
    const auto ended = std::exchange(this->standby, nullptr);
    this->onStandbyEnd(*ended, aFailure);
  }

  StandbyEndListener onStandbyEnd;
  std::shared_ptr<Attempt> current;
  std::shared_ptr<Attempt> standby;
  bool isCancelled = false;
};

} // namespace toucanstand
