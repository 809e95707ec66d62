#include "NodeSettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Vm ReadVm(SettingsReader& aReader)
{
  Vm vm;
  vm.id = VmId(aReader.Text("id"));
  vm.zone = ZoneId(aReader.Text("zone"));
  vm.nodeEndpoint = ReadEndpoint(aReader, "node");
  return vm;
}

void ReadMembership(SettingsReader& aReader, MembershipSettings& aSettings)
{
  const auto period = [&aReader](std::string_view aKey, Duration& aValue) {
    aValue = aReader.Milliseconds(aKey, milliseconds(10), minutes(1), aValue);
  };
  period("probe_interval_ms", aSettings.probeInterval);
  period("probe_timeout_ms", aSettings.probeTimeout);
  period("indirect_timeout_ms", aSettings.indirectTimeout);
  period("suspicion_timeout_ms", aSettings.suspicionTimeout);
  period("full_round_ms", aSettings.fullRound);
  aSettings.maximumProbes =
    static_cast<std::size_t>(aReader.Whole("maximum_probes", 1, 1000, 4));
  if (aSettings.suspicionTimeout < aSettings.probeInterval) {
    aReader.Reject(
      "suspicion_timeout_ms", SettingsRule::Consistent, "not below probe_interval_ms");
  }
}

} // namespace

NodeSettings ReadNodeSettings(SettingsReader& aReader)
{
  NodeSettings settings;
  settings.self = ReadVm(aReader);
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  if (!aReader.Text("listen", "").empty()) {
    settings.listen = ReadEndpoint(aReader, "listen");
  }
  aReader.ObjectList("seeds", [&settings](SettingsReader& aSeed) {
    settings.seeds.push_back(ReadVm(aSeed));
  });
  settings.store = ReadEndpoint(aReader, "store");
  const auto period = [&aReader](std::string_view aKey, Duration& aValue) {
    aValue = aReader.Milliseconds(aKey, milliseconds(10), minutes(1), aValue);
  };
  period("store_timeout_ms", settings.storeTimeout);
  period("watch_pause_ms", settings.watchPause);
  period("observe_interval_ms", settings.observeInterval);
  period("observe_timeout_ms", settings.observeTimeout);
  period("snapshot_interval_ms", settings.snapshotInterval);
  period("drain_period_ms", settings.drainPeriod);
  aReader.Object("membership", [&settings](SettingsReader& aMembership) {
    ReadMembership(aMembership, settings.membership);
  });
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, 0);
  return settings;
}

} // namespace toucanstand
