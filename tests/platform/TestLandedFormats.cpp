#include <chrono>
#include <regex>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peers/PeerReport.h"
#include "peers/Presence.h"
#include "store/ChangeRelay.h"
#include "support/FakePeer.h"
#include "support/PlatformStandin.h"
#include "support/RecordedFormats.h"

using namespace toucanstand;
using nlohmann::json;

// What the present build and the landed ones write to one another; docs/upgrades.md has
// the table of formats.

namespace {

/// The landed build whose datagrams have the present version.
constexpr auto kSameVersion = "23d25d8";
/// The landed build whose datagrams have the version before.
constexpr auto kVersionBefore = "2e1d116";
constexpr std::uint64_t kDatagramVersion = 5;
constexpr auto kPresencePrefix = "toucanstand/vms/";
constexpr auto kLeaderKey = "toucanstand/leader";
constexpr auto kPromptPartPrefix = "toucanstand/crashing-prompt-parts/";
constexpr std::size_t kMaxWholeAnswerBytes = 4U << 20U;

/// Decodes and encodes again.
std::vector<std::uint8_t> Rewrite(const std::vector<std::uint8_t>& aBytes)
{
  const auto datagram = DecodeDatagram(aBytes, kMaxWholeAnswerBytes);
  REQUIRE(datagram.HasValue());
  if (datagram->kind == DatagramKind::LoadReport) {
    const auto report = DecodePeerReport(datagram->fields);
    REQUIRE(report.HasValue());
    return EncodePeerReport(*report);
  }
  if (datagram->kind == DatagramKind::ChangeQuery) {
    const auto query = DecodeChangeQuery(datagram->fields);
    REQUIRE(query.HasValue());
    return EncodeChangeQuery(*query);
  }
  const auto answer = DecodeChangeAnswer(datagram->fields);
  REQUIRE(answer.HasValue());
  return EncodeWholeAnswer(*answer);
}

PeerReport FullReport()
{
  PeerReport report;
  report.sender = VmId("vm-1");
  report.runNumber = 9;
  report.sequence = 7;
  report.loads = { { "m0-12", 2, 1500, 11 } };
  report.suspectedGroups = { "m1-3" };
  report.quarantinedFingerprints = { 42 };
  report.demand = { { "m0", 3.25 } };
  report.learnedOverheads = { { "m0", { 0.12, 5 } } };
  report.crashes = { { "server-1", 0.25, { 0xab } } };
  report.survivals = { { 0xab, 1.5 } };
  report.quarantinedParts = { 0xcd };
  report.rateLimits = { { "server-1", 3.4, 0.5 }, { "server-2", std::nullopt, 1.0 } };
  return report;
}

/// `u` for a number of 0 or more, `n` for any number, `t` for text, `b` for a truth
/// value, `y` for bytes, and the items of a list in brackets.
std::string ShapeOf(const json& aValue)
{
  if (aValue.is_array()) {
    std::string shape = "[";
    for (const auto& item : aValue) {
      shape += ShapeOf(item);
    }
    return shape + "]";
  }
  if (aValue.is_number_unsigned()) {
    return "u";
  }
  if (aValue.is_number()) {
    return "n";
  }
  if (aValue.is_string()) {
    return "t";
  }
  return aValue.is_boolean() ? "b" : aValue.is_binary() ? "y" : "?";
}

std::string ShapeOf(const std::vector<std::uint8_t>& aBytes)
{
  return ShapeOf(json::from_msgpack(aBytes));
}

double CounterOf(ServerUnderTest& aServer, const std::string& aName)
{
  const auto metrics = aServer.caller.Call(aServer.operatorEndpoint, "GET", "/metrics");
  REQUIRE(metrics.HasValue());
  const auto line = "toucanstand_" + aName + " ";
  const auto found = metrics->body.find(line);
  return found == std::string::npos
           ? 0
           : std::stod(metrics->body.substr(found + line.size()));
}

json StateOf(ServerUnderTest& aServer)
{
  return aServer.caller.Json(aServer.operatorEndpoint, "GET", "/state").at("state");
}

std::map<std::string, std::string> OwnRecords(PlatformStandin& aPlatform)
{
  std::map<std::string, std::string> records;
  aPlatform.RunOnLoop([&] { records = aPlatform.Store().Records("toucanstand/"); });
  return records;
}

} // namespace

TEST_CASE(
  "Datagrams of a landed build with the present version are read and written alike",
  "[landed]")
{
  // Guards against VMs that ignore one another, or read other values, while a fleet is
  // upgraded.
  const auto recorded = RecordedFormats::Read(kSameVersion);
  for (const auto* kind :
       { "load_report", "aggregate", "change_query", "change_answer" }) {
    INFO(kind);
    CHECK(recorded.CountOf(kind) > 0);
  }
  for (const auto& datagram : recorded.datagrams) {
    INFO(datagram.kind << " " << BytesToHexadecimal(datagram.bytes));
    CHECK(Rewrite(datagram.bytes) == datagram.bytes);
  }
  CHECK(Rewrite(recorded.wholeAnswer) == recorded.wholeAnswer);
}

