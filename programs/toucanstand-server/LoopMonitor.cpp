#include "LoopMonitor.h"

#include <utility>

#include <sys/resource.h>

namespace toucanstand {

namespace {

Duration ToDuration(const timeval& aTime)
{
  return std::chrono::seconds(aTime.tv_sec) + std::chrono::microseconds(aTime.tv_usec);
}

/// Counts since the start of the process.
LoopMonitor::Delay ReadCounts()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  LoopMonitor::Delay counts;
  counts.majorFaults = usage.ru_majflt;
  counts.voluntarySwitches = usage.ru_nvcsw;
  counts.involuntarySwitches = usage.ru_nivcsw;
  counts.processorTime = ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
  return counts;
}

} // namespace

std::optional<LoopMonitor::Delay> LoopMonitor::OnTick(TimePoint aNow, Duration aInterval)
{
  const auto before = std::exchange(this->countedBefore, ReadCounts());
  const auto lastAt = std::exchange(this->lastTickAt, aNow);
  if (!lastAt || aNow - *lastAt - aInterval < kNotableDelay) {
    return std::nullopt;
  }
  const auto& counted = this->countedBefore;
  return Delay{ aNow - *lastAt - aInterval,
                counted.majorFaults - before.majorFaults,
                counted.voluntarySwitches - before.voluntarySwitches,
                counted.involuntarySwitches - before.involuntarySwitches,
                counted.processorTime - before.processorTime };
}

} // namespace toucanstand
