/// Prints the figures of docs/measurements/membership-and-configuration.md: messages,
/// bytes and processor time of the membership protocol per node and second, and the
/// number of probe rounds in which a configuration revision spreads from one node to all
/// others without the store.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <queue>
#include <vector>

#include <nlohmann/json.hpp>

#include "members/Membership.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLatency = 2ms;
constexpr Duration kTick = 50ms;
/// One message in this many is encoded to measure its size on the wire.
constexpr std::uint64_t kSamplingInterval = 8;

struct Totals
{
  std::uint64_t messages = 0;
  std::uint64_t sampledMessages = 0;
  std::uint64_t sampledBytes = 0;
  std::chrono::steady_clock::duration decisionTime{};
  std::chrono::steady_clock::duration encodingTime{};
};

/// Simulation on virtual time of nodes that all know each other at the start.
class Fleet
{
public:
  Fleet(std::size_t aNodes, std::size_t aMaximumProbes, std::uint64_t aSeed)
    : random(aSeed)
    , revisions(aNodes)
  {
    MembershipSettings settings;
    settings.maximumProbes = aMaximumProbes;
    for (std::size_t index = 0; index < aNodes; ++index) {
      this->vms.push_back({ VmId("entry-vm-" + std::to_string(index)),
                            ZoneId("colombo-a"),
                            { "10.0.0.1", static_cast<std::uint16_t>(1000 + index) } });
    }
    for (std::size_t index = 0; index < aNodes; ++index) {
      this->nodes.push_back(std::make_unique<Membership>(
        this->vms[index], settings, this->random, this->now));
      this->AddAllMembers(index);
      this->ticks.push(
        { this->now + FromSeconds(ToSeconds(kTick) * this->random.Fraction()), index });
    }
  }

  void Run(Duration aTime)
  {
    const auto end = this->now + aTime;
    while (this->now < end) {
      if (!this->inFlightMessages.empty() &&
          this->inFlightMessages.front().at <= this->ticks.top().at) {
        const auto inFlightMessage = std::move(this->inFlightMessages.front());
        this->inFlightMessages.pop();
        this->now = inFlightMessage.at;
        this->Deliver(inFlightMessage.to, *inFlightMessage.message);
      } else {
        const auto tick = this->ticks.top();
        this->ticks.pop();
        this->now = tick.at;
        this->RunNode(tick.node,
                      [&](Membership& aNode) { return aNode.Tick(this->now); });
        this->ticks.push({ tick.at + kTick, tick.node });
      }
    }
  }

  /// Returns the number of probe rounds until all nodes have a revision that one node
  /// received.
  double RoundsToSpreadRevision()
  {
    const auto start = this->now;
    const auto target = ++this->lastRevision;
    this->SetRevision(this->random.Below(this->nodes.size()), target);
    while (std::ranges::any_of(this->revisions,
                               [&](std::int64_t aHeld) { return aHeld < target; })) {
      this->Run(kTick);
    }
    return ToSeconds(this->now - start) / ToSeconds(MembershipSettings{}.probeInterval);
  }

  Totals totals;
  bool measuring = false;

private:
  struct InFlightMessage
  {
    TimePoint at;
    std::size_t to = 0;
    std::unique_ptr<MembershipMessage> message;
  };
  struct NextTick
  {
    TimePoint at;
    std::size_t node = 0;
    friend bool operator<(const NextTick& aLeft, const NextTick& aRight)
    {
      return aLeft.at > aRight.at;
    }
  };

  void AddAllMembers(std::size_t aIndex)
  {
    ProbeAck ack;
    ack.header.sender = this->vms[aIndex == 0 ? 1 : 0];
    ack.header.incarnation = 1;
    for (const auto& vm : this->vms) {
      ack.header.deltas.push_back({ vm, 1, MemberState::Alive, false });
    }
    static_cast<void>(this->nodes[aIndex]->Receive(ack, this->now));
  }

