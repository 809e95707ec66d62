#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "settings/SettingsReader.h"

using namespace toucanstand;
using nlohmann::json;

TEST_CASE("A missing required key, a wrong type and an unknown key are all reported",
          "[settings]")
{
  // Guards against stopping at the first error: an operator must see all of them.
  const json document = { { "port", "http" }, { "surplus", 1 } };
  SettingsReader reader(document);
  reader.Text("address");
  reader.Whole("port", 1, 65535);
  reader.Finish();

  REQUIRE(reader.Errors().size() == 3);
  CHECK(reader.Errors()[0].path == "/address");
  CHECK(reader.Errors()[0].rule == SettingsRule::Required);
  CHECK(reader.Errors()[1].rule == SettingsRule::IsNumber);
  CHECK(reader.Errors()[2].path == "/surplus");
  CHECK(reader.Errors()[2].rule == SettingsRule::KnownKey);
}

TEST_CASE("A nested error names its whole path", "[settings]")
{
  const json document = json::parse(R"({"pools":[{"name":"a"},{"name":7}]})");
  SettingsReader reader(document);
  reader.ObjectList("pools", [](SettingsReader& aPool) { aPool.Text("name"); });
  reader.Finish();

  REQUIRE(reader.Errors().size() == 1);
  CHECK(Describe(reader.Errors()[0]) == "/pools/1/name: must be a string, got 7");
}

TEST_CASE("Numbers outside the signed range do not wrap around", "[settings]")
{
  const json document = json::parse(R"({"limit":18446744073709551615})");
  SettingsReader reader(document);
  CHECK(reader.Whole("limit", 0, 10, 3) == 3);
  REQUIRE(reader.Errors().size() == 1);
  CHECK(reader.Errors()[0].rule == SettingsRule::InRange);
}

TEST_CASE("A document that is not an object is one error", "[settings]")
{
  const json document = json::array();
  SettingsReader reader(document);
  reader.Text("address");
  reader.Finish();
  REQUIRE(reader.Errors().size() == 1);
  CHECK(reader.Errors()[0].rule == SettingsRule::IsObject);
}
