#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "AnswerCheck.h"
#include "LoadPlan.h"
#include "metrics/LatencyHistogram.h"

namespace toucanstand {

/// What became of one request.
struct LoadSample
{
  std::size_t profile = 0;
  std::string account;
  AnswerVerdict verdict = AnswerVerdict::Unknown;
  /// The caller gave up before an end; the verdict does not count.
  bool abandoned = false;
  bool timedOut = false;
  /// A second request of a caller that had given up.
  bool again = false;
  bool missesOutcome = false;
  /// Since the start of the schedule.
  Duration intendedStart{ 0 };
  /// From the intended start to the end of the reply.
  Duration latency{ 0 };
  /// From the intended start to the first token; zero when there was none.
  Duration firstToken{ 0 };
  std::vector<Duration> betweenTokens;
  unsigned status = 0;
  std::string reason;
};

/// Counts and distributions of a run.
class LoadResult
{
public:
  /// @param aPlan must outlive the result.
  explicit LoadResult(const LoadPlan& aPlan);

  void Record(const LoadSample& aSample);

  /// How late a request was sent. Latencies include it, because they count from the
  /// intended start; a large one says that the generator itself was too slow.
  void RecordDispatchLag(Duration aLag) { this->dispatchLag.Record(aLag); }

  /// True when any answer was wrong.
  [[nodiscard]] bool AnyWrong() const { return this->wrong > 0; }

  [[nodiscard]] nlohmann::json Describe() const;
  [[nodiscard]] std::string Table() const;

private:
  struct Tally
  {
    std::map<std::string, std::uint64_t> counts;
    double worthInTime = 0;
    LatencyHistogram latency;
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
  };

  [[nodiscard]] nlohmann::json DescribeTally(const Tally& aTally) const;

  const LoadPlan& plan;
  std::vector<Tally> tallies;
  std::map<std::string, std::map<std::string, std::uint64_t>> accounts;
  std::map<std::string, std::uint64_t> statuses;
  /// By second of the intended start.
  std::vector<double> worthOffered;
  std::vector<double> worthInTime;
  std::vector<std::string> wrongReasons;
  std::map<std::string, std::uint64_t> otherReasons;
  LatencyHistogram dispatchLag;
  std::uint64_t wrong = 0;
};

} // namespace toucanstand
