#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "crashes/CrashQuarantine.h"

namespace toucanstand {

/// Answer to a request to run a suspect.
enum class RunGrant
{
  Granted,
  /// Another run of the fingerprint, or of a suspect on that server, is under way: ask
  /// again.
  Wait,
  /// The fingerprint is quarantined: give the caller the final answer.
  Quarantined,
  /// A server has survived the fingerprint since: run it like any other request.
  Clear,
};

/// Grants runs of suspects, one at a time for a fingerprint and for a server, in the
/// whole fleet. Runs in one place: the process on ArbiterVm().
class SuspectArbiter
{
public:
  /// A grant ends at the deadline of its request, and no later than this.
  static constexpr Duration kMaxGrantDuration = std::chrono::seconds(60);
  static constexpr std::size_t kMaximumGrants = 10'000;

  /// @param aQuarantine the knowledge of this process; must outlive the arbiter.
  explicit SuspectArbiter(CrashQuarantine& aQuarantine);

  /// An entry VM asks to run a suspect.
  ///
  /// @param aKnown what the asking entry VM knows about the fingerprint; merged first, so
  /// that the decision rests on the knowledge of both.
  /// @param aMaxDuration time after which the asking entry VM abandons the run.
  [[nodiscard]] RunGrant OnGrantRequested(const RequestId& aRequest,
                                          const SuspectDelta& aKnown,
                                          const ServerId& aServer,
                                          Duration aMaxDuration,
                                          TimePoint aNow);

  /// The run ended. @param aKnown includes the mark when the server crashed, and the
  /// cleared marks when it survived.
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
