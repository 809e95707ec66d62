#include "CallReader.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <nlohmann/json.hpp>

#include "hashing/Fingerprint.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::int64_t kDefaultTokens = 256;
constexpr std::int64_t kMostTokens = 1000000;
constexpr std::size_t kMostNameBytes = 128;
constexpr std::size_t kMostKeyBytes = 200;
constexpr std::int64_t kLongestTimeoutMs = 60L * 60 * 1000;
constexpr std::string_view kOrdinaryAccount = "anonymous";

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

bool IsPrintable(std::string_view aText)
{
  return std::ranges::all_of(
    aText, [](char aCharacter) { return aCharacter > ' ' && aCharacter <= '~'; });
}

CallRejection Rejection(int aStatus, const char* aType, std::string aMessage)
{
  return { aStatus, aType, std::move(aMessage) };
}

std::string_view ContentOf(const json& aMessage)
{
  const auto content = aMessage.find("content");
  const auto* text =
    content == aMessage.end() ? nullptr : content->get_ptr<const json::string_t*>();
  return text == nullptr ? std::string_view() : std::string_view(*text);
}

/// Hash of the messages up to the first one of the user, which later turns repeat.
std::uint64_t ConversationOf(const json& aMessages)
{
  std::uint64_t hash = 0;
  for (const auto& message : aMessages) {
    hash = Hash64(ContentOf(message), hash);
    if (message.value("role", json("")) == "user") {
      break;
    }
  }
  return hash;
}

std::optional<CallRejection> CheckMessages(const json& aBody)
{
  const auto messages = aBody.find("messages");
  const auto isMessage = [](const json& aMessage) { return aMessage.is_object(); };
  if (messages == aBody.end() || !messages->is_array() || messages->empty() ||
      !std::ranges::all_of(*messages, isMessage)) {
    return Rejection(400, "invalid_messages", "messages must be a list of objects");
  }
  return std::nullopt;
}

std::optional<CallRejection> CheckRepeatedHeaders(const HttpHeaders& aHeaders)
{
  for (const char* name : { "Idempotency-Key", "Client-Account", "Request-Timeout-Ms" }) {
    if (aHeaders.IsAmbiguous(name)) {
      return Rejection(400,
                       "ambiguous_header",
                       std::string(name) + " is given twice with different values");
    }
  }
  return std::nullopt;
}

} // namespace

CallReader::CallReader(VmId aVm, std::uint64_t aRunNumber, std::int64_t aLongTokens)
  // Two runs of one VM must not use the same ids.
  : idPrefix(aVm.Value() + "-" + HashHex128(std::to_string(aRunNumber)).substr(0, 8) +
             "-")
  , longTokens(aLongTokens)
{
}

Result<CallRequest, CallRejection> CallReader::Read(
  const HttpRequest& aRequest,
  const EffectiveConfiguration& aConfiguration,
  TimePoint aNow)
{
  const auto path = PathOf(aRequest.target);
  const auto* contract = aConfiguration.ContractFor(path);
  if (contract == nullptr) {
    return Rejection(404, "unknown_route", "no contract covers this path");
  }
  if (auto rejection = CheckRepeatedHeaders(aRequest.headers)) {
    return std::move(*rejection);
  }
  CallRequest call;
  call.contract = *contract;
  call.id = RequestId(this->idPrefix + std::to_string(this->nextNumber++));
  call.arrivedAt = aNow;
  call.method = aRequest.method;
  call.target = aRequest.target;
  call.contentType = std::string(aRequest.headers.Find("Content-Type"));
  call.body = aRequest.body;

  const auto account = aRequest.headers.Find("Client-Account");
  if (account.size() > kMostNameBytes || !IsPrintable(account)) {
    return Rejection(
      400, "invalid_account", "Client-Account must be 1 to 128 characters");
  }
  call.account = aConfiguration.AccountFor(
    AccountId(std::string(account.empty() ? kOrdinaryAccount : account)));
  call.worth = contract->worth;

  call.idempotencyKey = std::string(aRequest.headers.Find("Idempotency-Key"));
  if (call.idempotencyKey.size() > kMostKeyBytes || !IsPrintable(call.idempotencyKey)) {
    return Rejection(
      400, "invalid_idempotency_key", "Idempotency-Key must be 1 to 200 characters");
  }
  if (contract->repeatability == Repeatability::OnlyOnce && call.idempotencyKey.empty()) {
    return Rejection(400,
                     "idempotency_key_required",
                     "this call must not be repeated and needs an Idempotency-Key");
  }
  if (auto rejection = this->ReadDeadline(aRequest, call)) {
    return std::move(*rejection);
  }
  call.isChat = path == kChatPath;
  auto rejection =
    call.isChat ? this->ReadChat(aRequest, call) : this->ReadService(aRequest, call);
  if (rejection) {
    return std::move(*rejection);
  }
  return call;
}

