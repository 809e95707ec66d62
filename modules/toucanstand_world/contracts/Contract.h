#pragma once

#include <string>
#include <vector>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Whether running a call again is harmless.
enum class Repeatability
{
  /// May run any number of times.
  Idempotent,
  /// May run at most once; needs an `Idempotency-Key`.
  OnlyOnce,
};

/// Whether a request is expected to be quick or to hold a server for long.
enum class WorkClass
{
  Short,
  Long,
};

/// Name of a work class in headers, metrics and settings.
[[nodiscard]] const char* Name(WorkClass aClass);

/// What the operators agreed with the backend behind a route.
struct Contract
{
  std::string name;
  /// Requests whose path starts with this belong to the contract; longest prefix wins.
  std::string pathPrefix;
  PoolId pool;
  Repeatability repeatability = Repeatability::OnlyOnce;
  WorkClass workClass = WorkClass::Short;
  /// Longest time a caller waits when it names no deadline itself.
  Duration timeout = std::chrono::seconds(30);
  /// Business value of one answered request.
  double worth = 1.0;
  /// Statuses by which the backend states that the call did not run.
  std::vector<int> notRunStatuses;
};

} // namespace toucanstand
