#include "claims/ClaimRecord.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "hashing/Fingerprint.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

constexpr int kVersion = 1;
constexpr std::array<const char*, 3> kStateNames = { "claimed", "finished", "unknown" };

std::optional<ClaimState> StateFromName(const std::string& aName)
{
  const auto found = std::ranges::find(kStateNames, aName);
  if (found == kStateNames.end()) {
    return std::nullopt;
  }
  return static_cast<ClaimState>(found - kStateNames.begin());
}

bool IsWithinBounds(const ClaimRecord& aRecord)
{
  const std::array texts = { &aRecord.account.Value(),
                             &aRecord.key,
                             &aRecord.fingerprint,
                             &aRecord.nonce,
                             &aRecord.owner.Value() };
  return aRecord.body.size() <= ClaimRecord::kMaximumBodyBytes &&
         std::ranges::all_of(texts, [](const std::string* aText) {
           return aText->size() <= ClaimRecord::kMaximumTextBytes;
         });
}

ClaimRecord ReadFields(const nlohmann::json& aDocument)
{
  ClaimRecord record;
  record.account = AccountId(aDocument.at("account").get<std::string>());
  record.key = aDocument.at("key").get<std::string>();
  record.fingerprint = aDocument.at("fingerprint").get<std::string>();
  record.nonce = aDocument.at("nonce").get<std::string>();
  record.owner = VmId(aDocument.at("owner").get<std::string>());
  record.status = aDocument.value("status", 0);
  record.bodyOmitted = aDocument.value("body_omitted", false);
  if (aDocument.contains("body")) {
    record.body = aDocument.at("body").get<std::string>();
  }
  if (aDocument.contains("body_bytes")) {
    const auto bytes = aDocument.at("body_bytes").get<std::vector<std::uint8_t>>();
    record.body.assign(bytes.begin(), bytes.end());
  }
  return record;
}

} // namespace

const char* Name(ClaimState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

void ClaimRecord::Finish(int aStatus, std::string aBody)
{
  this->state = ClaimState::Finished;
  this->status = aStatus;
  this->bodyOmitted = aBody.size() > kMaximumBodyBytes;
  this->body = this->bodyOmitted ? std::string() : std::move(aBody);
}

std::string ClaimKey(const AccountId& aAccount, const std::string& aKey)
{
  const std::string& account = aAccount.Value();
  return "/toucanstand/claims/" +
         HashHex128(std::to_string(account.size()) + ":" + account + aKey);
}

std::string FormatClaimRecord(const ClaimRecord& aRecord)
{
  nlohmann::json document = {
    { "version", kVersion },
    { "state", Name(aRecord.state) },
    { "account", aRecord.account.Value() },
    { "key", aRecord.key },
    { "fingerprint", aRecord.fingerprint },
    { "nonce", aRecord.nonce },
    { "owner", aRecord.owner.Value() },
  };
  if (aRecord.state == ClaimState::Finished) {
    document["status"] = aRecord.status;
    document["body"] = aRecord.body;
    document["body_omitted"] = aRecord.bodyOmitted;
  }
  try {
    return document.dump();
  } catch (const nlohmann::json::type_error&) {
    // The body is not UTF-8, which JSON text can't hold: store it as numbers.
    document.erase("body");
    document["body_bytes"] =
      std::vector<std::uint8_t>(aRecord.body.begin(), aRecord.body.end());
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
}

std::optional<ClaimRecord> ParseClaimRecord(const std::string& aText)
{
  const auto decoded = DecodeJson(aText);
  if (!decoded || !decoded->is_object()) {
    return std::nullopt;
  }
  const auto& document = *decoded;
  try {
    const auto state = StateFromName(document.at("state").get<std::string>());
    if (!state || document.at("version").get<int>() != kVersion) {
      return std::nullopt;
    }
    ClaimRecord record = ReadFields(document);
    record.state = *state;
    return IsWithinBounds(record) ? std::optional(std::move(record)) : std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace toucanstand
