#include "LoadResult.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::size_t kMostReasons = 50;

// The counts that the table shows, in this order.
constexpr std::array kCounts = { "sent",    "again",   "in_time", "late",     "refused",
                                 "not_run", "unknown", "wrong",   "abandoned" };

const char* CountName(const LoadSample& aSample, Duration aTimeout)
{
  if (aSample.abandoned && aSample.verdict != AnswerVerdict::Wrong) {
    return "abandoned";
  }
  switch (aSample.verdict) {
    case AnswerVerdict::Answered:
      return aSample.latency <= aTimeout ? "in_time" : "late";
    case AnswerVerdict::Refused:
      return "refused";
    case AnswerVerdict::NotRun:
      return "not_run";
    case AnswerVerdict::Unknown:
      return "unknown";
    case AnswerVerdict::Wrong:
      return "wrong";
  }
  return "unknown";
}

json DescribeHistogram(const LatencyHistogram& aHistogram)
{
  const auto milliseconds = [&aHistogram](double aShare) {
    return ToSeconds(aHistogram.Percentile(aShare)) * 1000;
  };
  return { { "samples", aHistogram.Samples() },
           { "p50_ms", milliseconds(0.50) },
           { "p95_ms", milliseconds(0.95) },
           { "p99_ms", milliseconds(0.99) } };
}

} // namespace

LoadResult::LoadResult(const LoadPlan& aPlan)
  : plan(aPlan)
  , tallies(aPlan.requests.size())
{
  const auto seconds = static_cast<std::size_t>(ToSeconds(aPlan.Length())) + 1;
  this->worthOffered.resize(seconds);
  this->worthInTime.resize(seconds);
}

void LoadResult::Record(const LoadSample& aSample)
{
  const auto& profile = this->plan.requests[aSample.profile];
  auto& tally = this->tallies[aSample.profile];
  const std::string name = CountName(aSample, profile.timeout);
  const auto count = [&tally](const std::string& aName, bool aCondition) {
    tally.counts[aName] += aCondition ? 1 : 0;
  };
  count("sent", true);
  count(name, true);
  count("again", aSample.again);
  count("timed_out", aSample.timedOut);
  count("misses_outcome", aSample.missesOutcome);
  ++this->accounts[aSample.account]["sent"];
  ++this->accounts[aSample.account][name];
  ++this->statuses[std::to_string(aSample.status)];

  const auto second = std::min(static_cast<std::size_t>(ToSeconds(aSample.intendedStart)),
                               this->worthOffered.size() - 1);
  this->worthOffered[second] += profile.worth;
  if (name == "in_time") {
    tally.worthInTime += profile.worth;
    this->worthInTime[second] += profile.worth;
  }
  if (aSample.verdict == AnswerVerdict::Answered && !aSample.abandoned) {
    tally.latency.Record(aSample.latency);
  }
  if (aSample.firstToken > Duration::zero()) {
    tally.firstToken.Record(aSample.firstToken);
  }
  std::ranges::for_each(aSample.betweenTokens,
                        [&tally](Duration aGap) { tally.betweenTokens.Record(aGap); });
  if (name == "wrong") {
    ++this->wrong;
    if (this->wrongReasons.size() < kMostReasons) {
      this->wrongReasons.push_back(profile.name + ": " + aSample.reason);
    }
  } else if (!aSample.reason.empty() && !aSample.abandoned &&
             (this->otherReasons.contains(aSample.reason) ||
              this->otherReasons.size() < kMostReasons)) {
    ++this->otherReasons[aSample.reason];
  }
}

json LoadResult::Describe() const
{
  json kinds = json::object();
  double worth = 0;
  json total = json::object();
  for (std::size_t index = 0; index < this->tallies.size(); ++index) {
    const auto& tally = this->tallies[index];
    kinds[this->plan.requests[index].name] = this->DescribeTally(tally);
    worth += tally.worthInTime;
    for (const auto& [name, count] : tally.counts) {
      total[name] = total.value(name, std::uint64_t{ 0 }) + count;
    }
  }
  const double seconds = ToSeconds(this->plan.Length());
  return { { "seconds", seconds },
           { "total", std::move(total) },
           { "worth_in_time_per_second", worth / seconds },
           { "kinds", std::move(kinds) },
           { "dispatch_lag", DescribeHistogram(this->dispatchLag) },
           { "accounts", this->accounts },
           { "statuses", this->statuses },
           { "worth_offered_by_second", this->worthOffered },
           { "worth_in_time_by_second", this->worthInTime },
           { "wrong_reasons", this->wrongReasons },
           { "other_reasons", this->otherReasons } };
}

std::string LoadResult::Table() const
{
  std::array<char, 128> cell{};
  std::string table;
  const auto add = [&table, &cell](const char* aFormat, auto aValue) {
    std::snprintf(cell.data(), cell.size(), aFormat, aValue);
    table += cell.data();
  };
  add("%-16s", "kind");
  std::ranges::for_each(kCounts, [&add](const char* aName) { add(" %9s", aName); });
  for (const char* title :
       { "worth/s", "p50 ms", "p95 ms", "p99 ms", "ttft p95", "gap p95" }) {
    add(" %9s", title);
  }
  table += "\n";
  for (std::size_t index = 0; index < this->tallies.size(); ++index) {
    const auto& tally = this->tallies[index];
    add("%-16s", this->plan.requests[index].name.c_str());
    for (const char* name : kCounts) {
      const auto found = tally.counts.find(name);
      add(
        " %9llu",
        static_cast<unsigned long long>(found == tally.counts.end() ? 0 : found->second));
    }
    add(" %9.1f", tally.worthInTime / ToSeconds(this->plan.Length()));
    for (const double share : { 0.50, 0.95, 0.99 }) {
      add(" %9.1f", ToSeconds(tally.latency.Percentile(share)) * 1000);
    }
    add(" %9.1f", ToSeconds(tally.firstToken.Percentile(0.95)) * 1000);
    add(" %9.1f", ToSeconds(tally.betweenTokens.Percentile(0.95)) * 1000);
    table += "\n";
  }
  std::ranges::for_each(this->wrongReasons, [&table](const std::string& aReason) {
    table += "wrong: " + aReason + "\n";
  });
  return table;
}

json LoadResult::DescribeTally(const Tally& aTally) const
{
  return { { "counts", aTally.counts },
           { "worth_in_time_per_second",
             aTally.worthInTime / ToSeconds(this->plan.Length()) },
           { "latency", DescribeHistogram(aTally.latency) },
           { "first_token", DescribeHistogram(aTally.firstToken) },
           { "between_tokens", DescribeHistogram(aTally.betweenTokens) } };
}

} // namespace toucanstand
