#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

using namespace toucanstand;

TEST_CASE("Deeply nested MessagePack is rejected before it exhausts the stack",
          "[serialization]")
{
  // 0x91 opens an array of one element; a million of them overflow a recursive reader.
  const std::vector<std::uint8_t> bytes(1000000, 0x91);
  const auto decoded = DecodeMessagePack(bytes);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.LastReason() == DecodeFailure::TooDeep);
}

TEST_CASE("Malformed, oversized and deep JSON have different reasons", "[serialization]")
{
  CHECK(DecodeJson("{\"a\":").LastReason() == DecodeFailure::Malformed);
  CHECK(DecodeJson("[1,2,3]", { 4, 32 }).LastReason() == DecodeFailure::TooLarge);
  CHECK(DecodeJson("[[[1]]]", { 100, 2 }).LastReason() == DecodeFailure::TooDeep);
  CHECK(DecodeJson("{} trailing").LastReason() == DecodeFailure::Malformed);
}

TEST_CASE("Every truncation and single-byte change of a message is handled",
          "[serialization]")
{
  // Guards against a throw or a crash on hostile bytes between processes.
  const auto bytes = nlohmann::json::to_msgpack(
    { { "version", 1 }, { "type", "probe" }, { "body", { { "list", { 1, 2, 3 } } } } });
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const std::vector<std::uint8_t> part(bytes.begin(), bytes.begin() + length);
    CHECK_FALSE(DecodeMessagePack(part).HasValue());
  }
  for (std::size_t position = 0; position < bytes.size(); ++position) {
    auto changed = bytes;
    for (int value = 0; value < 256; ++value) {
      changed[position] = static_cast<std::uint8_t>(value);
      (void)DecodeMessagePack(changed).HasValue();
    }
  }
}

TEST_CASE("An object that names a field twice is rejected where that is asked for",
          "[serialization]")
{
  // Guards against two readers of one record that take different values.
  DecodeLimits limits;
  const auto* twice = R"({"a":1,"b":{"a":2},"a":3})";
  CHECK(DecodeJson(twice, limits).HasValue());
  limits.duplicateNames = DuplicateNames::Reject;
  CHECK(DecodeJson(twice, limits).LastReason() == DecodeFailure::DuplicateName);
  CHECK(DecodeJson(R"({"b":{"a":2,"a":2}})", limits).LastReason() ==
        DecodeFailure::DuplicateName);
  CHECK(DecodeJson(R"([{"a":1,"b":{"a":2}},{"a":1}])", limits).HasValue());
}
