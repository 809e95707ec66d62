#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/ServerEntryReader.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

json ValidEntry()
{
  return json::parse(R"({"Service":"s1","Address":"10.128.0.9:8080","Zone":"z1",
    "Version":"v1","Slots":26,"State":"ready","ColdRemainingMs":0,"Seq":4,"born":1790303033000,
    "Domain":"z1-d0","Staged":["m1"],
    "group":{"Name":"m0-12","epoch":12,"rank":0,"State":"open"}})");
}

bool IsRejected(const json& aEntry)
{
  return !platform::ReadServerEntry(ServerId("i-1"), aEntry.dump()).HasValue();
}

} // namespace

TEST_CASE("A valid registration is parsed into a server entry", "[platform]")
{
  const auto entry = platform::ReadServerEntry(ServerId("i-1"), ValidEntry().dump());
  REQUIRE(entry.HasValue());
  CHECK(entry->pool == PoolId("s1"));
  CHECK(entry->endpoint.Text() == "10.128.0.9:8080");
  CHECK(entry->domain == DomainId("z1-d0"));
  CHECK(entry->slots == 26);
  CHECK(!entry->leaving);
  CHECK(entry->startedAtUnixMs == 1790303033000);
  CHECK(entry->stagedModels == std::vector<std::string>{ "m1" });
  REQUIRE(entry->membership.has_value());
  CHECK(entry->membership->group == GroupId("m0-12"));
  CHECK(entry->membership->state == MembershipState::Open);

  auto drainingEntry = ValidEntry();
  drainingEntry["group"] = nullptr;
  drainingEntry["State"] = "draining";
  const auto leaving = platform::ReadServerEntry(ServerId("i-1"), drainingEntry.dump());
  REQUIRE(leaving.HasValue());
  CHECK(leaving->leaving);
  CHECK(!leaving->membership.has_value());
}

TEST_CASE("A cold time is read, and one that can't be meant is left out", "[platform]")
{
  // Guards against a server that is lost, or without requests for days, because of a
  // damaged value.
  const auto read = [](const json& aValue) {
    auto entry = ValidEntry();
    entry["ColdRemainingMs"] = aValue;
    const auto server = platform::ReadServerEntry(ServerId("i-1"), entry.dump());
    REQUIRE(server.HasValue());
    return server->coldTime;
  };
  CHECK(read(2500).remaining == std::chrono::milliseconds(2500));
  CHECK(read(2500).IsCold());
  CHECK_FALSE(read(0).IsCold());
  CHECK_FALSE(read(nullptr).remaining.has_value());
  CHECK_FALSE(read(nullptr).isUnreadable);
  for (const json& value :
       { json(-1), json(3'600'001), json(1e300), json("9"), json::array() }) {
    INFO(value.dump());
    CHECK(read(value).isUnreadable);
    CHECK_FALSE(read(value).remaining.has_value());
  }
}

TEST_CASE("A registration with a missing or invalid field is rejected", "[platform]")
{
  // Guards against routing requests to a server whose registration was corrupted by
  // another writer.
  CHECK(!platform::ReadServerEntry(ServerId("i-1"), "\xff{").HasValue());
  for (const char* field : { "Service", "Address", "Zone", "Slots", "State" }) {
    INFO(field);
    auto entry = ValidEntry();
    entry.erase(field);
    CHECK(IsRejected(entry));
    entry = ValidEntry();
    entry[field] = json::array({ 1 });
    CHECK(IsRejected(entry));
  }
  auto entry = ValidEntry();
  entry["State"] = "sleeping";
  CHECK(IsRejected(entry));
  entry = ValidEntry();
  entry["group"]["State"] = "dreaming";
  CHECK(IsRejected(entry));
  entry = ValidEntry();
  entry["group"]["epoch"] = -1;
  CHECK(IsRejected(entry));
}

TEST_CASE("A number beyond its bound makes a registration malformed", "[platform]")
{
  // Guards against a large number that is read as a negative or a wrong one.
  const auto isRead = [](const char* aField, const std::string& aNumber) {
    auto text = ValidEntry().dump();
    const auto name = '"' + std::string(aField) + "\":";
    const auto start = text.find(name) + name.size();
    text.replace(start, text.find_first_of(",}", start) - start, aNumber);
    return platform::ReadServerEntry(ServerId("i-1"), text).HasValue();
  };
  for (const auto* field : { "Slots", "Seq", "born", "epoch", "rank" }) {
    INFO(field);
    CHECK(isRead(field, "8"));
    CHECK(isRead(field, "8.0"));
    CHECK(isRead(field, "1e3"));
    for (const auto* number : { "-1",
                                "0.5",
                                "9007199254740992",
                                "9223372036854775807",
                                "9223372036854775808",
                                "18446744073709551615",
                                "18446744073709551616",
                                "1e19",
                                "1e308",
                                "1e400",
                                "1e999999999",
                                "\"8\"",
                                "[8]" }) {
      INFO(number);
      CHECK(!isRead(field, number));
    }
  }
  CHECK(isRead("Seq", "-0"));
  CHECK(isRead("Seq", "null"));
  CHECK(isRead("Seq", "9007199254740991"));
}

TEST_CASE("A registration that names a field twice is malformed", "[platform]")
{
  // Guards against an address that other readers of the entry don't use.
  auto text = ValidEntry().dump();
  text.insert(1, R"("Address":"10.128.0.8:80",)");
  CHECK(!platform::ReadServerEntry(ServerId("i-1"), text).HasValue());
}

TEST_CASE("A server id is read only from keys of registrations", "[platform]")
{
  for (const std::string& id : std::vector<std::string>{
         "a b", "a\r\nb", std::string("a\0b", 3), "\xc3\xa9", std::string(257, 'i') }) {
    CHECK(platform::IsServerKey("servers/" + id));
    CHECK(!platform::ServerIdFromKey("servers/" + id).has_value());
  }
  CHECK(platform::ServerIdFromKey("servers/" + std::string(256, 'i')).has_value());
  CHECK(platform::ServerIdFromKey("servers/i-7f") == ServerId("i-7f"));
  CHECK(!platform::ServerIdFromKey("servers/").has_value());
  CHECK(!platform::ServerIdFromKey("toucanstand/leader").has_value());
}
