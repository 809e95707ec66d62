#pragma once

#include <variant>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A request that is submitted for admission.
struct Arrival
{
  RequestId id;
  PoolId pool;
  AccountId account;
  WorkClass workClass = WorkClass::Short;
  /// Business value of an answer that arrives by the deadline. It is multiplied by the
  /// account's worth.
  double worth = 1.0;
  /// Expected work in tokens.
  double cost = 1.0;
  TimePoint deadline{};
};

/// Why a request is refused.
enum class RefusalReason
{
  /// The queue is too long, and the other requests have a higher worth per cost.
  QueueFull,
  /// It is not expected to finish by its deadline.
  DeadlineTooClose,
  /// The queue is too long, and its account has queued more than its share.
  AccountOverShare,
  /// This process is stopping.
  Draining,
  /// No server of the pool can take work.
  NoCapacity,
  /// Its worth or cost is out of range, or its id is empty or already in use.
  Malformed,
};

/// Name of a reason in headers, metrics and state dumps.
[[nodiscard]] const char* Name(RefusalReason aReason);

/// Reason and Retry-After that a refused caller receives.
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

/// The request has not run and will not run.
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
