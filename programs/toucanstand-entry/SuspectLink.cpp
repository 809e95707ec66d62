#include "SuspectLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "crashes/SuspectMessages.h"

namespace toucanstand {

namespace {

constexpr auto kAskTimeout = std::chrono::milliseconds(500);

} // namespace

struct SuspectLink::Waiter
{
  explicit Waiter(boost::asio::io_context& aLoop)
    : timer(aLoop, kAskTimeout)
  {
  }
  boost::asio::steady_timer timer;
  RunGrant grant = RunGrant::Wait;
};

SuspectLink::SuspectLink(boost::asio::io_context& aLoop,
                         MessagePort& aPort,
                         Endpoint aNode)
  : loop(aLoop)
  , port(aPort)
  , node(std::move(aNode))
{
}

void SuspectLink::Publish(CrashQuarantine& aQuarantine, TimePoint aNow)
{
  const auto deltas = aQuarantine.TakeDeltas(aNow);
  if (!deltas.empty()) {
    this->port.Send(this->node, "suspects", SuspectsToJson(deltas));
  }
}

Task<RunGrant> SuspectLink::Ask(const RequestId& aRequest,
                                const SuspectDelta& aKnown,
                                const ServerId& aServer,
                                Duration aLongest,
                                const Endpoint& aArbiter)
{
  const auto correlation = this->nextCorrelation++;
  const auto waiter = std::make_shared<Waiter>(this->loop);
  this->waiters[correlation] = waiter;
  RunGrantRequest ask;
  ask.request = aRequest;
  ask.known = aKnown;
  ask.server = aServer;
  ask.maxDuration = aLongest;
  this->port.Send(aArbiter, "run-ask", ToJson(ask), correlation);
  co_await waiter->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  this->waiters.erase(correlation);
  co_return waiter->grant;
}

void SuspectLink::ReportRunEnded(const RequestId& aRequest,
                                 const SuspectDelta& aKnown,
                                 const Endpoint& aArbiter)
{
  RunEndedMessage ended;
  ended.request = aRequest;
  ended.known = aKnown;
  this->port.Send(aArbiter, "run-ended", ToJson(ended));
}

bool SuspectLink::OnMessage(const Message& aMessage,
                            CrashQuarantine& aQuarantine,
                            TimePoint aNow)
{
  if (aMessage.type == "suspects") {
    for (const auto& delta : SuspectsFromJson(aMessage.body)) {
      aQuarantine.Merge(delta, aNow);
    }
    return true;
  }
  if (aMessage.type != "run-grant") {
    return false;
  }
  const auto found = this->waiters.find(aMessage.correlation);
  const auto grant = RunGrantFromJson(aMessage.body);
  if (found != this->waiters.end() && grant) {
    found->second->grant = *grant;
    found->second->timer.cancel();
  }
  return true;
}

} // namespace toucanstand
