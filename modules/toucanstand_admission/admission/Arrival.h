#pragma once

#include <variant>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A request that asks to run.
struct Arrival
{
  RequestId id;
  PoolId pool;
  AccountId account;
  WorkClass workClass = WorkClass::Short;
  /// Business value when it is answered in time; the account's factor is applied to it.
  double worth = 1.0;
  /// Expected service in tokens.
  double cost = 1.0;
  TimePoint deadline{};
};

/// Why a request is refused.
enum class RefusalReason
{
  /// More work is waiting than can be run soon, and other requests are worth more.
  QueueFull,
  /// It could not finish by its deadline.
  DeadlineTooClose,
  /// More work is waiting than can be run soon, and its account holds more than its
  /// share.
  AccountOverShare,
  /// This process is stopping.
  Draining,
  /// No server of the pool can take work.
  NoCapacity,
  /// A number is not finite or out of range, or the id is already in use.
  Malformed,
};

/// Name of a reason in headers, metrics and state dumps.
[[nodiscard]] const char* Name(RefusalReason aReason);

/// What the caller is told.
struct Refusal
{
  RefusalReason reason = RefusalReason::QueueFull;
  Duration retryAfter{ 0 };
};

/// The request may be sent to a server now.
struct Admit
{
  RequestId id;
};

/// The request was not run and will not be.
struct Refuse
{
  RequestId id;
  Refusal refusal;
};

using AdmissionAction = std::variant<Admit, Refuse>;

/// How an admitted request ended.
enum class AttemptOutcome
{
  Answered,
  NotRun,
  Unknown,
};

} // namespace toucanstand
