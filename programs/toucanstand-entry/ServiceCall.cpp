#include "ServiceCall.h"

namespace toucanstand {

namespace {

constexpr std::size_t kMostAnswerBytes = 16U << 20U;

} // namespace

Task<BackendCall::AttemptResult> ServiceCall::Attempt(const Candidate& aCandidate,
                                                      std::uint32_t aNumber)
{
  HttpRequest request = this->MakeRequest(aNumber);
  auto opened = co_await this->context.client.Open(aCandidate.endpoint,
                                                   std::move(request),
                                                   this->Deadlines(),
                                                   this->Connections(),
                                                   this->state.cancel);
  if (!opened) {
    co_return co_await this->Judge(opened.LastReason(), aCandidate);
  }
  auto& stream = **opened;
  HttpResponse response;
  response.status = stream.Status();
  const auto contentType = stream.Headers().Find("Content-Type");
  if (!contentType.empty()) {
    response.headers.Add("Content-Type", std::string(contentType));
  }
  if (this->StatesNotRun(stream.Status(), stream.Headers())) {
    co_return AttemptFailure::RefusedAsNotRun;
  }
  while (true) {
    auto piece = co_await stream.Read(this->state.cancel);
    if (!piece) {
      co_return co_await this->Judge(piece.LastReason(), aCandidate);
    }
    if (piece->empty()) {
      co_return this->Conclude(std::move(response));
    }
    response.body += *piece;
    if (response.body.size() > kMostAnswerBytes) {
      co_return MakeError(
        CallOutcome::Unknown, 502, "answer_too_large", "the answer exceeds 16 MiB");
    }
  }
}

HttpRequest ServiceCall::MakeRequest(std::uint32_t aNumber) const
{
  const auto& call = this->state.request;
  HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.headers.Add("Request-Id", call.id.Value() + "." + std::to_string(aNumber));
  request.headers.Add("Client-Account", call.account.id.Value());
  if (!call.contentType.empty()) {
    request.headers.Add("Content-Type", call.contentType);
  }
  if (!call.idempotencyKey.empty()) {
    request.headers.Add("Idempotency-Key", call.idempotencyKey);
  }
  return request;
}

BackendCall::AttemptResult ServiceCall::Conclude(HttpResponse aResponse)
{
  if (aResponse.status >= 500) {
    return AttemptFailure::ServerError;
  }
  this->tracker.OnAnswered();
  CallEnd end;
  end.outcome = CallOutcome::Answered;
  end.status = aResponse.status;
  end.answer = std::move(aResponse);
  return end;
}

} // namespace toucanstand
