#include <csignal>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "messages/ClaimMessages.h"
#include "messages/MessagePort.h"
#include "support/FakeNode.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/SettingsFile.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const AccountId kAccount("kelani");

/// A ledger process whose store calls are retried quickly.
struct Ledger
{
  Ledger(const std::string& aVm, const Endpoint& aStore, const FakeNode& aNode)
    : settings({ { "id", aVm },
                 { "operator", "127.0.0.1:0" },
                 { "messages", "127.0.0.1:0" },
                 { "node", aNode.Address().Text() },
                 { "store",
                   { { "address", aStore.Text() },
                     { "timeout_ms", 300 },
                     { "calls_per_second", 1000 } } },
                 { "retry_wait_ms", 10 },
                 { "longest_retry_wait_ms", 50 },
                 { "seed", 7 } })
    , process("toucanstand-ledger", { this->settings.Option() })
    , messages(process.ReadEndpoint("messages"))
    , operators(process.ReadEndpoint("operator"))
  {
  }

  SettingsFile settings;
  ProcessLauncher process;
  Endpoint messages;
  Endpoint operators;
};

/// A store, and an entry process as far as the ledgers see one.
struct Fixture
{
  Fixture()
    : store("standin-store", { "--listen=127.0.0.1:0" })
    , storeEndpoint(store.ReadEndpoint())
    , node("{}")
    , port(loop, metrics)
  {
    REQUIRE(this->port.Listen({ "127.0.0.1", 0 }, [this](const Message& aMessage) {
      if (auto reply = ClaimReplyFromJson(aMessage.body)) {
        this->replies[reply->nonce] = *reply;
      } else if (const auto ended = OutcomeReplyFromJson(aMessage.body)) {
        this->recorded[ended->nonce] = ended->recorded;
      }
    }));
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = BootClock::now() + 10s;
    while (!aCondition()) {
      REQUIRE(BootClock::now() < deadline);
      this->loop.restart();
      this->loop.run_one_for(100ms);
    }
  }

  ClaimReplyMessage Claim(const Ledger& aLedger,
                          const std::string& aKey,
                          const std::string& aFingerprint = "body")
  {
    this->nonce = "nonce-" + std::to_string(++this->claims);
    this->key = aKey;
    this->port.Send(aLedger.messages,
                    "claim",
                    ToJson(ClaimMessage{ kAccount, aKey, aFingerprint, this->nonce }));
    this->RunUntil([this] { return this->replies.contains(this->nonce); });
    return this->replies.at(this->nonce);
  }

  /// Reports the outcome of the last claim. @returns whether it was recorded
  bool Report(const Ledger& aLedger, ClaimOutcome aOutcome)
  {
    this->port.Send(aLedger.messages,
                    "outcome",
                    ToJson(OutcomeMessage{
                      this->nonce, aOutcome, 201, "created", kAccount, this->key }));
    this->RunUntil([this] { return this->recorded.contains(this->nonce); });
    return this->recorded.at(this->nonce);
  }

  void Fault(const std::string& aFault)
  {
    this->caller.Json(this->storeEndpoint, "POST", "/fault", aFault);
  }

  HttpCaller caller;
  ProcessLauncher store;
  Endpoint storeEndpoint;
  FakeNode node;
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  MessagePort port;
  std::map<std::string, ClaimReplyMessage> replies;
  std::map<std::string, bool> recorded;
  /// Of the last claim.
  std::string nonce;
  std::string key;
  int claims = 0;
};

} // namespace

