#include "ServerSettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

ServerSettings ReadServerSettings(SettingsReader& aReader)
{
  constexpr double kMinStopSeconds = 1;
  constexpr double kMaxStopSeconds = 3600;
  constexpr double kMinWindowSeconds = 1;
  constexpr double kMaxWindowSeconds = 3600;
  constexpr double kMaxLinesPerSecond = 100'000;
  constexpr double kMinCpuShare = 0.001;
  constexpr double kMaxCpuShare = 1024;
  ServerSettings settings;
  settings.id = VmId(aReader.Text("id"));
  settings.zone = ZoneId(aReader.Text("zone"));
  settings.listen = ReadEndpoint(aReader, "listen");
  settings.readiness = ReadEndpoint(aReader, "readiness");
  settings.peers = ReadEndpoint(aReader, "peers");
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  settings.store = ReadEndpoint(aReader, "store");
  settings.cpuShare =
    aReader.Number("cpu_share", kMinCpuShare, kMaxCpuShare, settings.cpuShare);
  constexpr std::int64_t kMinMegabytes = 16;
  constexpr std::int64_t kMaxMegabytes = 1'000'000;
  constexpr std::size_t kMegabyte = 1U << 20U;
  settings.memoryBytes =
    kMegabyte * static_cast<std::size_t>(aReader.Whole(
                  "memory_mb",
                  kMinMegabytes,
                  kMaxMegabytes,
                  static_cast<std::int64_t>(settings.memoryBytes / kMegabyte)));
  settings.stopPeriod = FromSeconds(aReader.Number(
    "stop_period_s", kMinStopSeconds, kMaxStopSeconds, ToSeconds(settings.stopPeriod)));
  constexpr double kMaxRetrySlack = 1'000'000;
  auto& retries = settings.retries;
  retries.share = aReader.Number("retry_share", 0, 1, retries.share);
  retries.slack = aReader.Number("retry_slack", 0, kMaxRetrySlack, retries.slack);
  retries.window = FromSeconds(aReader.Number(
    "retry_window_s", kMinWindowSeconds, kMaxWindowSeconds, ToSeconds(retries.window)));
  settings.headStall = aReader.Milliseconds("head_stall_ms",
                                            std::chrono::milliseconds(10),
                                            std::chrono::minutes(10),
                                            settings.headStall);
  constexpr double kMaxColdOvershoot = 1000;
  constexpr double kMaxColdSlack = 1'000'000;
  settings.coldOvershoot =
    aReader.Number("cold_overshoot", 0, kMaxColdOvershoot, settings.coldOvershoot);
  settings.coldSlack = aReader.Number("cold_slack", 0, kMaxColdSlack, settings.coldSlack);
  settings.connections = static_cast<std::size_t>(aReader.Whole(
    "connections", 1, 100'000, static_cast<std::int64_t>(settings.connections)));
  settings.routineLinesPerSecond = aReader.Number(
    "routine_log_lines_per_s", 0, kMaxLinesPerSecond, settings.routineLinesPerSecond);
  settings.notableLinesPerSecond = aReader.Number(
    "notable_log_lines_per_s", 0, kMaxLinesPerSecond, settings.notableLinesPerSecond);
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, settings.seed);
  return settings;
}

} // namespace toucanstand
