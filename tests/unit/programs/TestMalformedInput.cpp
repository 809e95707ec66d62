#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "EntrySettings.h"
#include "EventStreamReader.h"
#include "GroupsSettings.h"
#include "LedgerSettings.h"
#include "Mutations.h"
#include "NodeSettings.h"
#include "claims/ClaimRecord.h"
#include "crashes/SuspectMessages.h"
#include "document/ConfigurationText.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "machines/PlatformList.h"
#include "messages/ClaimMessages.h"
#include "messages/MembershipMessageText.h"
#include "messages/MessagePort.h"
#include "observation/WorldViewText.h"
#include "records/DomainRecord.h"
#include "serialization/BoundedJson.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr int kMutationsPerInput = 1500;
constexpr TimePoint kNow{ 1000s };

/// A parser under test and an input that it accepts.
struct ParserCase
{
  const char* name;
  std::string valid;
  std::function<bool(const std::string&)> parse;
};

template<typename ParseFunction>
std::function<bool(const std::string&)> JsonParser(ParseFunction aParse)
{
  return [aParse](const std::string& aText) {
    const auto document = DecodeJson(aText);
    return document && static_cast<bool>(aParse(*document));
  };
}

/// Case for a parser of a message body. Bodies are sent as MessagePack, which unlike JSON
/// text may contain binary values and strings that are not UTF-8.
template<typename ParseFunction>
ParserCase MessageBodyCase(const char* aName,
                           const nlohmann::json& aBody,
                           ParseFunction aParse)
{
  const auto bytes = nlohmann::json::to_msgpack(aBody);
  return { aName,
           std::string(bytes.begin(), bytes.end()),
           [aParse](const std::string& aText) {
             const auto document = DecodeMessagePack(
               { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() });
             return document && static_cast<bool>(aParse(*document));
           } };
}

template<typename ParseFunction>
std::function<bool(const std::string&)> SettingsParser(ParseFunction aParse)
{
  return JsonParser([aParse](const nlohmann::json& aDocument) {
    SettingsReader reader(aDocument);
    (void)aParse(reader);
    reader.Finish();
    return reader.Errors().empty();
  });
}

std::vector<ParserCase> MessageCases()
{
  WorldView view;
  view.candidates.emplace_back();
  view.candidates.back().endpoint = { "127.0.0.1", 9100 };
  view.candidates.back().members = { ServerId("a") };
  view.quarantine.push_back({ 7, kNow + 60s });
  Observation observation;
  observation.server = ServerId("a");
  Probe probe;
  probe.header.sender = { VmId("vm-1"), ZoneId("z"), { "127.0.0.1", 9000 } };
  probe.header.incarnation = 1;
  const SuspectDelta delta{ 7, { { ServerId("a"), 0 } }, {}, 60s };
  const auto parseAtNow = [](auto* aParse) {
    return [aParse](const nlohmann::json& aBody) { return aParse(aBody, kNow); };
  };
  const auto membership = [](const std::string& aText) {
    return bool(ParseMembershipMessage(aText));
  };
  const auto suspects = [](const nlohmann::json& aBody) {
    return !SuspectsFromJson(aBody).empty();
  };
  const ClaimMessage claim{ AccountId("a"), "k", std::string(32, 'f'), "n" };
  const ClaimReplyMessage claimReply{ "n", ClaimAnswer::StoredAnswer, 200, "b", false };
  const OutcomeMessage outcome{ "n", ClaimOutcome::Answered, 200, "b" };
  const RunGrantRequest ask{ RequestId("r"), delta, ServerId("a"), 1s };
  const RunEndedMessage ended{ RequestId("r"), delta };
  return {
    { "membership", FormatMembershipMessage(probe), membership },
    { "world text",
      WorldViewToJson(view, kNow).dump(),
      JsonParser(parseAtNow(&WorldViewFromJson)) },
    { "suspect text", ToJson(delta).dump(), JsonParser(&SuspectDeltaFromJson) },
    { "claim text", ToJson(claim).dump(), JsonParser(&ClaimFromJson) },
    MessageBodyCase("world", WorldViewToJson(view, kNow), parseAtNow(&WorldViewFromJson)),
    MessageBodyCase("observation",
                    ObservationToJson(observation, kNow),
                    parseAtNow(&ObservationFromJson)),
    MessageBodyCase("claim", ToJson(claim), &ClaimFromJson),
    MessageBodyCase("claim-reply", ToJson(claimReply), &ClaimReplyFromJson),
    MessageBodyCase("outcome", ToJson(outcome), &OutcomeFromJson),
    MessageBodyCase(
      "outcome-reply", ToJson(OutcomeReplyMessage{ "n", true }), &OutcomeReplyFromJson),
    MessageBodyCase("suspect", ToJson(delta), &SuspectDeltaFromJson),
    MessageBodyCase("suspects", SuspectsToJson({ delta }), suspects),
    MessageBodyCase("run-ask", ToJson(ask), &RunGrantRequestFromJson),
    MessageBodyCase("run-ended", ToJson(ended), &RunEndedFromJson),
  };
}

