#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// Another writer leaves odd records in the store beside those of the backend servers, the
// VMs and the operator.

namespace {

/// A registration of a plain service at an address where nothing listens, with one field
/// replaced by the text.
std::string Registration(const std::string& aField = "", const std::string& aText = "")
{
  std::vector<std::pair<std::string, std::string>> fields = {
    { "Service", "\"stock\"" },
    { "Address", "\"127.0.0.1:1\"" },
    { "Zone", "\"zone-a\"" },
    { "Version", "\"v1\"" },
    { "Slots", "8" },
    { "State", "\"ready\"" },
    { "Seq", "1" },
    { "born", "1700000000000" },
  };
  std::string text;
  bool isReplaced = false;
  for (const auto& [name, value] : fields) {
    const bool isField = name == aField;
    isReplaced = isReplaced || isField;
    text += (text.empty() ? "{\"" : ",\"") + name + "\":";
    text += isField ? aText : value;
  }
  if (!aField.empty() && !isReplaced) {
    text += ",\"" + aField + "\":" + aText;
  }
  return text + "}";
}

struct OddRecord
{
  std::string name;
  std::string value;
};

std::vector<OddRecord> OddRegistrations()
{
  const std::string deep(100'000, '[');
  const std::string group = R"({"Name":"large-1","rank":0,"State":"open","epoch":)";
  std::vector<OddRecord> records = {
    { "empty", "" },
    { "no JSON", "\xff\xfe{" },
    { "NUL bytes", std::string(64, '\0') },
    { "an unfinished object", "{\"Service\":\"stock\"" },
    { "1 MB of brackets", std::string(1'000'000, '[') },
    { "deep lists", deep + std::string(100'000, ']') },
    { "a list in a list nine times", Registration("x", "[[[[[[[[[]]]]]]]]]") },
    { "a huge string", Registration("Zone", "\"" + std::string(900'000, 'z') + "\"") },
    { "a long name", Registration("Zone", "\"" + std::string(300, 'z') + "\"") },
    { "invalid UTF-8", Registration("Zone", "\"\xc3\x28\"") },
    { "half a character", Registration("Zone", R"("\ud800")") },
    { "a name twice", Registration("Zone", R"("zone-a","Zone":"zone-b")") },
    { "an address with a NUL", Registration("Address", R"("127.0.0.1\u0000:1")") },
    { "an odd group", Registration("group", "7") },
    { "a generation above 2^63", Registration("group", group + "9223372036854775808}") },
    { "a generation of 2^53", Registration("group", group + "9007199254740992}") },
    { "a long list of models", Registration("Staged", "[1]") },
  };
  for (const std::string& field :
       std::vector<std::string>{ "Service", "Address", "Zone", "Slots", "State" }) {
    for (const std::string& value :
         std::vector<std::string>{ "null", "[]", "{}", "true", "-1" }) {
      records.push_back({ field, Registration(field, value) });
    }
  }
  for (const std::string& number : std::vector<std::string>{ "9223372036854775808",
                                                             "18446744073709551615",
                                                             "18446744073709551616",
                                                             "9223372036854775807",
                                                             "1e400",
                                                             "1e308",
                                                             "-1e400",
                                                             "1e999999999",
                                                             "0",
                                                             "-0",
                                                             "-1",
                                                             "1.5",
                                                             "1000001" }) {
    records.push_back({ "Slots " + number, Registration("Slots", number) });
  }
  for (const std::string& number : std::vector<std::string>{ "9223372036854775808",
                                                             "18446744073709551615",
                                                             "1e400",
                                                             "-1",
                                                             "0.5",
                                                             "\"1\"",
                                                             "9223372036854775807" }) {
    records.push_back({ "Seq " + number, Registration("Seq", number) });
    records.push_back({ "born " + number, Registration("born", number) });
  }
  for (const std::string& address : std::vector<std::string>{ "127.0.0.1:0",
                                                              "127.0.0.1:65536",
                                                              "127.0.0.1:99999999999",
                                                              "127.0.0.1:-1",
                                                              "127.0.0.1:",
                                                              "127.0.0.1",
                                                              ":80",
                                                              "0.0.0.0:80",
                                                              "224.0.0.1:80",
                                                              "255.255.255.255:80",
                                                              "127.0.0.1:8e1",
                                                              "localhost:80",
                                                              "[::1]:80",
                                                              "127.0.0.1:80 ",
                                                              "127.0.0.1:1/x" }) {
    records.push_back({ address, Registration("Address", "\"" + address + "\"") });
  }
  return records;
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

bool KnowsServer(ServerUnderTest& aServer, const std::string& aId)
{
  const auto state = aServer.caller.Json(aServer.operatorEndpoint, "GET", "/state");
  return std::ranges::any_of(state.at("state").at("servers"),
                             [&](const json& aEntry) { return aEntry.at("id") == aId; });
}

/// Writes a later configuration and waits until it is applied, which shows that all
/// earlier writes to the store have been read.
void WaitUntilRead(PlatformStandin& aPlatform, ServerUnderTest& aServer, int aVersion)
{
  aPlatform.WriteConfiguration(aVersion);
  aServer.caller.WaitFor(
    aServer.operatorEndpoint, "/state", [aVersion](const json& aState) {
      return aState.at("state").at("configuration_version") == aVersion;
    });
}

} // namespace

TEST_CASE("An odd registration names no server, and the others hold", "[records]")
{
  // Guards against a process that ends or stops following the store at an odd entry, and
  // against requests to a server that such an entry names.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  int version = 1;
  double counted = 0;
  const auto records = OddRegistrations();
  for (const auto& record : records) {
    INFO(record.name);
    platform.RunOnLoop([&] { platform.Store().Put("servers/odd", record.value); });
    WaitUntilRead(platform, server, ++version);
    CHECK(!KnowsServer(server, "odd"));
    const auto countedNow = CounterOf(server, "registrations_unreadable_total");
    CHECK(countedNow == counted + 1);
    counted = countedNow;
  }
  CHECK(KnowsServer(server, "stock-0"));
  CHECK(KnowsServer(server, "engine-1"));
  CHECK(server.Generate("odd-1").HasValue());

  // A VM that reads them all at its start.
  platform.RunOnLoop([&] {
    for (std::size_t number = 0; number < records.size(); ++number) {
      platform.Store().Put("servers/odd-" + std::to_string(number),
                           records[number].value);
    }
  });
  ServerUnderTest late(platform, "vm-2");
  late.WaitForGroups(1);
  late.caller.WaitFor(late.operatorEndpoint, "/state", [](const json& aState) {
    return aState.at("state").at("servers").dump().find("\"stock-1\"") !=
           std::string::npos;
  });
  CHECK(!KnowsServer(late, "odd-0"));
  CHECK(CounterOf(late, "registrations_unreadable_total") >=
        static_cast<double>(records.size()));
  CHECK(late.Generate("odd-2").HasValue());
  for (int number = 0; number < 10; ++number) {
    CHECK(server.Call("POST", "/holds/1", "odd-h" + std::to_string(number))->status ==
          200);
  }
}

TEST_CASE("An odd key among the registrations names no server", "[records]")
{
  // Guards against an id that adds lines to a request's head, or that makes it too long.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  const std::vector<std::string> ids = { "",
                                         "a b",
                                         "a\r\nX-Tenant: other",
                                         "a\tb",
                                         "caf\xc3\xa9",
                                         std::string("a\0b", 3),
                                         "\x7f",
                                         std::string(70'000, 'i') };
  platform.RunOnLoop([&] {
    for (const auto& id : ids) {
      platform.Store().Put("servers/" + id, Registration());
    }
  });
  WaitUntilRead(platform, server, 2);
  CHECK(CounterOf(server, "registrations_unreadable_total") ==
        static_cast<double>(ids.size()));
  for (const auto& id : ids) {
    CHECK(!KnowsServer(server, id));
  }
  for (int number = 0; number < 10; ++number) {
    CHECK(server.Call("POST", "/holds/1", "key-" + std::to_string(number))->status ==
          200);
  }
}

TEST_CASE("Whole numbers in floating-point form are read", "[records]")
{
  // Guards against a server that gets no requests because its program writes numbers in
  // another form.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  int version = 1;
  for (const std::string& number :
       std::vector<std::string>{ "8.0", "1e3", "8", "8.0e0", "80e-1" }) {
    INFO(number);
    platform.RunOnLoop(
      [&] { platform.Store().Put("servers/plain", Registration("Slots", number)); });
    WaitUntilRead(platform, server, ++version);
    CHECK(KnowsServer(server, "plain"));
    platform.RunOnLoop([&] { platform.Store().Delete("servers/plain"); });
  }
}

TEST_CASE("Large odd entries in one answer of the store do not end the reading",
          "[records]")
{
  // Guards against an answer beyond the bound that is requested again and again.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  platform.RunOnLoop([&] {
    for (int number = 0; number < 6; ++number) {
      platform.Store().Put("servers/large-" + std::to_string(number),
                           std::string(1'000'000, '['));
    }
  });
  WaitUntilRead(platform, server, 2);
  CHECK(KnowsServer(server, "stock-0"));
  CHECK(server.Generate("large-1").HasValue());
}

TEST_CASE("An unreadable leader key does not keep all VMs from leading", "[records]")
{
  // Guards against groups that are never formed, because no VM may lead.
  for (const auto& value : std::vector<std::string>{ "",
                                                     "odd",
                                                     "vm/",
                                                     "/5",
                                                     "vm/x",
                                                     "vm/99999999999999999999",
                                                     std::string(100'000, '[') }) {
    INFO(value.substr(0, 30));
    PlatformStandin platform(2);
    platform.RunOnLoop([&] { platform.Store().Put("toucanstand/leader", value); });
    ServerUnderTest server(platform, "vm-1");
    CHECK_NOTHROW(server.WaitForGroups(1));
  }
}

TEST_CASE("Other unreadable records are left out", "[records]")
{
  // Guards against a process that ends at an odd registration of a VM, an odd record of a
  // prompt part or an unreadable configuration.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  const std::vector<std::string> values = {
    "",         "127.0.0.1:0 1.0",    "127.0.0.1:65536 1.0",    "127.0.0.1:80 1e400",
    "x 1.0",    "0.0.0.0:80 1.0",     "127.0.0.1:80 nan",       "127.0.0.1:80 -1",
    "\xff\xfe", "127.0.0.1:80 1e300", std::string(100'000, '[')
  };
  platform.RunOnLoop([&] {
    for (std::size_t number = 0; number < values.size(); ++number) {
      const auto suffix = "odd-" + std::to_string(number);
      platform.Store().Put("toucanstand/vms/" + suffix, values[number]);
      platform.Store().Put("toucanstand/crashing-prompt-parts/" + suffix, values[number]);
      platform.Store().Put("toucanstand/" + suffix, values[number]);
    }
    for (const auto& text : std::vector<std::string>{
           "",
           "{",
           std::string(100'000, '['),
           R"({"Version":1e400})",
           R"({"Version":9223372036854775808,"Routes":[],"Services":[]})",
           "\xff" }) {
      platform.Store().Put("op/config", text);
    }
  });
  WaitUntilRead(platform, server, 2);
  CHECK(CounterOf(server, "peer_registrations_unreadable_total") ==
        static_cast<double>(values.size()));
  CHECK(CounterOf(server, "prompt_part_records_unreadable_total") ==
        static_cast<double>(values.size()));
  CHECK(CounterOf(server, "configuration_unreadable_total") > 0);
  CHECK(server.Generate("other-1").HasValue());
}
