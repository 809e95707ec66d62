#include "observation/WorldViewText.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

using nlohmann::json;

/// Longest age or period that a message may carry.
constexpr Duration kLongestPeriod = std::chrono::hours(24);
constexpr std::int64_t kMostWhole = INT64_MAX;
constexpr double kAbsurd = 1e12;
/// Prefixes of one server in a message; more are cut off, which only loses affinity.
constexpr std::size_t kMostPrefixes = 256;

std::int64_t AgeMs(TimePoint aThen, TimePoint aNow)
{
  return std::clamp(ToMilliseconds(aNow - aThen).count(),
                    std::int64_t{ 0 },
                    ToMilliseconds(kLongestPeriod).count());
}

json LoadToJson(const LoadReport& aLoad, TimePoint aNow)
{
  json prefixes = json::array();
  const auto count = std::min(aLoad.cachedPrefixes.size(), kMostPrefixes);
  std::copy_n(aLoad.cachedPrefixes.begin(), count, std::back_inserter(prefixes));
  return { { "sequence", aLoad.sequence },
           { "running", aLoad.running },
           { "queued", aLoad.queued },
           { "capacity", aLoad.capacity },
           { "age_ms", AgeMs(aLoad.receivedAt, aNow) },
           { "prefixes", std::move(prefixes) } };
}

Duration ReadPeriod(SettingsReader& aReader, std::string_view aKey)
{
  return aReader.Milliseconds(aKey, Duration::zero(), kLongestPeriod);
}

LoadReport ReadLoad(SettingsReader& aReader, TimePoint aNow)
{
  LoadReport load;
  load.sequence = static_cast<std::uint64_t>(aReader.Whole("sequence", 0, kMostWhole));
  // Absurd numbers are kept: the router judges them.
  load.running = aReader.Number("running", -kAbsurd, kAbsurd);
  load.queued = aReader.Number("queued", -kAbsurd, kAbsurd);
  load.capacity = aReader.Number("capacity", -kAbsurd, kAbsurd);
  load.receivedAt = aNow - ReadPeriod(aReader, "age_ms");
  load.cachedPrefixes = aReader.UnsignedList("prefixes");
  return load;
}

std::vector<ServerId> ReadServerIds(SettingsReader& aReader, std::string_view aKey)
{
  std::vector<ServerId> ids;
  std::ranges::transform(aReader.TextList(aKey),
                         std::back_inserter(ids),
                         [](const std::string& aId) { return ServerId(aId); });
  return ids;
}

Candidate ReadCandidate(SettingsReader& aReader, TimePoint aNow)
{
  Candidate candidate;
  candidate.id = aReader.Text("id");
  candidate.pool = PoolId(aReader.Text("pool"));
  candidate.zone = ZoneId(aReader.Text("zone"));
  candidate.server = ServerId(aReader.Text("server"));
  candidate.endpoint = ReadEndpoint(aReader, "endpoint");
  candidate.generation =
    static_cast<Generation>(aReader.Whole("generation", 0, kMostWhole));
  candidate.members = ReadServerIds(aReader, "members");
  aReader.Object("load",
                 [&](SettingsReader& aLoad) { candidate.load = ReadLoad(aLoad, aNow); });
  candidate.usableUntil = aNow + ReadPeriod(aReader, "usable_ms");
  return candidate;
}

json CandidateToJson(const Candidate& aCandidate, TimePoint aNow)
{
  json members = json::array();
  std::ranges::transform(aCandidate.members,
                         std::back_inserter(members),
                         [](const ServerId& aId) { return aId.Value(); });
  return { { "id", aCandidate.id },
           { "pool", aCandidate.pool.Value() },
           { "zone", aCandidate.zone.Value() },
           { "server", aCandidate.server.Value() },
           { "endpoint", aCandidate.endpoint.Text() },
           { "generation", aCandidate.generation },
           { "members", std::move(members) },
           { "load", LoadToJson(aCandidate.load, aNow) },
           { "usable_ms", AgeMs(aNow, aCandidate.usableUntil) } };
}