std::optional<CallRejection> CallReader::ReadDeadline(const HttpRequest& aRequest,
                                                      CallRequest& aCall)
{
  Duration timeout = aCall.contract.timeout;
  const auto text = aRequest.headers.Find("Request-Timeout-Ms");
  if (!text.empty()) {
    std::int64_t count = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc{} || end != last || count < 1 || count > kLongestTimeoutMs) {
      return Rejection(400, "invalid_timeout", "Request-Timeout-Ms must be 1 to 3600000");
    }
    timeout = std::chrono::milliseconds(count);
  }
  aCall.deadline = aCall.arrivedAt + timeout;
  return std::nullopt;
}

std::optional<CallRejection> CallReader::ReadChat(const HttpRequest& aRequest,
                                                  CallRequest& aCall) const
{
  if (aRequest.method != "POST") {
    return Rejection(405, "method_not_allowed", "use POST");
  }
  auto document = DecodeJson(aRequest.body, { aRequest.body.size() + 1, 32 });
  if (!document || !document->is_object()) {
    return Rejection(400, "invalid_json", "the body must be a JSON object");
  }
  if (auto rejection = CheckMessages(*document)) {
    return rejection;
  }
  const json& tokens =
    document->contains("max_tokens") ? (*document)["max_tokens"] : json(kDefaultTokens);
  if (!tokens.is_number_integer() || tokens < 1 || tokens > kMostTokens) {
    return Rejection(400, "invalid_max_tokens", "max_tokens must be 1 to 1000000");
  }
  const json stream = document->value("stream", json(false));
  if (!stream.is_boolean()) {
    return Rejection(400, "invalid_stream", "stream must be true or false");
  }
  aCall.form = stream.get<bool>() ? AnswerForm::Streamed : AnswerForm::Whole;
  const auto count = tokens.get<std::int64_t>();
  aCall.cost = static_cast<double>(count);
  const bool isLong =
    aCall.contract.workClass == WorkClass::Long || count >= this->longTokens;
  aCall.workClass = isLong ? WorkClass::Long : WorkClass::Short;
  aCall.prefix = Hash64(ContentOf((*document)["messages"].front()));
  aCall.conversation = ConversationOf((*document)["messages"]);

  // The form of the answer and the caller's name don't change what an engine runs, so a
  // request that crashes engines keeps its fingerprint when they change.
  document->erase("stream");
  document->erase("user");
  (*document)["max_tokens"] = count;
  aCall.fingerprint = Hash64(EncodeJson(*document));
  (*document)["stream"] = true;
  aCall.body = EncodeJson(*document);
  return std::nullopt;
}

std::optional<CallRejection> CallReader::ReadService(const HttpRequest& aRequest,
                                                     CallRequest& aCall) const
{
  aCall.workClass = aCall.contract.workClass;
  aCall.fingerprint =
    Hash64(aRequest.method + ' ' + aRequest.target + '\n' + aRequest.body);
  return std::nullopt;
}

} // namespace toucanstand
