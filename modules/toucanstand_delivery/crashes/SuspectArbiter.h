#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "crashes/CrashQuarantine.h"

namespace toucanstand {

/// Arbiter's answer to a request to run a suspect.
enum class RunGrant
{
  Granted,
  /// The fingerprint, or another suspect on that server, is already running: ask again
  /// later.
  Wait,
  /// The fingerprint is quarantined: reject the request.
  Quarantined,
  /// The fingerprint is no longer suspected: run it like any other request.
  Clear,
};

/// Grants runs of suspects for the whole fleet, at most one at a time per fingerprint and
/// per server. Active only in the process on the VM that ArbiterVm() selects.
class SuspectArbiter
{
public:
  /// A grant expires at the deadline of its request, or earlier after this time.
  static constexpr Duration kMaxGrantDuration = std::chrono::seconds(60);
  static constexpr std::size_t kMaximumGrants = 10'000;

  /// @param aQuarantine suspects known to this process; must outlive the arbiter.
  explicit SuspectArbiter(CrashQuarantine& aQuarantine);

  /// An entry VM asks for a grant to run a suspect.
  ///
  /// @param aKnown the requesting VM's state of the fingerprint; merged first, so that
  /// the decision takes the marks of both into account.
  /// @param aMaxDuration time after which the requesting VM abandons the run.
  [[nodiscard]] RunGrant OnGrantRequested(const RequestId& aRequest,
                                          const SuspectDelta& aKnown,
                                          const ServerId& aServer,
                                          Duration aMaxDuration,
                                          TimePoint aNow);

  /// The run ended; releases its grant. @param aKnown includes the new mark if the server
  /// crashed, and the cleared marks if it survived.
  void OnRunEnded(const RequestId& aRequest, const SuspectDelta& aKnown, TimePoint aNow);

  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Grant
  {
    std::uint64_t fingerprint = 0;
    ServerId server;
    TimePoint expiresAt{};
  };

  CrashQuarantine& quarantine;
  std::unordered_map<RequestId, Grant> grants;
};

} // namespace toucanstand