QuarantineEntry ReadQuarantine(SettingsReader& aReader, TimePoint aNow)
{
  QuarantineEntry entry;
  const auto fingerprint = aReader.UnsignedList("fingerprint");
  if (fingerprint.size() != 1) {
    aReader.Reject("fingerprint", SettingsRule::IsList, "of one unsigned whole number");
  } else {
    entry.fingerprint = fingerprint.front();
  }
  entry.until = aNow + ReadPeriod(aReader, "remaining_ms");
  return entry;
}

Vm ReadVm(SettingsReader& aReader)
{
  return Vm{ VmId(aReader.Text("id")),
             ZoneId(aReader.Text("zone")),
             ReadEndpoint(aReader, "node") };
}

} // namespace

json WorldViewToJson(const WorldView& aView, TimePoint aNow)
{
  json body = { { "may_serve", aView.mayServe },
                { "configuration_revision", aView.configurationRevision },
                { "candidates", json::array() },
                { "quarantine", json::array() },
                { "entry_vms", json::array() } };
  for (const auto& candidate : aView.candidates) {
    body["candidates"].push_back(CandidateToJson(candidate, aNow));
  }
  for (const auto& entry : aView.quarantine) {
    body["quarantine"].push_back({ { "fingerprint", json::array({ entry.fingerprint }) },
                                   { "remaining_ms", AgeMs(aNow, entry.until) } });
  }
  for (const auto& vm : aView.liveEntryVms) {
    body["entry_vms"].push_back({ { "id", vm.id.Value() },
                                  { "zone", vm.zone.Value() },
                                  { "node", vm.nodeEndpoint.Text() } });
  }
  return body;
}

std::optional<WorldView> WorldViewFromJson(const json& aBody, TimePoint aNow)
{
  WorldView view;
  view.receivedAt = aNow;
  SettingsReader reader(aBody);
  view.mayServe = reader.Flag("may_serve");
  view.configurationRevision = reader.Whole("configuration_revision", 0, kMostWhole);
  reader.ObjectList("candidates", [&](SettingsReader& aCandidate) {
    view.candidates.push_back(ReadCandidate(aCandidate, aNow));
  });
  reader.ObjectList("quarantine", [&](SettingsReader& aEntry) {
    view.quarantine.push_back(ReadQuarantine(aEntry, aNow));
  });
  reader.ObjectList(
    "entry_vms", [&](SettingsReader& aVm) { view.liveEntryVms.push_back(ReadVm(aVm)); });
  reader.Finish();
  if (!reader.Errors().empty()) {
    return std::nullopt;
  }
  return view;
}

json ObservationToJson(const Observation& aObservation, TimePoint aNow)
{
  return { { "server", aObservation.server.Value() },
           { "reachable", aObservation.reachable },
           { "group", aObservation.group.Value() },
           { "generation", aObservation.generation },
           { "fence", aObservation.fence },
           { "leaving", aObservation.leaving },
           { "load", LoadToJson(aObservation.load, aNow) },
           { "age_ms", AgeMs(aObservation.observedAt, aNow) } };
}

std::optional<Observation> ObservationFromJson(const json& aBody, TimePoint aNow)
{
  Observation observation;
  SettingsReader reader(aBody);
  observation.server = ServerId(reader.Text("server"));
  observation.reachable = reader.Flag("reachable");
  observation.group = GroupId(reader.Text("group"));
  observation.generation =
    static_cast<Generation>(reader.Whole("generation", 0, kMostWhole));
  observation.fence = reader.Whole("fence", 0, kMostWhole);
  observation.leaving = reader.Flag("leaving");
  reader.Object("load",
                [&](SettingsReader& aLoad) { observation.load = ReadLoad(aLoad, aNow); });
  observation.observedAt = aNow - ReadPeriod(reader, "age_ms");
  reader.Finish();
  if (!reader.Errors().empty()) {
    return std::nullopt;
  }
  return observation;
}

} // namespace toucanstand
