#include "peers/VmRun.h"

namespace toucanstand {

namespace {

constexpr char kZoneMark = '@';

bool EndsWithRunNumber(std::string_view aText)
{
  const auto last = aText.find_last_not_of("0123456789");
  return last != std::string_view::npos && aText[last] == '.' && last + 1 < aText.size();
}

} // namespace

std::string MakeRunId(const VmId& aVm, std::uint64_t aRunNumber, const ZoneId& aZone)
{
  auto runId = aVm.Value() + "." + std::to_string(aRunNumber);
  if (!aZone.IsEmpty() && aZone.Value().size() <= kMaxRunZoneBytes) {
    runId += kZoneMark + aZone.Value();
  }
  return runId;
}

ZoneId ZoneOfRun(std::string_view aRunId)
{
  // The id of a VM or the name of a zone may contain the mark as well.
  for (auto mark = aRunId.find(kZoneMark); mark != std::string_view::npos;
       mark = aRunId.find(kZoneMark, mark + 1)) {
    if (EndsWithRunNumber(aRunId.substr(0, mark))) {
      return ZoneId(std::string(aRunId.substr(mark + 1)));
    }
  }
  return {};
}

} // namespace toucanstand
