#pragma once

#include <map>
#include <string>

#include <sys/types.h>

#include "network/Endpoint.h"
#include "support/HttpCaller.h"

namespace toucanstand {

/// What a process has used since it started. Processor time is the process's own, so
/// that other work on the machine does not count.
struct ProcessUse
{
  double processorSeconds = 0;
  double residentMegabytes = 0;
  /// Counters of its `/state`, by name with labels.
  std::map<std::string, double> counters;

  /// Sum of the counters whose name starts with a prefix.
  [[nodiscard]] double Sum(const std::string& aPrefix) const;
  /// The growth of the processor time and the counters since an earlier reading.
  [[nodiscard]] ProcessUse Since(const ProcessUse& aEarlier) const;
};

/// Process id of the program behind an operator endpoint.
[[nodiscard]] pid_t ProcessIdOf(HttpCaller& aCaller, const Endpoint& aOperator);

/// Counters of the `/state` behind an operator endpoint.
[[nodiscard]] std::map<std::string, double> ReadCounters(HttpCaller& aCaller,
                                                         const Endpoint& aOperator);

/// Processor time and resident memory from `/proc`.
[[nodiscard]] ProcessUse ReadProcess(pid_t aProcess);

} // namespace toucanstand