std::vector<ParserCase> RecordCases()
{
  ClaimRecord claim;
  claim.account = AccountId("a");
  claim.key = "k";
  claim.fingerprint = std::string(32, 'f');
  claim.nonce = "n";
  claim.owner = VmId("vm-1");
  claim.Finish(200, "body");
  DomainRecord domain;
  domain.domain = DomainId("d");
  domain.controller = "c";
  domain.writeNumber = 1;
  return {
    { "claim record",
      FormatClaimRecord(claim),
      [](const std::string& aText) { return bool(ParseClaimRecord(aText)); } },
    { "domain record",
      FormatDomainRecord(domain),
      [](const std::string& aText) { return bool(ParseDomainRecord(aText, 1)); } },
    { "platform list",
      R"({"entry_vms":[{"id":"a","zone":"z","node":"127.0.0.1:1"}]})",
      [](const std::string& aText) { return bool(ParsePlatformList(aText, 1)); } },
    { "configuration",
      R"({"revision":4,"author":"a","nonce":"n","defaults":{"contracts":[{"name":"c",
          "pathPrefix":"/c","pool":"p","timeoutMs":20000,"notRunStatuses":[503]}]},
          "exceptions":[{"scope":{"kind":"contract","name":"c"},"reason":"r",
          "set":{"timeoutMs":60000}}]})",
      [](const std::string& aText) { return bool(ParseConfiguration(aText)); } },
    { "entry settings",
      R"({"id":"a","zone":"z","listen":"127.0.0.1:1","operator":"127.0.0.1:2",
          "messages":"127.0.0.1:3","node":"127.0.0.1:4","ledger":"127.0.0.1:5",
          "limits":{"body_bytes":100},"progress":{"first_ms":100},"seed":3})",
      SettingsParser(&ReadEntrySettings) },
    { "node settings",
      R"({"id":"a","zone":"z","node":"127.0.0.1:1","operator":"127.0.0.1:2",
          "store":"127.0.0.1:3","seeds":[{"id":"b","zone":"z","node":"127.0.0.1:4"}]})",
      SettingsParser(&ReadNodeSettings) },
    { "groups settings",
      R"({"id":"a","operator":"127.0.0.1:2","store":"127.0.0.1:3","domains":["d"],
          "pools":[{"pool":"p","group_size":2,"groups_per_domain":2}]})",
      SettingsParser(&ReadGroupsSettings) },
    { "ledger settings",
      R"({"id":"a","operator":"127.0.0.1:2","messages":"127.0.0.1:3",
          "node":"127.0.0.1:4","store":{"address":"127.0.0.1:5"}})",
      SettingsParser(&ReadLedgerSettings) },
  };
}

} // namespace

TEST_CASE("Malformed input makes no parser throw or crash", "[malformed]")
{
  // Guards against an exception that escapes from a message or request handler and
  // terminates the process.
  auto cases = MessageCases();
  std::ranges::move(RecordCases(), std::back_inserter(cases));
  for (const auto& parserCase : cases) {
    INFO(parserCase.name);
    CHECK(parserCase.parse(parserCase.valid));
    for (std::uint64_t seed = 0; seed < kMutationsPerInput; ++seed) {
      Random random(seed);
      const auto text = Mutate(parserCase.valid, random);
      try {
        (void)parserCase.parse(text);
      } catch (const std::exception& error) {
        FAIL("seed " << seed << ": " << error.what() << " for " << text);
      }
    }
  }
}

