#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "claims/ClaimRecord.h"
#include "claims/RetentionLease.h"
#include "messages/ClaimMessages.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

ClaimRecord Finished(std::string aBody)
{
  ClaimRecord record;
  record.account = AccountId("account");
  record.key = "key";
  record.fingerprint = "f";
  record.nonce = "n";
  record.owner = VmId("vm-1");
  record.Finish(200, std::move(aBody));
  return record;
}

} // namespace

TEST_CASE("Any body survives the record's text form", "[claims]")
{
  // Guards against a body that is not UTF-8 being altered or making the write fail.
  std::string everyByte;
  for (int byte = 0; byte < 256; ++byte) {
    everyByte.push_back(static_cast<char>(byte));
  }
  for (const auto& body : { everyByte, std::string("хариу"), std::string() }) {
    const ClaimRecord record = Finished(body);
    const auto parsed = ParseClaimRecord(FormatClaimRecord(record));
    REQUIRE(parsed);
    CHECK(*parsed == record);
  }
}

TEST_CASE("A body above the limit is omitted as a whole", "[claims]")
{
  // Guards against a shortened body being presented as the complete answer (R3).
  const auto record = Finished(std::string(ClaimRecord::kMaximumBodyBytes + 1, 'x'));
  CHECK(record.bodyOmitted);
  CHECK(record.body.empty());
  CHECK_FALSE(Finished(std::string(ClaimRecord::kMaximumBodyBytes, 'x')).bodyOmitted);
}

TEST_CASE("Malformed records are rejected", "[claims]")
{
  const std::string valid = FormatClaimRecord(Finished("x"));
  const auto cut = valid.substr(0, valid.size() / 2);
  CHECK_FALSE(ParseClaimRecord(cut));
  for (const char* field : { "state", "nonce", "version", "owner" }) {
    auto document = nlohmann::json::parse(valid);
    document[field] = 99;
    INFO(field);
    CHECK_FALSE(ParseClaimRecord(document.dump()));
  }
  CHECK(ClaimKey(AccountId("a"), "bc") != ClaimKey(AccountId("ab"), "c"));
}

TEST_CASE("Claim messages survive MessagePack and reject foreign fields", "[claims]")
{
  const std::string binary("\0\xff\x80", 3);
  const ClaimReplyMessage reply{ "n", ClaimAnswer::StoredAnswer, 201, binary, false };
  const OutcomeMessage outcome{ "n", ClaimOutcome::Answered, 201, binary };
  const auto carry = [](const nlohmann::json& aBody) {
    return nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(aBody));
  };
  CHECK(ClaimReplyFromJson(carry(ToJson(reply))) == reply);
  CHECK(OutcomeFromJson(carry(ToJson(outcome))) == outcome);

  auto claim = ToJson(ClaimMessage{ AccountId("a"), "k", "f", "n" });
  REQUIRE(ClaimFromJson(carry(claim)));
  claim["surplus"] = 1;
  CHECK_FALSE(ClaimFromJson(claim));
  claim.erase("surplus");
  claim["key"] = std::string(257, 'k');
  CHECK_FALSE(ClaimFromJson(claim));
  CHECK_FALSE(ClaimReplyFromJson(nlohmann::json::array()));
}

TEST_CASE("Every claim of a period is kept for the whole retention", "[claims]")
{
  // Guards against a lease that ends before the retention of its last claim.
  RetentionLease lease(24h, 1h);
  const TimePoint asked{};
  CHECK_FALSE(lease.Current(asked));
  lease.OnGranted(7, asked);
  const TimePoint lastUse = asked + 1h - 1ns;
  REQUIRE(lease.Current(lastUse) == 7);
  CHECK(asked + lease.Lifetime() - lastUse > 24h);
  CHECK_FALSE(lease.Current(asked + 1h));
}
