#include "EntrySettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void ReadLimits(SettingsReader& aReader, HttpServerLimits& aLimits)
{
  const auto size =
    [&aReader](std::string_view aKey, std::size_t aMost, std::size_t aDefault) {
      return static_cast<std::size_t>(aReader.Whole(
        aKey, 1, static_cast<std::int64_t>(aMost), static_cast<std::int64_t>(aDefault)));
    };
  aLimits.headerBytes = size("header_bytes", 1U << 20U, aLimits.headerBytes);
  aLimits.bodyBytes = size("body_bytes", 64U << 20U, aLimits.bodyBytes);
  aLimits.connections = size("connections", 100000, aLimits.connections);
  aLimits.idleTimeout = aReader.Milliseconds(
    "idle_timeout_ms", milliseconds(10), minutes(60), aLimits.idleTimeout);
  aLimits.requestTimeout = aReader.Milliseconds(
    "request_timeout_ms", milliseconds(10), minutes(10), aLimits.requestTimeout);
  aLimits.headerTimeout = aLimits.requestTimeout;
}

void ReadProgress(SettingsReader& aReader, ProgressTimeouts& aProgress)
{
  const auto period = [&aReader](std::string_view aKey, Duration aDefault) {
    return aReader.Milliseconds(aKey, milliseconds(10), minutes(10), aDefault);
  };
  aProgress.firstEvent = period("first_ms", aProgress.firstEvent);
  aProgress.betweenEvents = period("between_ms", aProgress.betweenEvents);
  aProgress.probe = period("probe_ms", aProgress.probe);
}

} // namespace

EntrySettings ReadEntrySettings(SettingsReader& aReader)
{
  EntrySettings settings;
  settings.id = VmId(aReader.Text("id"));
  settings.zone = ZoneId(aReader.Text("zone"));
  settings.listen = ReadEndpoint(aReader, "listen");
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  settings.messages = ReadEndpoint(aReader, "messages");
  settings.node = ReadEndpoint(aReader, "node");
  settings.ledger = ReadEndpoint(aReader, "ledger");
  aReader.Object("limits",
                 [&](SettingsReader& aLimits) { ReadLimits(aLimits, settings.limits); });
  aReader.Object("progress", [&](SettingsReader& aProgress) {
    ReadProgress(aProgress, settings.progress);
  });
  settings.connectTimeout = aReader.Milliseconds(
    "connect_timeout_ms", milliseconds(10), seconds(30), settings.connectTimeout);
  settings.claimTimeout = aReader.Milliseconds(
    "claim_timeout_ms", milliseconds(10), seconds(30), settings.claimTimeout);
  settings.longTokens = aReader.Whole("long_tokens", 1, 1000000, settings.longTokens);
  settings.subsetSize =
    static_cast<std::size_t>(aReader.Whole("subset_size", 0, 100000, 0));
  settings.admission =
    aReader.Choice("admission", { "weighted", "open" }, "weighted") == "open"
      ? AdmissionMode::Open
      : AdmissionMode::Weighted;
  settings.drainPeriod = aReader.Milliseconds(
    "drain_period_ms", Duration::zero(), minutes(60), settings.drainPeriod);
  settings.listenerWait = aReader.Milliseconds(
    "listener_wait_ms", Duration::zero(), minutes(10), settings.listenerWait);
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, 0);
  if (settings.listenerWait > settings.drainPeriod) {
    aReader.Reject(
      "listener_wait_ms", SettingsRule::Consistent, "not above drain_period_ms");
  }
  return settings;
}

} // namespace toucanstand
