#include "LedgerSettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void ReadStore(SettingsReader& aReader, EtcdStoreSettings& aStore)
{
  aStore.endpoint = ReadEndpoint(aReader, "address");
  aStore.timeout =
    aReader.Milliseconds("timeout_ms", milliseconds(10), seconds(30), aStore.timeout);
  aStore.callsPerSecond =
    aReader.Number("calls_per_second", 1, 100'000, aStore.callsPerSecond);
}

} // namespace

LedgerSettings ReadLedgerSettings(SettingsReader& aReader)
{
  LedgerSettings settings;
  settings.id = VmId(aReader.Text("id"));
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  settings.messages = ReadEndpoint(aReader, "messages");
  settings.node = ReadEndpoint(aReader, "node");
  // Leaves time for a second try within an entry's wait for a claim, 1.5 s.
  settings.store.timeout = milliseconds(500);
  aReader.Object("store",
                 [&](SettingsReader& aStore) { ReadStore(aStore, settings.store); });
  if (!aReader.Has("store")) {
    aReader.Reject("store", SettingsRule::Required, "");
  }
  settings.retention =
    aReader.Milliseconds("retention_ms", minutes(1), hours(24 * 30), settings.retention);
  settings.retryWait = aReader.Milliseconds(
    "retry_wait_ms", milliseconds(1), seconds(10), settings.retryWait);
  settings.longestRetryWait = aReader.Milliseconds(
    "longest_retry_wait_ms", milliseconds(1), minutes(1), settings.longestRetryWait);
  settings.longestCall = aReader.Milliseconds(
    "longest_call_ms", milliseconds(10), hours(24), settings.longestCall);
  settings.drainPeriod = aReader.Milliseconds(
    "drain_period_ms", Duration::zero(), minutes(60), settings.drainPeriod);
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, 0);
  if (settings.longestRetryWait < settings.retryWait) {
    aReader.Reject(
      "longest_retry_wait_ms", SettingsRule::Consistent, "not below retry_wait_ms");
  }
  if (settings.retention < settings.longestCall) {
    aReader.Reject("retention_ms", SettingsRule::Consistent, "not below longest_call_ms");
  }
  return settings;
}

} // namespace toucanstand
