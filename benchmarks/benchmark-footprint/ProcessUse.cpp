#include "ProcessUse.h"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace toucanstand {

double ProcessUse::Sum(const std::string& aPrefix) const
{
  double sum = 0;
  for (const auto& [name, value] : this->counters) {
    sum += name.starts_with(aPrefix) ? value : 0;
  }
  return sum;
}

ProcessUse ProcessUse::Since(const ProcessUse& aEarlier) const
{
  ProcessUse growth = *this;
  growth.processorSeconds -= aEarlier.processorSeconds;
  for (auto& [name, value] : growth.counters) {
    const auto before = aEarlier.counters.find(name);
    value -= before == aEarlier.counters.end() ? 0 : before->second;
  }
  return growth;
}

pid_t ProcessIdOf(HttpCaller& aCaller, const Endpoint& aOperator)
{
  return aCaller.Json(aOperator, "GET", "/state")["pid"].get<pid_t>();
}

std::map<std::string, double> ReadCounters(HttpCaller& aCaller, const Endpoint& aOperator)
{
  return aCaller.Json(aOperator, "GET", "/state")["metrics"]["counters"]
    .get<std::map<std::string, double>>();
}

ProcessUse ReadProcess(pid_t aProcess)
{
  const std::string folder = "/proc/" + std::to_string(aProcess);
  std::ifstream statFile(folder + "/stat");
  std::string stat;
  std::getline(statFile, stat);
  // The program's name in parentheses may contain spaces; fields are counted after it.
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double userTicks = 0;
  double systemTicks = 0;
  fields >> userTicks >> systemTicks;

  std::ifstream memory(folder + "/statm");
  double totalPages = 0;
  double residentPages = 0;
  memory >> totalPages >> residentPages;

  ProcessUse use;
  use.processorSeconds =
    (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  use.residentMegabytes =
    residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  return use;
}

} // namespace toucanstand
