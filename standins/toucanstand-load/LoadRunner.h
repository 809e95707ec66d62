#pragma once

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "AnswerCheck.h"
#include "LoadPlan.h"
#include "LoadResult.h"
#include "http/HttpClient.h"

namespace toucanstand {

/// Sends the requests of a plan at their times and records what became of them.
class LoadRunner
{
public:
  /// @param aPlan must outlive the runner.
  LoadRunner(boost::asio::io_context& aLoop,
             MetricsRegistry& aMetrics,
             const LoadPlan& aPlan);

  /// Runs the schedule and waits for the last answer.
  Task<> Run();

  [[nodiscard]] const LoadResult& Result() const { return this->result; }

private:
  /// What one caller does.
  struct Caller
  {
    LoadRequest request;
    std::uint64_t number = 0;
    TimePoint intendedStart{};
    bool abandons = false;
    /// Sends the request again after giving up.
    bool asksAgain = false;
    bool again = false;
  };
  struct Progress;

  void Start(Caller aCaller);
  Task<> Send(Caller aCaller);
  Task<> Exchange(const Caller& aCaller, AnswerCheck& aCheck, Progress& aProgress);
  Task<> ReadBody(HttpClientStream& aStream, AnswerCheck& aCheck, Progress& aProgress);
  void Finish(const Caller& aCaller, AnswerCheck& aCheck, Progress& aProgress);
  [[nodiscard]] HttpRequest ToHttp(const Caller& aCaller) const;

  boost::asio::io_context& loop;
  const LoadPlan& plan;
  HttpClient client;
  Random random;
  LoadResult result;
  TimePoint start{};
  std::uint64_t active = 0;
  std::uint64_t sent = 0;
  /// Never expires; cancelled when a caller is done.
  boost::asio::steady_timer callerDone;
};

} // namespace toucanstand
