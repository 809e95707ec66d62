#include "metrics/MetricsRegistry.h"

#include <array>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

constexpr std::string_view kPrefix = "toucanstand_";
constexpr std::array kQuantiles = { 0.5, 0.95, 0.99 };

/// Splits `name{labels}` into the name and the labels without braces.
std::pair<std::string, std::string> SplitLabels(const std::string& aName)
{
  const auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return { aName, "" };
  }
  return { aName.substr(0, brace), aName.substr(brace + 1, aName.size() - brace - 2) };
}

template<typename Value>
Value& FindOrInsert(std::map<std::string, Value, std::less<>>& aMap,
                    std::string_view aName)
{
  const auto found = aMap.find(aName);
  if (found != aMap.end()) {
    return found->second;
  }
  return aMap.emplace(std::string(aName), Value{}).first->second;
}

} // namespace

void MetricsRegistry::Count(std::string_view aName, std::uint64_t aAmount)
{
  FindOrInsert(this->counters, aName) += aAmount;
}

void MetricsRegistry::Set(std::string_view aName, double aValue)
{
  FindOrInsert(this->gauges, aName) = aValue;
}

void MetricsRegistry::Record(std::string_view aName, Duration aDuration)
{
  FindOrInsert(this->histograms, aName).Record(aDuration);
}

std::uint64_t MetricsRegistry::CounterValue(std::string_view aName) const
{
  const auto found = this->counters.find(aName);
  return found == this->counters.end() ? 0 : found->second;
}

std::string MetricsRegistry::RenderText() const
{
  std::ostringstream out;
  for (const auto& [name, value] : this->counters) {
    out << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : this->gauges) {
    out << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, histogram] : this->histograms) {
    const auto [base, labels] = SplitLabels(name);
    const std::string separator = labels.empty() ? "" : ",";
    for (const double quantile : kQuantiles) {
      out << kPrefix << base << '{' << labels << separator << "quantile=\"" << quantile
          << "\"} " << ToSeconds(histogram.Percentile(quantile)) << '\n';
    }
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out << kPrefix << base << "_sum" << braces << ' ' << ToSeconds(histogram.Sum())
        << '\n';
    out << kPrefix << base << "_count" << braces << ' ' << histogram.Samples() << '\n';
  }
  return out.str();
}

nlohmann::json MetricsRegistry::Describe() const
{
  nlohmann::json document = { { "counters", this->counters },
                              { "gauges", this->gauges } };
  for (const auto& [name, histogram] : this->histograms) {
    document["latency_seconds"][name] = {
      { "count", histogram.Samples() },
      { "p50", ToSeconds(histogram.Percentile(0.5)) },
      { "p99", ToSeconds(histogram.Percentile(0.99)) },
    };
  }
  return document;
}

} // namespace toucanstand
