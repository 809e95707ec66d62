#include "FakeNode.h"

#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "crashes/SuspectMessages.h"
#include "messages/MessagePort.h"
#include "observation/WorldViewText.h"

namespace toucanstand {

namespace {

constexpr auto kInterval = std::chrono::milliseconds(50);
constexpr Duration kPermission = std::chrono::seconds(2);

} // namespace

class FakeNode::Implementation
{
public:
  explicit Implementation(std::string aConfiguration)
    : port(this->loop, this->metrics)
    , timer(this->loop)
    , arbiter(this->quarantine)
    , configuration(std::move(aConfiguration))
  {
    this->address = *this->port.Listen(
      { "127.0.0.1", 0 }, [this](const Message& aMessage) { this->OnMessage(aMessage); });
    this->SendView();
    this->thread = std::thread([this] { this->loop.run(); });
  }

  ~Implementation()
  {
    boost::asio::post(this->loop, [this] { this->loop.stop(); });
    this->thread.join();
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void SetView(WorldView aView)
  {
    boost::asio::post(this->loop, [this, view = std::move(aView)] { this->view = view; });
  }

  Endpoint address;

private:
  void OnMessage(const Message& aMessage)
  {
    const auto now = BootClock::now();
    if (aMessage.type == "subscribe") {
      this->subscribers.insert(aMessage.from);
      this->port.Send(
        aMessage.from, "configuration", { { "text", this->configuration } });
    } else if (aMessage.type == "suspects") {
      for (const auto& delta : SuspectsFromJson(aMessage.body)) {
        this->quarantine.Merge(delta, now);
      }
      for (const auto& subscriber : this->subscribers) {
        this->port.Send(subscriber, "suspects", aMessage.body);
      }
    } else if (const auto ask = RunGrantRequestFromJson(aMessage.body)) {
      const auto grant = this->arbiter.OnGrantRequested(
        ask->request, ask->known, ask->server, ask->maxDuration, now);
      this->port.Send(aMessage.from, "run-grant", ToJson(grant), aMessage.correlation);
    } else if (const auto ended = RunEndedFromJson(aMessage.body)) {
      this->arbiter.OnRunEnded(ended->request, ended->known, now);
    }
  }

  void SendView()
  {
    const auto now = BootClock::now();
    for (auto& candidate : this->view.candidates) {
      candidate.usableUntil = now + kPermission;
      candidate.load.receivedAt = now;
      ++candidate.load.sequence;
    }
    this->view.liveEntryVms = { Vm{ VmId("vm-1"), ZoneId("z"), this->address } };
    for (const auto& subscriber : this->subscribers) {
      this->port.Send(subscriber, "world", WorldViewToJson(this->view, now));
    }
    this->timer.expires_after(kInterval);
    this->timer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        this->SendView();
      }
    });
  }

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  MessagePort port;
  boost::asio::steady_timer timer;
  CrashQuarantine quarantine;
  SuspectArbiter arbiter;
  std::string configuration;
  WorldView view;
  std::set<Endpoint> subscribers;
  std::thread thread;
};

FakeNode::FakeNode(std::string aConfiguration)
  : implementation(std::make_unique<Implementation>(std::move(aConfiguration)))
{
}

FakeNode::~FakeNode() = default;

Endpoint FakeNode::Address() const
{
  return this->implementation->address;
}

void FakeNode::SetView(WorldView aView)
{
  this->implementation->SetView(std::move(aView));
}

} // namespace toucanstand
