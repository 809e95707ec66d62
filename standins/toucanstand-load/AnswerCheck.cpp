#include "AnswerCheck.h"

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

#include "common/ServiceAnswer.h"
#include "common/TokenFunction.h"
#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::uint64_t kCatalogueItems = 1000;

template<typename T>
const T& DrawWeighted(const std::vector<T>& aItems, Random& aRandom)
{
  const double total =
    std::accumulate(aItems.begin(), aItems.end(), 0.0, [](double aSum, const T& aItem) {
      return aSum + aItem.weight;
    });
  double left = aRandom.Fraction() * total;
  const auto found = std::ranges::find_if(aItems, [&left](const T& aItem) {
    left -= aItem.weight;
    return left < 0;
  });
  return found == aItems.end() ? aItems.back() : *found;
}

json ChatBody(const RequestProfile& aProfile, std::uint64_t aNumber, Random& aRandom)
{
  const auto prefix = aRandom.Below(aProfile.prefixes);
  std::string system =
    "You are assistant " + aProfile.name + "-" + std::to_string(prefix) + ".";
  system.resize(std::max<std::size_t>(system.size(), aProfile.prefixCharacters), '.');
  return {
    { "model", "assistant" },
    { "messages",
      { { { "role", "system" }, { "content", system } },
        { { "role", "user" },
          { "content", "Question " + std::to_string(aNumber) + "?" } } } },
    { "max_tokens", aProfile.maxTokens },
    { "stream", aProfile.streamed },
  };
}

/// Text of one event, in the format of the engines or in that of OpenAI.
std::string EventText(const json& aEvent)
{
  if (const auto token = aEvent.find("token");
      token != aEvent.end() && token->is_string()) {
    return token->get<std::string>();
  }
  const auto content = json::json_pointer("/choices/0/delta/content");
  return aEvent.value(content, std::string());
}

} // namespace

LoadRequest DrawRequest(const LoadPlan& aPlan, std::uint64_t aNumber, Random& aRandom)
{
  const auto& profile = DrawWeighted(aPlan.requests, aRandom);
  LoadRequest request;
  request.profile = static_cast<std::size_t>(&profile - aPlan.requests.data());
  request.account = DrawWeighted(aPlan.accounts, aRandom).name;
  request.method = profile.kind == RequestKind::Lookup ? "GET" : "POST";
  request.path = profile.path;
  switch (profile.kind) {
    case RequestKind::Chat: {
      const json body = ChatBody(profile, aNumber, aRandom);
      request.path = "/v1/chat/completions";
      request.body = body.dump();
      request.prompt = PromptOf(body);
      break;
    }
    case RequestKind::Lookup:
      request.path += std::to_string(aRandom.Below(kCatalogueItems));
      break;
    case RequestKind::Order:
      request.body = json{ { "order", aNumber }, { "seed", aPlan.seed } }.dump();
      request.idempotencyKey = HashHex128(request.body);
      break;
  }
  return request;
}

AnswerCheck::AnswerCheck(const LoadRequest& aRequest,
                         const RequestProfile& aProfile,
                         bool aRequireOutcome)
  : request(aRequest)
  , profile(aProfile)
  , requireOutcome(aRequireOutcome)
{
}

void AnswerCheck::Head(ReplyHead aHead)
{
  this->head = std::move(aHead);
}

std::uint64_t AnswerCheck::Body(std::string_view aBytes)
{
  this->buffer += aBytes;
  if (!this->head.eventStream) {
    return 0;
  }
  const auto before = this->tokens;
  std::size_t start = 0;
  for (auto end = this->buffer.find('\n'); end != std::string::npos;
       end = this->buffer.find('\n', start)) {
    auto line = std::string_view(this->buffer).substr(start, end - start);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    this->ReadLine(line);
    start = end + 1;
  }
  this->buffer.erase(0, start);
  return this->tokens - before;
}