  template<typename Call>
  void RunNode(std::size_t aNode, const Call& aCall)
  {
    const auto before = std::chrono::steady_clock::now();
    const auto actions = aCall(*this->nodes[aNode]);
    if (this->measuring) {
      this->totals.decisionTime += std::chrono::steady_clock::now() - before;
    }
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<SendMessage>(&action)) {
        this->Send(*send);
      } else if (const auto* heard = std::get_if<PeerMessageReceived>(&action)) {
        if (heard->revision > this->revisions[aNode]) {
          this->SetRevision(aNode, heard->revision);
        }
      }
    }
  }

  void Deliver(std::size_t aNode, const MembershipMessage& aMessage)
  {
    this->RunNode(aNode, [&](Membership& aReceiver) {
      return aReceiver.Receive(aMessage, this->now);
    });
  }

  void SetRevision(std::size_t aNode, std::int64_t aRevision)
  {
    this->revisions[aNode] = aRevision;
    this->nodes[aNode]->SetConfiguration(aRevision, true);
  }

  void Send(const SendMessage& aSend)
  {
    if (this->measuring && ++this->totals.messages % kSamplingInterval == 0) {
      this->MeasureEncoding(aSend);
    }
    this->inFlightMessages.push({ this->now + kLatency,
                                  static_cast<std::size_t>(aSend.to.port - 1000),
                                  std::make_unique<MembershipMessage>(aSend.message) });
  }

  /// Encodes and decodes the message as sender and receiver do, and adds up time and
  /// size.
  void MeasureEncoding(const SendMessage& aSend)
  {
    using nlohmann::json;
    const auto before = std::chrono::steady_clock::now();
    const json envelope = { { "version", 1 },
                            { "type", TypeName(aSend.message) },
                            { "from", aSend.to.Text() },
                            { "correlation", 0U },
                            { "body",
                              json::parse(FormatMembershipMessage(aSend.message)) } };
    const auto bytes = json::to_msgpack(envelope);
    const auto read = json::from_msgpack(bytes);
    const auto message = ParseMembershipMessage(read.at("body").dump());
    this->totals.encodingTime += std::chrono::steady_clock::now() - before;
    this->totals.sampledBytes += message ? bytes.size() : 0;
    ++this->totals.sampledMessages;
  }

  Random random;
  TimePoint now{ 1h };
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<Membership>> nodes;
  std::vector<std::int64_t> revisions;
  std::int64_t lastRevision = 0;
  std::queue<InFlightMessage> inFlightMessages;
  std::priority_queue<NextTick> ticks;
};

void Measure(std::size_t aNodes, std::size_t aMaximumProbes)
{
  constexpr double kSeconds = 20;
  constexpr int kSpreads = 20;
  Fleet fleet(aNodes, aMaximumProbes, 1);
  fleet.Run(10s);
  fleet.measuring = true;
  fleet.Run(FromSeconds(kSeconds));
  fleet.measuring = false;
  const auto& totals = fleet.totals;
  const double perNode = kSeconds * static_cast<double>(aNodes);
  const double messages = static_cast<double>(totals.messages) / perNode;
  const auto sampled = static_cast<double>(totals.sampledMessages);
  const double bytes = static_cast<double>(totals.sampledBytes) / sampled;
  const double encodingNs =
    std::chrono::duration<double, std::nano>(totals.encodingTime).count();
  const double decisionNs =
    std::chrono::duration<double, std::nano>(totals.decisionTime).count();
  double sum = 0;
  double worst = 0;
  for (int spread = 0; spread < kSpreads; ++spread) {
    const double rounds = fleet.RoundsToSpreadRevision();
    sum += rounds;
    worst = std::max(worst, rounds);
  }
  std::printf("| %zu | %zu | %.1f | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f |\n",
              aNodes,
              aMaximumProbes,
              messages,
              bytes,
              messages * bytes / 1000,
              decisionNs / perNode / 1000,
              messages * encodingNs / sampled / 1000,
              sum / kSpreads,
              worst);
  std::fflush(stdout);
}

} // namespace

int main()
{
  std::puts(
    "| members | probes per round, at most | messages/s | bytes per message | kB/s | "
    "decisions, us/s | encoding, us/s | spread, rounds, mean | worst of 20 |");
  std::puts("|---|---|---|---|---|---|---|---|---|");
  constexpr std::size_t kDefaultProbes = 4;
  /// Enough probes to reach a majority of 770 members within the isolation limit.
  constexpr std::size_t kMajorityProbes = 25;
  for (const std::size_t nodes : { 10U, 50U, 200U, 770U }) {
    Measure(nodes, kDefaultProbes);
  }
  Measure(200, kMajorityProbes);
  Measure(770, kMajorityProbes);
  return 0;
}
