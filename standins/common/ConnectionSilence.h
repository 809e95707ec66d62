#pragma once

#include <map>

#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Remembers which connections have gone silent: those that carried a request before the
/// fault was set. Later connections work.
class ConnectionSilence
{
public:
  /// To be called with the caller's endpoint at the start of each exchange.
  /// @returns false when the connection is silent and must get no byte any more
  [[nodiscard]] bool Admit(const Endpoint& aCaller, TimePoint aNow);

  /// Makes all connections seen so far silent. Exchanges in progress notice it by a
  /// changed Serial().
  void SilenceOpen();

  /// Counts the calls of SilenceOpen().
  [[nodiscard]] unsigned Serial() const { return this->serial; }

private:
  struct Caller
  {
    TimePoint lastUsed{};
    bool silent = false;
  };

  std::map<Endpoint, Caller> callers;
  unsigned serial = 0;
};

} // namespace toucanstand