TEST_CASE("Datagrams of a landed build with another version are refused by name",
          "[landed]")
{
  // Guards against revisions without a history that are taken for revisions with one.
  const auto recorded = RecordedFormats::Read(kVersionBefore);
  for (const auto* kind :
       { "load_report", "aggregate", "change_query", "change_answer" }) {
    INFO(kind);
    CHECK(recorded.CountOf(kind) > 0);
  }
  for (const auto& datagram : recorded.datagrams) {
    INFO(datagram.kind << " " << BytesToHexadecimal(datagram.bytes));
    CHECK(DecodeDatagram(datagram.bytes).LastReason() == DatagramFailure::OtherVersion);
  }
  CHECK(DecodeDatagram(recorded.wholeAnswer, kMaxWholeAnswerBytes).LastReason() ==
        DatagramFailure::OtherVersion);
}

TEST_CASE("Datagrams have the fields that the landed builds demand", "[landed]")
{
  // Guards against a field that is appended, removed or of another type under the version
  // of 23d25d8, which demands exactly these.
  CHECK(ShapeOf(EncodePeerReport(FullReport())) ==
        "[uu[tuuu[[tuuu]][t][u][[tn]][[tnn]][[tn[u]]][[un]][u][[t[n]n][t[]n]]]]");
  CHECK(ShapeOf(EncodeChangeQuery({ 9, 55 })) == "[uu[uu]]");
  ChangeAnswer answer;
  answer.known = true;
  answer.changes.at = 120;
  answer.changes.changes = { { "key-a", "value", 118 }, { "key-b", std::nullopt, 119 } };
  CHECK(ShapeOf(EncodeChangeAnswer(answer)) == "[uu[ubuuub[[tu[y]][tu[]]]]]");
  CHECK(ShapeOf(EncodeWholeAnswer(answer)) == "[uu[ubuuub[[tu[y]][tu[]]]]]");
  CHECK(json::from_msgpack(EncodePeerReport(FullReport()))[0] == kDatagramVersion);
  CHECK(json::from_msgpack(EncodeChangeQuery({ 9, 55 }))[0] == kDatagramVersion);
  CHECK(json::from_msgpack(EncodeChangeAnswer(answer))[0] == kDatagramVersion);
}

TEST_CASE("Records of the store have the form that the landed builds demand", "[landed]")
{
  // Guards against VMs of a landed build that take no VM of this one for a peer, or see
  // no leader.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  FakePeer peer;
  auto report = FullReport();
  report.sender = VmId("vm-2");
  peer.Send(EncodePeerReport(report), server.peerEndpoint);
  const auto key = std::string(kPromptPartPrefix) + "cd";
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!OwnRecords(platform).contains(key) &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const std::regex presence(R"(\d+\.\d+\.\d+\.\d+:\d+ \d+\.\d{3})");
  const std::regex leader(R"(vm-1[^/]*/[1-9]\d*)");
  const auto records = OwnRecords(platform);
  CHECK(records.size() == 3);
  for (const auto& [name, value] : records) {
    INFO(name << " " << value);
    if (name == kLeaderKey) {
      CHECK(std::regex_match(value, leader));
    } else if (name.starts_with(kPresencePrefix)) {
      CHECK(std::regex_match(value, presence));
    } else {
      CHECK(name == key);
    }
  }
}

TEST_CASE("A process serves beside VMs of the landed builds", "[landed]")
{
  // Guards against a process that ends at what they write, takes their leader for none,
  // or leaves their records out.
  for (const auto* commit : { kSameVersion, kVersionBefore }) {
    INFO(commit);
    const auto recorded = RecordedFormats::Read(commit);
    PlatformStandin platform(2);
    platform.RunOnLoop([&] {
      for (const auto& [key, value] : recorded.records) {
        platform.Store().Put(key, value);
      }
    });
    ServerUnderTest server(platform, "vm-1");
    FakePeer peer;
    server.caller.WaitFor(server.operatorEndpoint, "/state", [](const json& aState) {
      return aState.at("state").at("configuration_version") == 1 &&
             aState.at("state").at("peers") == 1;
    });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    const auto wanted = static_cast<double>(recorded.datagrams.size());
    const bool isRefused = commit == std::string(kVersionBefore);
    for (const auto& datagram : recorded.datagrams) {
      peer.Send(datagram.bytes, server.peerEndpoint);
    }
    const auto refused = [&] {
      return CounterOf(server, R"(peer_datagrams_refused_total{reason="other_version"})");
    };
    while (isRefused && refused() < wanted &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(refused() == (isRefused ? wanted : 0));
    CHECK(CounterOf(server, R"(peer_datagrams_refused_total{reason="bad_field"})") == 0);
    CHECK(CounterOf(server, R"(peer_datagrams_refused_total{reason="malformed"})") == 0);
    CHECK(CounterOf(server, "leader_records_unreadable_total") == 0);
    CHECK(CounterOf(server, "peer_registrations_unreadable_total") == 0);
    CHECK(CounterOf(server, "prompt_part_records_unreadable_total") == 0);
    CHECK(OwnRecords(platform).at(kLeaderKey) == recorded.records.at(kLeaderKey));
    CHECK(StateOf(server).at("leader_term") == 0);
    CHECK(server.Call("GET", "/looks/1", "beside")->status == 200);
    // The leader of the landed build ends, and this process leads.
    platform.RunOnLoop([&] { platform.Store().Delete(kLeaderKey); });
    server.WaitForGroups(1);
    CHECK(server.Generate("led")->status == 200);
    const auto rejected = server.GenerateFrom("crashing", "cd:50,1f:50");
    REQUIRE(rejected.HasValue());
    CHECK(rejected->status == 503);
    CHECK(rejected->body.find("crashing_prompt_part") != std::string::npos);
  }
}
