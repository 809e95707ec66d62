#include <algorithm>

#include <catch2/catch.hpp>

#include "control/GroupController.h"
#include "planning/GroupPlanner.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

/// A controller of a domain with one group of one engine, and a simulated store.
struct Harness
{
  explicit Harness(FencingSupport aFencing)
  {
    this->server.id = ServerId("a");
    this->server.pool = PoolId("p");
    this->server.domain = DomainId("d");
    this->server.fencing = aFencing;
    GroupControllerSettings settings;
    settings.domain = DomainId("d");
    settings.pools = { { PoolId("p"), 1, 1, 0 } };
    this->controller =
      std::make_unique<GroupController>(settings, std::make_unique<GroupPlanner>(), "c");
  }

  /// Passes an event to the controller and answers its reads and writes until it makes no
  /// more; returns the orders sent.
  std::vector<SendOrder> Send(const ControllerEvent& aEvent)
  {
    std::vector<SendOrder> orders;
    for (const auto& action : this->controller->Handle(aEvent, this->now)) {
      std::vector<SendOrder> more;
      if (const auto* read = std::get_if<ReadRecord>(&action)) {
        ++this->reads;
        this->confirmedAt = this->now;
        more = this->Send(
          RecordReadReply{ read->requestId, true, this->revision, this->text });
      } else if (const auto* write = std::get_if<WriteRecord>(&action)) {
        REQUIRE(write->expectedRevision == this->revision);
        this->text = write->text;
        ++this->revision;
        this->confirmedAt = this->now;
        const auto outcome =
          this->loseReplies ? WriteOutcome::Unknown : WriteOutcome::Committed;
        more = this->Send(WriteReply{ write->requestId, outcome, this->revision });
      } else if (const auto* order = std::get_if<SendOrder>(&action)) {
        CHECK(this->now - this->confirmedAt < 2s);
        CHECK(order->expiresAt == this->confirmedAt + 5s);
        more = { *order };
      } else {
        this->releasedLease = true;
      }
      orders.insert(orders.end(), more.begin(), more.end());
    }
    return orders;
  }

  /// Advances time in steps of one tick, each with a new observation; returns the orders
  /// sent.
  std::vector<SendOrder> Run(Duration aDuration)
  {
    std::vector<SendOrder> orders;
    for (const auto end = this->now + aDuration; this->now < end; this->now += 200ms) {
      Observation observation;
      observation.server = this->server.id;
      observation.reachable = true;
      observation.observedAt = this->now;
      for (const auto& event :
           { ControllerEvent(ObservationsChanged{ { this->server }, { observation } }),
             ControllerEvent(Tick{}) }) {
        const auto sent = this->Send(event);
        orders.insert(orders.end(), sent.begin(), sent.end());
      }
    }
    return orders;
  }

  BackendServer server;
  std::unique_ptr<GroupController> controller;
  TimePoint now{ 100s };
  std::string text;
  std::int64_t revision = 0;
  /// Time of the store's last reply.
  TimePoint confirmedAt{};
  int reads = 0;
  bool loseReplies = false;
  bool releasedLease = false;
};

} // namespace

TEST_CASE("An order is sent only after the record that holds it is committed", "[groups]")
{
  // Guards against orders that a later lease holder can't find in the record.
  Harness harness(FencingSupport::Checked);
  harness.Send(LeaseGained{});
  const auto orders = harness.Run(400ms);
  REQUIRE(orders.size() == 1);
  const auto record = ParseDomainRecord(harness.text, harness.revision);
  REQUIRE(record->orders.size() == 1);
  CHECK(orders[0].fence == record->orders[0].fence);
  CHECK(orders[0].fence == harness.revision);
}

TEST_CASE("Orders are retried only from a recently confirmed record", "[groups]")
{
  // Guards against a controller that lost the lease and keeps sending its old orders. The
  // harness checks the send time and the expiry of each order.
  Harness harness(FencingSupport::Checked);
  harness.Send(LeaseGained{});
  CHECK(harness.Run(8s).size() >= 6);
}

TEST_CASE("Servers that ignore fences get orders only after earlier orders expired",
          "[groups]")
{
  // Guards against an order of an earlier controller that arrives after the new one.
  Harness harness(FencingSupport::Ignored);
  harness.Send(LeaseGained{});
  CHECK(harness.Run(4800ms).empty());
  CHECK_FALSE(harness.Run(600ms).empty());
}

TEST_CASE("A write whose reply is lost is recognized by its nonce and not repeated",
          "[groups]")
{
  // Guards against forming the same group twice because the reply to the write was lost.
  Harness harness(FencingSupport::Checked);
  harness.loseReplies = true;
  harness.Send(LeaseGained{});
  const auto orders = harness.Run(400ms);
  CHECK(orders.size() == 1);
  CHECK(harness.revision == 2);
  CHECK(harness.controller->Counters().resolvedWrites == 2);
}

TEST_CASE("After a time gap no order is sent until the lease is acquired again",
          "[groups]")
{
  // Guards against a controller that acts after a pause on the state from before the
  // pause.
  Harness harness(FencingSupport::Checked);
  harness.Send(LeaseGained{});
  harness.Run(200ms);
  harness.now += 3s;
  const auto reads = harness.reads;
  CHECK(harness.Run(3s).empty());
  CHECK(harness.releasedLease);
  harness.Send(LeaseGained{});
  CHECK(harness.reads == reads + 1);
  CHECK_FALSE(harness.Run(400ms).empty());
}

TEST_CASE("A stale reply leads to an order with a higher fence", "[groups]")
{
  // Guards against a group that never forms because the fencing token of its orders is
  // too low.
  Harness harness(FencingSupport::Checked);
  harness.Send(LeaseGained{});
  const auto first = harness.Run(400ms);
  REQUIRE(first.size() == 1);
  const auto second =
    harness.Send(OrderReply{ ServerId("a"), first[0].fence, OrderOutcome::Stale });
  REQUIRE_FALSE(second.empty());
  CHECK(second[0].fence > first[0].fence);
}
