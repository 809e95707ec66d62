#pragma once

#include <cstddef>
#include <deque>

#include "time/BootClock.h"

namespace toucanstand {

/// Requests that run and wait at a server.
struct ServerLoad
{
  std::size_t running = 0;
  std::size_t queued = 0;

  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

/// History of a server's load, for reports that lag behind.
class LaggedLoad
{
public:
  explicit LaggedLoad(Duration aLag);

  /// Records the load from now on.
  void Record(ServerLoad aLoad, TimePoint aNow);

  /// The load as of the lag ago; no load before the first record.
  [[nodiscard]] ServerLoad Reported(TimePoint aNow);

  void Clear() { this->samples.clear(); }

private:
  struct Sample
  {
    TimePoint at{};
    ServerLoad load;
  };

  void ForgetBefore(TimePoint aTime);

  Duration lag;
  std::deque<Sample> samples;
};

} // namespace toucanstand