TEST_CASE("A key claimed at one VM is answered at all others", "[ledger]")
{
  // Guards against a second execution when the caller's retry reaches another VM (R5).
  Fixture fixture;
  const Ledger first("vm-1", fixture.storeEndpoint, fixture.node);
  const Ledger second("vm-2", fixture.storeEndpoint, fixture.node);
  REQUIRE(fixture.Claim(first, "k").answer == ClaimAnswer::Granted);
  const std::string granted = fixture.nonce;
  CHECK(fixture.Claim(second, "k").answer == ClaimAnswer::InProgress);
  CHECK(fixture.Claim(second, "k", "other body").answer == ClaimAnswer::KeyReused);
  fixture.nonce = granted;
  REQUIRE(fixture.Report(first, ClaimOutcome::Answered));
  const auto stored = fixture.Claim(second, "k");
  CHECK(stored.answer == ClaimAnswer::StoredAnswer);
  CHECK(stored.status == 201);
  CHECK(stored.body == "created");

  REQUIRE(fixture.Claim(first, "released").answer == ClaimAnswer::Granted);
  REQUIRE(fixture.Report(first, ClaimOutcome::NotRun));
  CHECK(fixture.Claim(second, "released").answer == ClaimAnswer::Granted);
}

TEST_CASE("Claims survive lost replies of the store and refuse during its outage",
          "[ledger]")
{
  // Guards against a claim that blocks its key because the reply of its write was lost
  // (R64), and against calls that hang while the store is down (R63).
  Fixture fixture;
  const Ledger ledger("vm-1", fixture.storeEndpoint, fixture.node);
  REQUIRE(fixture.Claim(ledger, "warm").answer == ClaimAnswer::Granted);
  REQUIRE(fixture.Report(ledger, ClaimOutcome::Unknown));
  CHECK(fixture.Claim(ledger, "warm").answer == ClaimAnswer::OutcomeUnknown);

  fixture.Fault(R"({"drop_reply_after_effect":1})");
  CHECK(fixture.Claim(ledger, "k").answer == ClaimAnswer::Granted);
  fixture.Fault(R"({"drop_reply_after_effect":1})");
  CHECK(fixture.Report(ledger, ClaimOutcome::Answered));
  CHECK(fixture.Claim(ledger, "k").answer == ClaimAnswer::StoredAnswer);

  fixture.Fault(R"({"down":true})");
  CHECK(fixture.Claim(ledger, "outage").answer == ClaimAnswer::StoreDown);
  fixture.Fault(R"({"down":false})");
  fixture.caller.WaitFor(ledger.operators, "/state", [](const json& aState) {
    return aState["state"]["claims"]["open"] == 0;
  });
  CHECK(fixture.Claim(ledger, "outage").answer == ClaimAnswer::Granted);
}

TEST_CASE("After the ledger is killed, its open claims answer outcome unknown",
          "[ledger]")
{
  // Guards against "in progress" without end, and against a second execution, when the
  // process that granted a claim is gone.
  Fixture fixture;
  std::optional<Ledger> first;
  first.emplace("vm-1", fixture.storeEndpoint, fixture.node);
  REQUIRE(fixture.Claim(*first, "k").answer == ClaimAnswer::Granted);
  first->process.Signal(SIGKILL);
  first->process.Wait();
  const Ledger again("vm-1", fixture.storeEndpoint, fixture.node);
  const std::string granted = fixture.nonce;
  CHECK(fixture.Claim(again, "k").answer == ClaimAnswer::OutcomeUnknown);
  fixture.nonce = granted;
  CHECK(fixture.Report(again, ClaimOutcome::Answered));
  CHECK(fixture.Claim(again, "k").answer == ClaimAnswer::StoredAnswer);
}

TEST_CASE("A stopping ledger waits for the outcomes of granted calls", "[ledger]")
{
  // Guards against losing the outcome of a call in flight in a planned stop (R7), and
  // against an idle process that doesn't end.
  Fixture fixture;
  Ledger ledger("vm-1", fixture.storeEndpoint, fixture.node);
  REQUIRE(fixture.Claim(ledger, "k").answer == ClaimAnswer::Granted);
  const std::string granted = fixture.nonce;
  ledger.process.Signal(SIGTERM);
  fixture.caller.WaitFor(ledger.operators, "/state", [](const json& aState) {
    return aState["state"]["draining"] == true;
  });
  CHECK(fixture.Claim(ledger, "new").answer == ClaimAnswer::StoreDown);
  fixture.nonce = granted;
  CHECK(fixture.Report(ledger, ClaimOutcome::Answered));
  CHECK(ledger.process.Wait() == 0);
}
