#include "StateReport.h"

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

// The router judges whether a number is plausible; this only excludes infinite ones.
constexpr double kLargestLoad = 1e12;
constexpr std::size_t kMaximumPrefixes = 256;

} // namespace

std::optional<Observation> ReadStateReport(const ServerId& aServer,
                                           int aStatus,
                                           std::string_view aBody,
                                           TimePoint aNow)
{
  const auto document = DecodeJson(aBody);
  if (aStatus != 200 || !document) {
    return std::nullopt;
  }
  SettingsReader reader(*document);
  Observation observation;
  observation.server = aServer;
  observation.reachable = true;
  observation.observedAt = aNow;
  const auto name = reader.Text("server");
  observation.group = GroupId(reader.Text("group", ""));
  observation.generation =
    static_cast<Generation>(reader.Whole("generation", 0, INT64_MAX, 0));
  observation.fence = reader.Whole("fence", 0, INT64_MAX, 0);
  observation.leaving = reader.Flag("leaving", false);
  auto& load = observation.load;
  load.sequence = static_cast<std::uint64_t>(reader.Whole("sequence", 0, INT64_MAX, 0));
  load.running = reader.Number("running", -kLargestLoad, kLargestLoad, 0.0);
  load.queued = reader.Number("queued", -kLargestLoad, kLargestLoad, 0.0);
  load.capacity = reader.Number("capacity", -kLargestLoad, kLargestLoad, 1.0);
  load.receivedAt = aNow;
  load.cachedPrefixes = reader.UnsignedList("cached_prefixes");
  if (load.cachedPrefixes.size() > kMaximumPrefixes) {
    load.cachedPrefixes.resize(kMaximumPrefixes);
  }
  if (!reader.Errors().empty() || name != aServer.Value()) {
    return std::nullopt;
  }
  return observation;
}

} // namespace toucanstand