AnswerVerdict AnswerCheck::Finish(bool aComplete)
{
  if (this->head.status == 0) {
    return this->Because(AnswerVerdict::Unknown, "no reply");
  }
  if (this->wrongToken) {
    // Even in a stream that breaks off later, the caller has seen the token.
    return AnswerVerdict::Wrong;
  }
  if (this->head.status != 200) {
    return this->FinishError();
  }
  if (!this->head.eventStream && !aComplete) {
    return this->Because(AnswerVerdict::Unknown, "the reply broke off");
  }
  const auto verdict =
    this->head.eventStream ? this->FinishStream() : this->FinishWhole();
  if (verdict == AnswerVerdict::Answered && this->requireOutcome &&
      this->head.outcome != "answered") {
    return this->Because(AnswerVerdict::Wrong,
                         "a complete answer with outcome '" + this->head.outcome + "'");
  }
  return verdict;
}

bool AnswerCheck::MissesOutcome() const
{
  return this->requireOutcome && this->head.status != 0 && this->head.outcome.empty();
}

void AnswerCheck::ReadLine(std::string_view aLine)
{
  constexpr std::string_view kData = "data:";
  if (aLine.starts_with("event:")) {
    this->errorEvent |= aLine.find("error") != std::string_view::npos;
    return;
  }
  if (!aLine.starts_with(kData)) {
    return;
  }
  aLine.remove_prefix(std::min(aLine.find_first_not_of(' ', kData.size()), aLine.size()));
  if (aLine == "[DONE]") {
    this->done = true;
  } else if (!this->errorEvent) {
    this->ReadToken(aLine);
  }
}

void AnswerCheck::ReadToken(std::string_view aEvent)
{
  const json event = json::parse(aEvent, nullptr, false);
  const std::string text = event.is_object() ? EventText(event) : "";
  if (text.empty()) {
    // Events without text, such as OpenAI's first and last, carry no token.
    return;
  }
  const bool misplaced = event.contains("index") && event["index"] != json(this->tokens);
  if (misplaced || this->done || text != TokenText(this->request.prompt, this->tokens)) {
    this->wrongToken = true;
    this->reason = "token " + std::to_string(this->tokens) +
                   " is wrong: " + std::string(aEvent.substr(0, 200));
  }
  ++this->tokens;
}

AnswerVerdict AnswerCheck::Because(AnswerVerdict aVerdict, std::string aReason)
{
  this->reason = std::move(aReason);
  return aVerdict;
}

AnswerVerdict AnswerCheck::FinishError()
{
  const auto status = this->head.status;
  const auto text = "status " + std::to_string(status);
  const bool notRun =
    this->head.outcome == "not-run" || (!this->requireOutcome && this->head.notRun);
  if (!notRun) {
    return this->Because(AnswerVerdict::Unknown,
                         text + ", outcome '" + this->head.outcome + "'");
  }
  const bool refused = status == 429 || status == 503;
  return this->Because(refused ? AnswerVerdict::Refused : AnswerVerdict::NotRun, text);
}

AnswerVerdict AnswerCheck::FinishStream()
{
  if (!this->done) {
    return this->Because(AnswerVerdict::Unknown,
                         this->errorEvent ? "error event" : "the stream broke off");
  }
  if (this->errorEvent) {
    return this->Because(AnswerVerdict::Wrong, "[DONE] after an error event");
  }
  if (this->profile.kind != RequestKind::Chat ||
      this->tokens != this->profile.maxTokens) {
    return this->Because(AnswerVerdict::Wrong,
                         "[DONE] after " + std::to_string(this->tokens) + " tokens");
  }
  return AnswerVerdict::Answered;
}

AnswerVerdict AnswerCheck::FinishWhole()
{
  if (this->profile.kind != RequestKind::Chat) {
    const bool equal =
      this->buffer == ServiceAnswer(this->request.path, this->request.body);
    return equal ? AnswerVerdict::Answered
                 : this->Because(AnswerVerdict::Wrong, "another answer");
  }
  const json body = json::parse(this->buffer, nullptr, false);
  const auto content = json::json_pointer("/choices/0/message/content");
  const auto text = body.is_object() ? body.value(content, std::string()) : "";
  return text == AnswerText(this->request.prompt, this->profile.maxTokens)
           ? AnswerVerdict::Answered
           : this->Because(AnswerVerdict::Wrong, "another or a truncated answer");
}

} // namespace toucanstand
