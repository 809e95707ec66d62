#include "ServerSettings.h"

#include "settings/EndpointSetting.h"

namespace toucanstand {

ServerSettings ReadServerSettings(SettingsReader& aReader)
{
  constexpr double kShortestStop = 1;
  constexpr double kLongestStop = 3600;
  constexpr double kShortestWindow = 1;
  constexpr double kLongestWindow = 3600;
  constexpr double kMostLines = 100'000;
  constexpr double kLeastShare = 0.001;
  constexpr double kMostShare = 1024;
  ServerSettings settings;
  settings.id = VmId(aReader.Text("id"));
  settings.zone = ZoneId(aReader.Text("zone"));
  settings.listen = ReadEndpoint(aReader, "listen");
  settings.readiness = ReadEndpoint(aReader, "readiness");
  settings.peers = ReadEndpoint(aReader, "peers");
  settings.operatorEndpoint = ReadEndpoint(aReader, "operator");
  settings.store = ReadEndpoint(aReader, "store");
  settings.cpuShare =
    aReader.Number("cpu_share", kLeastShare, kMostShare, settings.cpuShare);
  settings.stopPeriod = FromSeconds(aReader.Number(
    "stop_period_s", kShortestStop, kLongestStop, ToSeconds(settings.stopPeriod)));
  constexpr double kMostSlack = 1'000'000;
  auto& retries = settings.retries;
  retries.share = aReader.Number("retry_share", 0, 1, retries.share);
  retries.slack = aReader.Number("retry_slack", 0, kMostSlack, retries.slack);
  retries.window = FromSeconds(aReader.Number(
    "retry_window_s", kShortestWindow, kLongestWindow, ToSeconds(retries.window)));
  settings.headStall = aReader.Milliseconds("head_stall_ms",
                                            std::chrono::milliseconds(10),
                                            std::chrono::minutes(10),
                                            settings.headStall);
  settings.connections = static_cast<std::size_t>(aReader.Whole(
    "connections", 1, 100'000, static_cast<std::int64_t>(settings.connections)));
  settings.routineLines =
    aReader.Number("routine_log_lines_per_s", 0, kMostLines, settings.routineLines);
  settings.notableLines =
    aReader.Number("notable_log_lines_per_s", 0, kMostLines, settings.notableLines);
  settings.seed = aReader.Whole("seed", 0, INT64_MAX, settings.seed);
  return settings;
}

} // namespace toucanstand
