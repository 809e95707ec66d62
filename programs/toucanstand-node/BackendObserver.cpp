#include "BackendObserver.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "StateReport.h"

namespace toucanstand {

namespace {

constexpr std::size_t kMaximumStateBytes = 256U << 10U;

} // namespace

BackendObserver::BackendObserver(boost::asio::io_context& aLoop,
                                 const NodeSettings& aSettings,
                                 MetricsRegistry& aMetrics,
                                 ObservationTable& aTable,
                                 Random aRandom,
                                 Listener aListener)
  : loop(aLoop)
  , settings(aSettings)
  , metrics(aMetrics)
  , table(aTable)
  , random(aRandom)
  , listener(std::move(aListener))
  , client(aLoop, aMetrics)
{
}

void BackendObserver::Assign(const PlatformList& aList,
                             const std::map<ServerId, std::string>& aGroupOf,
                             const ObserverAssignment& aAssignment)
{
  std::map<ServerId, Target> assigned;
  for (const auto& server : aList.servers) {
    const auto group = aGroupOf.find(server.id);
    const auto& key = group == aGroupOf.end() ? server.id.Value() : group->second;
    if (!aAssignment.Observes(this->settings.self.id, key)) {
      continue;
    }
    Target target;
    target.endpoint = server.endpoint;
    const auto held = this->targets.find(server.id);
    if (held != this->targets.end() && held->second.endpoint == server.endpoint) {
      target = held->second;
    } else {
      // A random first poll spreads the load of many servers over the interval.
      target.nextPoll =
        BootClock::now() +
        FromSeconds(ToSeconds(this->settings.observeInterval) * this->random.Fraction());
    }
    assigned.emplace(server.id, target);
  }
  this->targets = std::move(assigned);
}

void BackendObserver::Tick(TimePoint aNow)
{
  for (auto& [server, target] : this->targets) {
    if (target.inFlight || target.nextPoll > aNow) {
      continue;
    }
    target.inFlight = true;
    target.nextPoll = aNow + this->settings.observeInterval;
    boost::asio::co_spawn(
      this->loop, this->Poll(server, target.endpoint), boost::asio::detached);
  }
}

void BackendObserver::Hurry(const ServerId& aServer)
{
  const auto found = this->targets.find(aServer);
  if (found != this->targets.end()) {
    found->second.nextPoll = TimePoint{};
  }
}

Task<> BackendObserver::Poll(ServerId aServer, Endpoint aEndpoint)
{
  HttpRequest request;
  request.target = "/state";
  HttpDeadlines deadlines;
  deadlines.connect = this->settings.observeTimeout;
  deadlines.head = this->settings.observeTimeout;
  deadlines.progress = this->settings.observeTimeout;
  const auto response = co_await this->client.Fetch(
    aEndpoint, std::move(request), deadlines, kMaximumStateBytes);
  const auto found = this->targets.find(aServer);
  if (found == this->targets.end() || found->second.endpoint != aEndpoint) {
    co_return;
  }
  found->second.inFlight = false;
  this->Handle(aServer, aEndpoint, response);
}

void BackendObserver::Handle(const ServerId& aServer,
                             const Endpoint& aEndpoint,
                             const Result<HttpResponse, HttpFailure>& aResponse)
{
  const auto now = BootClock::now();
  bool changed = false;
  if (!aResponse) {
    this->metrics.Count(std::string("observer_poll_failures_total{reason=\"") +
                        Name(aResponse.LastReason()) + "\"}");
    // The idle connection may have gone silent while new ones work (R68).
    this->client.DropIdle(aEndpoint);
    const bool refused = aResponse.LastReason() == HttpFailure::ConnectRefused;
    changed = this->table.RecordPollFailure(
      aServer, refused ? PollFailure::Refused : PollFailure::NoAnswer, now);
  } else if (const auto observation =
               ReadStateReport(aServer, aResponse->status, aResponse->body, now)) {
    this->metrics.Count("observer_polls_total");
    changed = this->table.RecordOwn(*observation, now);
  } else {
    this->metrics.Count("observer_poll_failures_total{reason=\"invalid\"}");
    changed = this->table.RecordPollFailure(aServer, PollFailure::NoAnswer, now);
  }
  if (changed) {
    this->listener();
  }
}

} // namespace toucanstand
