#pragma once

#include <map>
#include <string>

#include <sys/types.h>

#include "network/Endpoint.h"
#include "support/HttpCaller.h"

namespace toucanstand {

/// Resource use of a process since its start. Processor time is that of the process only,
/// so other load on the machine does not affect it.
struct ProcessUse
{
  double processorSeconds = 0;
  double residentMegabytes = 0;
  /// Counters from its `/state`, by name including labels.
  std::map<std::string, double> counters;

  /// Sum of the counters whose name starts with a prefix.
  [[nodiscard]] double Sum(const std::string& aPrefix) const;
  /// Returns the increase of the processor time and the counters since an earlier
  /// reading.
  [[nodiscard]] ProcessUse Since(const ProcessUse& aEarlier) const;
};

/// Returns the process id of the program that serves an operator endpoint.
[[nodiscard]] pid_t ProcessIdOf(HttpCaller& aCaller, const Endpoint& aOperator);

/// Returns the counters from `/state` of an operator endpoint.
[[nodiscard]] std::map<std::string, double> ReadCounters(HttpCaller& aCaller,
                                                         const Endpoint& aOperator);

/// Reads processor time and resident memory from `/proc`.
[[nodiscard]] ProcessUse ReadProcess(pid_t aProcess);

} // namespace toucanstand
