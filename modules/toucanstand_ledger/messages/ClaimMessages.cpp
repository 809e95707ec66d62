#include "messages/ClaimMessages.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

#include "claims/ClaimRecord.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 6> kAnswerNames = { "granted",     "stored-answer",
                                                      "in-progress", "outcome-unknown",
                                                      "key-reused",  "store-down" };
constexpr std::array<const char*, 3> kOutcomeNames = { "answered", "not-run", "unknown" };
constexpr int kHighestStatus = 599;

template<typename Value, typename Names>
std::optional<Value> FromName(const Names& aNames, const std::string& aName)
{
  const auto found = std::ranges::find(aNames, aName);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<Value>(found - aNames.begin());
}

/// Reads a non-empty text that fits into a record.
std::string ShortText(SettingsReader& aReader, std::string_view aKey)
{
  std::string text = aReader.Text(aKey);
  if (text.empty() || text.size() > ClaimRecord::kMaximumTextBytes) {
    aReader.Reject(aKey, SettingsRule::InRange, "1 to 256 bytes");
  }
  return text;
}

/// Bodies are MessagePack binary, because they need not be UTF-8.
json ToBinary(const std::string& aBody)
{
  return json::binary(std::vector<std::uint8_t>(aBody.begin(), aBody.end()));
}

/// Takes the body out of the message, which leaves fields that SettingsReader knows.
std::optional<std::string> TakeBody(json& aBody)
{
  const auto found = aBody.find("body");
  if (found == aBody.end() || !found->is_binary()) {
    return std::nullopt;
  }
  const auto& bytes = found->get_binary();
  std::string text(bytes.begin(), bytes.end());
  aBody.erase(found);
  return text;
}

int ReadStatus(SettingsReader& aReader)
{
  return static_cast<int>(aReader.Whole("status", 0, kHighestStatus));
}

} // namespace

const char* WireName(ClaimAnswer aAnswer)
{
  return kAnswerNames.at(static_cast<std::size_t>(aAnswer));
}

const char* WireName(ClaimOutcome aOutcome)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

json ToJson(const ClaimMessage& aMessage)
{
  return { { "account", aMessage.account.Value() },
           { "key", aMessage.key },
           { "fingerprint", aMessage.fingerprint },
           { "nonce", aMessage.nonce } };
}

json ToJson(const ClaimReplyMessage& aMessage)
{
  return { { "nonce", aMessage.nonce },
           { "answer", WireName(aMessage.answer) },
           { "status", aMessage.status },
           { "body", ToBinary(aMessage.body) },
           { "body_omitted", aMessage.bodyOmitted } };
}

json ToJson(const OutcomeMessage& aMessage)
{
  return { { "nonce", aMessage.nonce },
           { "outcome", WireName(aMessage.outcome) },
           { "status", aMessage.status },
           { "body", ToBinary(aMessage.body) },
           { "account", aMessage.account.Value() },
           { "key", aMessage.key } };
}

json ToJson(const OutcomeReplyMessage& aMessage)
{
  return { { "nonce", aMessage.nonce }, { "recorded", aMessage.recorded } };
}

std::optional<ClaimMessage> ClaimFromJson(const json& aBody)
{
  SettingsReader reader(aBody);
  ClaimMessage message;
  message.account = AccountId(ShortText(reader, "account"));
  message.key = ShortText(reader, "key");
  message.fingerprint = ShortText(reader, "fingerprint");
  message.nonce = ShortText(reader, "nonce");
  reader.Finish();
  return reader.Errors().empty() ? std::optional(message) : std::nullopt;
}

std::optional<ClaimReplyMessage> ClaimReplyFromJson(const json& aBody)
{
  json fields = aBody;
  auto body = fields.is_object() ? TakeBody(fields) : std::nullopt;
  SettingsReader reader(fields);
  ClaimReplyMessage message;
  message.nonce = ShortText(reader, "nonce");
  const auto answer = FromName<ClaimAnswer>(kAnswerNames, reader.Text("answer"));
  message.status = ReadStatus(reader);
  message.bodyOmitted = reader.Flag("body_omitted");
  reader.Finish();
  if (!reader.Errors().empty() || !answer || !body ||
      body->size() > ClaimRecord::kMaximumBodyBytes) {
    return std::nullopt;
  }
  message.answer = *answer;
  message.body = std::move(*body);
  return message;
}

std::optional<OutcomeMessage> OutcomeFromJson(const json& aBody)
{
  json fields = aBody;
  auto body = fields.is_object() ? TakeBody(fields) : std::nullopt;
  SettingsReader reader(fields);
  OutcomeMessage message;
  message.nonce = ShortText(reader, "nonce");
  const auto outcome = FromName<ClaimOutcome>(kOutcomeNames, reader.Text("outcome"));
  message.status = ReadStatus(reader);
  message.account = AccountId(reader.Text("account", ""));
  message.key = reader.Text("key", "");
  reader.Finish();
  // A body above the record's limit is accepted, bounded by the size of an envelope; the
  // record omits it.
  const bool bounded = message.account.Value().size() <= ClaimRecord::kMaximumTextBytes &&
                       message.key.size() <= ClaimRecord::kMaximumTextBytes;
  if (!reader.Errors().empty() || !outcome || !body || !bounded) {
    return std::nullopt;
  }
  message.outcome = *outcome;
  message.body = std::move(*body);
  return message;
}

std::optional<OutcomeReplyMessage> OutcomeReplyFromJson(const json& aBody)
{
  SettingsReader reader(aBody);
  OutcomeReplyMessage message;
  message.nonce = ShortText(reader, "nonce");
  message.recorded = reader.Flag("recorded");
  reader.Finish();
  return reader.Errors().empty() ? std::optional(message) : std::nullopt;
}

} // namespace toucanstand
