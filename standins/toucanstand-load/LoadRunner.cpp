#include "LoadRunner.h"

#include <algorithm>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

/// What has been observed of one exchange.
struct LoadRunner::Progress
{
  CancelSwitch cancel;
  bool gaveUp = false;
  bool complete = false;
  std::optional<HttpFailure> failure;
  unsigned status = 0;
  TimePoint firstToken{};
  TimePoint lastToken{};
  std::vector<Duration> betweenTokens;
};

LoadRunner::LoadRunner(asio::io_context& aLoop,
                       MetricsRegistry& aMetrics,
                       const LoadPlan& aPlan)
  : loop(aLoop)
  , plan(aPlan)
  , client(aLoop, aMetrics)
  , random(aPlan.seed)
  , result(aPlan)
  , callerDone(aLoop, asio::steady_timer::time_point::max())
{
}

Task<> LoadRunner::Run()
{
  // Times and requests have generators of their own, so that a change of the mix keeps
  // the arrivals.
  Random arrivals(this->plan.seed + 1);
  ArrivalSchedule schedule(this->plan, arrivals);
  this->start = BootClock::now();
  std::uint64_t number = 0;
  while (const auto at = schedule.Next()) {
    asio::steady_timer timer(this->loop, this->start + *at - BootClock::now());
    co_await timer.async_wait(kAwait);
    Caller caller;
    caller.number = ++number;
    caller.request = DrawRequest(this->plan, number, this->random);
    caller.intendedStart = this->start + *at;
    const auto& profile = this->plan.requests[caller.request.profile];
    caller.abandons = this->random.Fraction() < profile.abandonShare;
    caller.asksAgain = this->random.Fraction() < profile.againShare;
    this->result.RecordDispatchLag(BootClock::now() - caller.intendedStart);
    this->Start(std::move(caller));
  }
  while (this->active > 0) {
    co_await this->callerDone.async_wait(kAwait);
  }
}

void LoadRunner::Start(Caller aCaller)
{
  ++this->active;
  asio::co_spawn(this->loop, this->Send(std::move(aCaller)), asio::detached);
}

Task<> LoadRunner::Send(Caller aCaller)
{
  const auto& profile = this->plan.requests[aCaller.request.profile];
  AnswerCheck check(aCaller.request, profile, this->plan.requireOutcome);
  Progress progress;
  const auto patience =
    aCaller.abandons ? std::min(profile.abandonAfter, profile.timeout) : profile.timeout;
  asio::steady_timer timer(this->loop,
                           aCaller.intendedStart + patience - BootClock::now());
  timer.async_wait([&progress](const boost::system::error_code& aError) {
    if (!aError) {
      progress.gaveUp = true;
      progress.cancel.Trip();
    }
  });
  co_await this->Exchange(aCaller, check, progress);
  // A wait that has already expired would still run its handler with the progress gone.
  if (timer.cancel() == 0 && !progress.gaveUp) {
    co_await timer.async_wait(kAwait);
  }
  this->Finish(aCaller, check, progress);
  if (aCaller.abandons && progress.gaveUp && aCaller.asksAgain) {
    aCaller.again = true;
    aCaller.abandons = false;
    aCaller.intendedStart = BootClock::now();
    this->Start(aCaller);
  }
  --this->active;
  this->callerDone.cancel();
}

