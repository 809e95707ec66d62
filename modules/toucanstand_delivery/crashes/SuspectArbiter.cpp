#include "crashes/SuspectArbiter.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace toucanstand {

SuspectArbiter::SuspectArbiter(CrashQuarantine& aQuarantine)
  : quarantine(aQuarantine)
{
}

RunGrant SuspectArbiter::OnGrantRequested(const RequestId& aRequest,
                                          const SuspectDelta& aKnown,
                                          const ServerId& aServer,
                                          Duration aMaxDuration,
                                          TimePoint aNow)
{
  this->quarantine.Merge(aKnown, aNow);
  std::erase_if(this->grants,
                [aNow](const auto& aEntry) { return aEntry.second.expiresAt <= aNow; });
  const SuspicionLevel level = this->quarantine.Level(aKnown.fingerprint, aNow);
  if (level != SuspicionLevel::RunAlone) {
    return level == SuspicionLevel::Clear ? RunGrant::Clear : RunGrant::Quarantined;
  }
  const bool conflict = std::ranges::any_of(this->grants, [&](const auto& aEntry) {
    return aEntry.first != aRequest && (aEntry.second.fingerprint == aKnown.fingerprint ||
                                        aEntry.second.server == aServer);
  });
  if (conflict || this->grants.size() >= kMaximumGrants) {
    return RunGrant::Wait;
  }
  this->grants.insert_or_assign(
    aRequest,
    Grant{
      aKnown.fingerprint, aServer, aNow + std::min(aMaxDuration, kMaxGrantDuration) });
  return RunGrant::Granted;
}

void SuspectArbiter::OnRunEnded(const RequestId& aRequest,
                                const SuspectDelta& aKnown,
                                TimePoint aNow)
{
  this->quarantine.Merge(aKnown, aNow);
  this->grants.erase(aRequest);
}

nlohmann::json SuspectArbiter::Describe() const
{
  auto list = nlohmann::json::array();
  for (const auto& [request, grant] : this->grants) {
    list.push_back({ { "request", request.Value() },
                     { "fingerprint", std::to_string(grant.fingerprint) },
                     { "server", grant.server.Value() } });
  }
  return { { "grants", list } };
}

} // namespace toucanstand