TEST_CASE("A notice whose key is not valid UTF-8 can still be forwarded", "[malformed]")
{
  // Guards against an externally supplied name that terminates the node when it
  // serializes its next probe.
  Probe probe;
  probe.header.notices.push_back({ NoticeKind::LeavingServer, "a\xff", 60s });
  CHECK_NOTHROW(FormatMembershipMessage(probe));
}

TEST_CASE("The message port survives malformed messages and delivers the next valid one",
          "[malformed]")
{
  // Guards against malformed messages that terminate the process or block later messages.
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  MessagePort port(loop, metrics);
  bool arrived = false;
  const auto address = *port.Listen({ "127.0.0.1", 0 }, [&](const Message& aMessage) {
    arrived = arrived || aMessage.type == "last";
  });
  const auto encode = [](const char* aType) {
    const auto bytes = nlohmann::json::to_msgpack({ { "version", 1 },
                                                    { "type", aType },
                                                    { "from", "127.0.0.1:1" },
                                                    { "correlation", 17 },
                                                    { "body", { { "a", 1 } } } });
    return std::string(bytes.begin(), bytes.end());
  };
  nng_socket hostile{};
  REQUIRE(nng_push0_open(&hostile) == 0);
  REQUIRE(nng_dial(hostile, ("tcp://" + address.Text()).c_str(), nullptr, 0) == 0);
  for (std::uint64_t seed = 0; seed < kMutationsPerInput; ++seed) {
    Random random(seed);
    auto bytes = Mutate(encode("probe"), random);
    REQUIRE(nng_send(hostile, bytes.data(), bytes.size(), 0) == 0);
    loop.poll();
  }
  auto last = encode("last");
  REQUIRE(nng_send(hostile, last.data(), last.size(), 0) == 0);
  const auto deadline = BootClock::now() + 20s;
  while (!arrived && BootClock::now() < deadline) {
    loop.run_one_for(100ms);
  }
  CHECK(arrived);
  CHECK(metrics.CounterValue("messages_rejected_total{reason=\"malformed\"}") > 0);
  nng_close(hostile);
}

TEST_CASE("The HTTP server still answers after malformed requests", "[malformed]")
{
  // Guards against malformed requests that terminate the process or keep a connection
  // open forever.
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  HttpServerLimits limits;
  limits.requestTimeout = 200ms;
  HttpServer server(
    loop,
    limits,
    [](HttpExchange& aExchange) -> Task<> {
      const auto response = JsonResponse(200, "{}");
      co_await aExchange.Respond(response);
    },
    metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  const std::string valid = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                            "Request-Timeout-Ms: 100\r\n\r\nbody";
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    Random random(seed);
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(Mutate(valid, random)), ignored);
    for (int step = 0; step < 4; ++step) {
      loop.run_one_for(1ms);
    }
  }
  bool answered = false;
  HttpClient client(loop, metrics);
  boost::asio::co_spawn(
    loop,
    [&]() -> Task<> {
      const HttpDeadlines deadlines;
      const HttpRequest request;
      const auto response = co_await client.Fetch(endpoint, request, deadlines);
      answered = response && response->status == 200;
      loop.stop();
    },
    boost::asio::detached);
  loop.run_for(20s);
  CHECK(answered);
  CHECK(metrics.CounterValue("http_handler_exceptions_total") == 0);
  server.Abort();
}

TEST_CASE("The event stream reader limits the size of malformed events", "[malformed]")
{
  // Guards against an engine that makes the entry process buffer an event without limit.
  EventStreamReader unterminatedReader;
  bool accepted = true;
  for (int chunk = 0; accepted && chunk < 100; ++chunk) {
    accepted =
      unterminatedReader.Feed(std::string(64U << 10U, 'x'), [](std::string_view) {});
  }
  CHECK_FALSE(accepted);
  for (std::uint64_t seed = 0; seed < kMutationsPerInput; ++seed) {
    Random random(seed);
    EventStreamReader reader;
    const auto text = Mutate("data: {\"index\":1}\r\n\r\ndata: [DONE]\n\n", random);
    std::size_t deliveredBytes = 0;
    for (const char byte : text) {
      REQUIRE(reader.Feed(std::string_view(&byte, 1), [&](std::string_view aData) {
        deliveredBytes += aData.size();
      }));
    }
    CHECK(deliveredBytes <= text.size());
  }
}
