#include "limits/ServerRateLimits.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// One request, less the rounding error of the sums of fractions.
constexpr double kOneRequest = 1.0 - 1e-9;

} // namespace

void ServerRateLimits::SetFleet(Vm aSelf, std::vector<Vm> aOthers)
{
  if (!this->shares.SetFleet(std::move(aSelf), std::move(aOthers))) {
    return;
  }
  for (auto& [server, limit] : this->limits) {
    this->ComputeShare(server, limit);
  }
}

void ServerRateLimits::ComputeShare(const ServerId& aServer, Limit& aLimit) const
{
  const double burst = kBurstRequests + kBurstSeconds * aLimit.perSecond;
  aLimit.share =
    this->shares.ShareOf(aServer, std::max(aLimit.perSecond, kMinRate), burst);
  aLimit.available = std::min(aLimit.available, aLimit.share.capacity);
}

ServerRateLimits::Change ServerRateLimits::OnResponse(const ServerId& aServer,
                                                      const StatedRateLimit& aLimit,
                                                      bool aIsAnswer,
                                                      TimePoint aNow)
{
  const auto known = this->limits.find(aServer);
  const bool isLimited = known != this->limits.end() && !known->second.isLifted;
  if (aLimit.kind == StatedRateLimit::Kind::Limited) {
    this->Apply(aServer, aLimit.perSecond, true, aNow, aNow);
    return isLimited ? Change::None : Change::Limited;
  }
  const bool lifts = aLimit.kind == StatedRateLimit::Kind::Unlimited && aIsAnswer &&
                     isLimited && aNow - known->second.statedAt > kReorderingTime;
  if (!lifts) {
    return Change::None;
  }
  this->Apply(aServer, std::nullopt, true, aNow, aNow);
  return Change::Lifted;
}

void ServerRateLimits::Apply(const ServerId& aServer,
                             std::optional<double> aPerSecond,
                             bool aIsOwn,
                             TimePoint aStatedAt,
                             TimePoint aNow)
{
  const bool isKnown = this->limits.contains(aServer);
  if (!isKnown && (!aPerSecond || this->limits.size() >= kMaxServers)) {
    return;
  }
  // Nothing is available at first: the VMs learn of the limit at about the same time.
  Limit& limit = this->limits[aServer];
  limit.available = Available(limit, aNow);
  limit.updatedAt = aNow;
  limit.isLifted = !aPerSecond;
  limit.isOwn = aIsOwn;
  limit.statedAt = aStatedAt;
  if (aPerSecond && (!isKnown || *aPerSecond != limit.perSecond)) {
    limit.perSecond = *aPerSecond;
    this->ComputeShare(aServer, limit);
  }
}

void ServerRateLimits::OnSent(const ServerId& aServer, TimePoint aNow)
{
  const auto found = this->limits.find(aServer);
  if (found == this->limits.end()) {
    return;
  }
  Limit& limit = found->second;
  limit.available = std::max(0.0, Available(limit, aNow) - 1.0);
  limit.updatedAt = aNow;
}

void ServerRateLimits::Merge(const std::vector<ReportedRateLimit>& aReported,
                             TimePoint aNow)
{
  for (const auto& reported : aReported) {
    const auto statedAt = aNow - reported.age;
    const auto known = this->limits.find(reported.server);
    const bool isNews = known == this->limits.end() || known->second.statedAt < statedAt;
    if (isNews && reported.age < kLifetime) {
      this->Apply(reported.server, reported.perSecond, false, statedAt, aNow);
    }
  }
}

double ServerRateLimits::Available(const Limit& aLimit, TimePoint aNow)
{
  const double added = aLimit.share.perSecond * ToSeconds(aNow - aLimit.updatedAt);
  return std::min(aLimit.share.capacity, aLimit.available + added);
}

bool ServerRateLimits::IsExhausted(const Limit& aLimit, TimePoint aNow)
{
  return !aLimit.isLifted && Available(aLimit, aNow) < kOneRequest;
}

std::vector<ServerId> ServerRateLimits::Exhausted(TimePoint aNow) const
{
  std::vector<ServerId> servers;
  for (const auto& [server, limit] : this->limits) {
    if (IsExhausted(limit, aNow)) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::optional<Duration> ServerRateLimits::TimeUntilNextRequest(const ServerId& aServer,
                                                               TimePoint aNow) const
{
  const auto found = this->limits.find(aServer);
  if (found == this->limits.end() || !IsExhausted(found->second, aNow)) {
    return Duration::zero();
  }
  const Limit& limit = found->second;
  if (limit.share.perSecond <= 0) {
    return std::nullopt;
  }
  return FromSeconds((1.0 - Available(limit, aNow)) / limit.share.perSecond);
}

void ServerRateLimits::OnTime(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.statedAt > kLifetime;
  });
}

std::vector<ReportedRateLimit> ServerRateLimits::News(TimePoint aNow,
                                                      NewsScope aScope) const
{
  std::vector<ReportedRateLimit> news;
  for (const auto& [server, limit] : this->limits) {
    const bool isNew =
      aNow - limit.statedAt <= kNewsLifetime && (limit.isOwn || aScope == NewsScope::All);
    if (isNew && news.size() < kMaxReportedServers) {
      news.push_back({ server,
                       limit.isLifted ? std::nullopt : std::optional(limit.perSecond),
                       aNow - limit.statedAt });
    }
  }
  return news;
}

nlohmann::json ServerRateLimits::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::array();
  for (const auto& [server, limit] : this->limits) {
    document.push_back(
      { { "server", server.Value() },
        { "per_second", limit.perSecond },
        { "lifted", limit.isLifted },
        { "own_share", limit.share.perSecond },
        { "available", Available(limit, aNow) },
        { "stated_ms_ago", ToMilliseconds(aNow - limit.statedAt).count() } });
  }
  return document;
}

} // namespace toucanstand
