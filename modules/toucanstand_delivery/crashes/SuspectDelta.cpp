#include "crashes/SuspectDelta.h"

#include <string>

#include <nlohmann/json.hpp>

#include "crashes/CrashQuarantine.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

nlohmann::json MarksToJson(const std::vector<CrashMark>& aMarks)
{
  auto list = nlohmann::json::array();
  for (const auto& mark : aMarks) {
    list.push_back({ { "server", mark.server.Value() }, { "prior", mark.priorMarks } });
  }
  return list;
}

std::vector<CrashMark> ReadMarks(SettingsReader& aReader, std::string_view aKey)
{
  constexpr std::int64_t kMaxPriorMarks = 1000;
  std::vector<CrashMark> marks;
  aReader.ObjectList(aKey, [&marks](SettingsReader& aMark) {
    marks.push_back(
      { ServerId(aMark.Text("server")),
        static_cast<std::uint32_t>(aMark.Whole("prior", 0, kMaxPriorMarks)) });
  });
  return marks;
}

} // namespace

nlohmann::json ToJson(const SuspectDelta& aDelta)
{
  return { { "fingerprint", std::to_string(aDelta.fingerprint) },
           { "marks", MarksToJson(aDelta.marks) },
           { "cleared", MarksToJson(aDelta.cleared) },
           { "remaining_ms", ToMilliseconds(aDelta.remaining).count() } };
}

std::optional<SuspectDelta> SuspectDeltaFromJson(const nlohmann::json& aBody)
{
  SettingsReader reader(aBody);
  SuspectDelta delta;
  // A string, because JSON implementations may round numbers above 2^53.
  const std::string fingerprint = reader.Text("fingerprint");
  delta.marks = ReadMarks(reader, "marks");
  delta.cleared = ReadMarks(reader, "cleared");
  delta.remaining = reader.Milliseconds(
    "remaining_ms", Duration::zero(), CrashQuarantine::kSuspicionLifetime);
  reader.Finish();
  const bool isNumber = !fingerprint.empty() && fingerprint.size() <= 20 &&
                        fingerprint.find_first_not_of("0123456789") == std::string::npos;
  const bool withinLimits = delta.marks.size() <= CrashQuarantine::kMaximumMarks &&
                            delta.cleared.size() <= CrashQuarantine::kMaximumMarks;
  if (!reader.Errors().empty() || !isNumber || !withinLimits) {
    return std::nullopt;
  }
  try {
    delta.fingerprint = std::stoull(fingerprint);
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
  return delta;
}

} // namespace toucanstand
