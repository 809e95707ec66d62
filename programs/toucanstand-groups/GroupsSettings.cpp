#include "GroupsSettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kMostBytesPerSecond = 1e15;

void ReadPool(SettingsReader& aReader, GroupsSettings& aSettings)
{
  PoolTarget pool;
  pool.pool = PoolId(aReader.Text("pool"));
  pool.groupSize = static_cast<std::size_t>(
    aReader.Whole("group_size", 1, DomainRecord::kMaximumMembers));
  pool.wantedGroups = static_cast<std::size_t>(
    aReader.Whole("groups_per_domain", 0, DomainRecord::kMaximumGroups));
  pool.weightBytes =
    static_cast<std::uint64_t>(aReader.Whole("weight_bytes", 0, INT64_MAX, 0));
  aSettings.models[pool.pool] = aReader.Text("model", pool.pool.Value());
  aSettings.controller.pools.push_back(std::move(pool));
}

void ReadController(SettingsReader& aReader, GroupControllerSettings& aController)
{
  const auto period = [&aReader](std::string_view aKey, Duration aDefault) {
    return aReader.Milliseconds(aKey, milliseconds(10), minutes(1440), aDefault);
  };
  aController.orderLifetime = period("order_lifetime_ms", aController.orderLifetime);
  aController.recordValidity = period("validity_ms", aController.recordValidity);
  aController.lossTimeout = period("loss_timeout_ms", aController.lossTimeout);
  aController.drainTimeout = period("drain_limit_ms", aController.drainTimeout);
  aController.storeTimeout = period("store_timeout_ms", aController.storeTimeout);
  aController.refreshPeriod = period("refresh_ms", aController.refreshPeriod);
  aController.orderRetryInterval =
    period("order_retry_ms", aController.orderRetryInterval);
  if (aController.recordValidity >= aController.orderLifetime) {
    aReader.Reject("validity_ms", SettingsRule::Consistent, "below order_lifetime_ms");
  }
}

} // namespace

GroupsSettings ReadGroupsSettings(SettingsReader& aReader)
{
  GroupsSettings settings;
  settings.id = VmId(aReader.Text("id"));
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  settings.store = ReadEndpoint(aReader, "store");
  for (auto& domain : aReader.TextList("domains")) {
    settings.domains.emplace_back(std::move(domain));
  }
  aReader.ObjectList("pools",
                     [&settings](SettingsReader& aPool) { ReadPool(aPool, settings); });
  aReader.Object("controller", [&settings](SettingsReader& aController) {
    ReadController(aController, settings.controller);
  });
  settings.controller.weightBytesPerSecond =
    aReader.Number("weight_bytes_per_second", 0, kMostBytesPerSecond, 0);
  settings.leaseDuration = seconds(aReader.Whole("lease_seconds", 1, 3600, 3));
  settings.pollInterval = aReader.Milliseconds(
    "poll_interval_ms", milliseconds(10), minutes(1), settings.pollInterval);
  settings.pollTimeout = aReader.Milliseconds(
    "poll_timeout_ms", milliseconds(10), minutes(1), settings.pollTimeout);
  settings.orderTimeout = aReader.Milliseconds(
    "order_timeout_ms", milliseconds(10), minutes(1), settings.orderTimeout);
  settings.drainPeriod = aReader.Milliseconds(
    "drain_period_ms", Duration::zero(), minutes(60), settings.drainPeriod);
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, 0);
  return settings;
}

} // namespace toucanstand
