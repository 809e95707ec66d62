#include "CallerAnswer.h"

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

using nlohmann::json;

CallerAnswer::CallerAnswer(HttpExchange& aExchange, const CallRequest& aCall)
  : exchange(aExchange)
  , call(aCall)
{
}

Task<bool> CallerAnswer::AddToken(std::string aToken, std::uint64_t aIndex)
{
  ++this->tokens;
  if (this->call.form == AnswerForm::Whole) {
    this->text += aToken;
    co_return !this->exchange.CallerGone();
  }
  if (!co_await this->EnsureStarted()) {
    co_return false;
  }
  const std::string chunk = this->ChunkText(aToken, aIndex);
  co_return co_await this->exchange.WriteChunk(chunk);
}

Task<bool> CallerAnswer::Finish()
{
  if (this->call.form == AnswerForm::Whole) {
    HttpResponse answer = this->WholeAnswer();
    co_return co_await this->exchange.Respond(std::move(answer));
  }
  if (!co_await this->EnsureStarted()) {
    co_return false;
  }
  if (!co_await this->exchange.WriteChunk("data: [DONE]\n\n")) {
    co_return false;
  }
  co_return co_await this->exchange.FinishStream();
}

Task<> CallerAnswer::Fail(CallEnd aEnd)
{
  if (!this->started) {
    HttpResponse response = ToResponse(aEnd, this->call.id.Value());
    co_await this->exchange.Respond(std::move(response));
    co_return;
  }
  const json event = { { "error",
                         { { "type", aEnd.errorType },
                           { "message", aEnd.message },
                           { "outcome", WireName(aEnd.outcome) } } } };
  const std::string chunk = "event: error\ndata: " + EncodeJson(event) + "\n\n";
  co_await this->exchange.WriteChunk(chunk);
  this->exchange.BreakOff();
}

Task<bool> CallerAnswer::EnsureStarted()
{
  if (this->started) {
    co_return true;
  }
  this->started = true;
  HttpHeaders headers = this->StreamHeaders();
  co_return co_await this->exchange.BeginStream(200, std::move(headers));
}

HttpHeaders CallerAnswer::StreamHeaders() const
{
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("Toucanstand-Outcome", WireName(CallOutcome::Answered));
  headers.Add("Request-Id", this->call.id.Value());
  return headers;
}

std::string CallerAnswer::ChunkText(const std::string& aToken, std::uint64_t aIndex) const
{
  json choice = { { "index", 0 }, { "delta", { { "content", aToken } } } };
  const json event = { { "id", this->call.id.Value() },
                       { "object", "chat.completion.chunk" },
                       { "index", aIndex },
                       { "choices", json::array({ std::move(choice) }) } };
  return "data: " + EncodeJson(event) + "\n\n";
}

HttpResponse CallerAnswer::WholeAnswer() const
{
  json message = { { "role", "assistant" }, { "content", this->text } };
  json choice = { { "index", 0 },
                  { "message", std::move(message) },
                  { "finish_reason", "stop" } };
  const json body = { { "id", this->call.id.Value() },
                      { "object", "chat.completion" },
                      { "choices", json::array({ std::move(choice) }) },
                      { "usage", { { "completion_tokens", this->tokens } } } };
  HttpResponse response = JsonResponse(200, EncodeJson(body));
  response.headers.Add("Toucanstand-Outcome", WireName(CallOutcome::Answered));
  response.headers.Add("Request-Id", this->call.id.Value());
  return response;
}

} // namespace toucanstand