Task<> LoadRunner::Exchange(const Caller& aCaller,
                            AnswerCheck& aCheck,
                            Progress& aProgress)
{
  const auto& profile = this->plan.requests[aCaller.request.profile];
  const auto target = this->plan.targets[this->sent++ % this->plan.targets.size()];
  // The timer of the caller's patience ends every stage.
  HttpDeadlines deadlines;
  deadlines.connect = profile.timeout;
  deadlines.head = profile.timeout;
  deadlines.progress = profile.timeout;
  // On a reused connection that turns out closed it is unknown whether an order ran.
  const auto use =
    profile.kind == RequestKind::Order ? ConnectionUse::Fresh : ConnectionUse::MayReuse;
  auto request = this->ToHttp(aCaller);
  auto opened = co_await this->client.Open(
    target, std::move(request), deadlines, use, aProgress.cancel);
  if (!opened) {
    aProgress.failure = opened.LastReason();
    co_return;
  }
  auto& stream = **opened;
  ReplyHead head;
  head.status = static_cast<unsigned>(stream.Status());
  head.outcome = stream.Headers().Find("Toucanstand-Outcome");
  head.notRun = stream.Headers().Find("Not-Run") == "true";
  head.eventStream =
    stream.Headers().Find("Content-Type").starts_with("text/event-stream");
  aProgress.status = head.status;
  aCheck.Head(std::move(head));
  co_await this->ReadBody(stream, aCheck, aProgress);
}

Task<> LoadRunner::ReadBody(HttpClientStream& aStream,
                            AnswerCheck& aCheck,
                            Progress& aProgress)
{
  while (true) {
    auto bytes = co_await aStream.Read(aProgress.cancel);
    if (!bytes) {
      aProgress.failure = bytes.LastReason();
      co_return;
    }
    if (bytes->empty()) {
      aProgress.complete = true;
      co_return;
    }
    const auto tokens = aCheck.Body(*bytes);
    const auto now = BootClock::now();
    // Tokens that arrive together have no time between them.
    for (std::uint64_t token = 0; token < tokens; ++token) {
      if (aProgress.firstToken == TimePoint{}) {
        aProgress.firstToken = now;
      } else {
        aProgress.betweenTokens.push_back(now - aProgress.lastToken);
      }
      aProgress.lastToken = now;
    }
  }
}

void LoadRunner::Finish(const Caller& aCaller, AnswerCheck& aCheck, Progress& aProgress)
{
  LoadSample sample;
  sample.profile = aCaller.request.profile;
  sample.account = aCaller.request.account;
  sample.verdict = aCheck.Finish(aProgress.complete);
  sample.reason = aCheck.Reason();
  const bool unsent = aProgress.failure && NothingWasSent(*aProgress.failure);
  if (sample.verdict == AnswerVerdict::Unknown && unsent) {
    sample.verdict = AnswerVerdict::NotRun;
  }
  if (sample.verdict != AnswerVerdict::Wrong && aProgress.failure) {
    sample.reason += std::string(", ") + Name(*aProgress.failure);
  }
  const bool gaveUp = aProgress.gaveUp && !aProgress.complete;
  sample.abandoned = gaveUp && aCaller.abandons;
  sample.timedOut = gaveUp && !aCaller.abandons;
  sample.again = aCaller.again;
  sample.missesOutcome = aCheck.MissesOutcome();
  sample.intendedStart = aCaller.intendedStart - this->start;
  sample.latency = BootClock::now() - aCaller.intendedStart;
  if (aProgress.firstToken != TimePoint{}) {
    sample.firstToken = aProgress.firstToken - aCaller.intendedStart;
  }
  sample.betweenTokens = std::move(aProgress.betweenTokens);
  sample.status = aProgress.status;
  this->result.Record(sample);
}

HttpRequest LoadRunner::ToHttp(const Caller& aCaller) const
{
  const auto& profile = this->plan.requests[aCaller.request.profile];
  HttpRequest request;
  request.method = aCaller.request.method;
  request.target = aCaller.request.path;
  request.body = aCaller.request.body;
  request.headers.Add("Client-Account", aCaller.request.account);
  request.headers.Add("Request-Timeout-Ms",
                      std::to_string(ToMilliseconds(profile.timeout).count()));
  if (!request.body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  if (!aCaller.request.idempotencyKey.empty()) {
    request.headers.Add("Idempotency-Key", aCaller.request.idempotencyKey);
  }
  if (!this->plan.requireOutcome) {
    // Stand-ins log the requests that reach them under this name.
    request.headers.Add("Request-Id", "load-" + std::to_string(aCaller.number));
  }
  return request;
}

} // namespace toucanstand
