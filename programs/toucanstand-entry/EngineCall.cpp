#include "EngineCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::string_view kFinishMark = "[DONE]";

/// Sends a cancel request; nobody waits for its reply.
Task<> SendCancel(HttpClient& aClient, Endpoint aEndpoint, std::string aAttemptId)
{
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/v1/requests/" + aAttemptId;
  HttpDeadlines deadlines;
  deadlines.head = std::chrono::seconds(1);
  deadlines.progress = std::chrono::seconds(1);
  (void)co_await aClient.Fetch(std::move(aEndpoint), std::move(request), deadlines);
}

} // namespace

EngineCall::EngineCall(EntryContext& aContext, CallState& aState, CallerAnswer& aAnswer)
  : BackendCall(aContext, aState)
  , answer(aAnswer)
{
}

Task<BackendCall::AttemptResult> EngineCall::Attempt(const Candidate& aCandidate,
                                                     std::uint32_t aNumber)
{
  this->assembler.OnAttemptStarted(aNumber);
  this->events = EventStreamReader();
  this->finishMarkSeen = false;
  this->attemptStartedAt = BootClock::now();
  HttpRequest request = this->MakeRequest(aCandidate, aNumber);
  auto opened = co_await this->context.client.Open(aCandidate.endpoint,
                                                   std::move(request),
                                                   this->Deadlines(),
                                                   this->Connections(),
                                                   this->state.cancel);
  if (!opened) {
    if (opened.LastReason() == HttpFailure::Cancelled) {
      this->CancelAt(aCandidate, aNumber);
    }
    co_return co_await this->Judge(opened.LastReason(), aCandidate);
  }
  auto& stream = **opened;
  if (stream.Status() == 200) {
    co_return co_await this->ReadAnswer(stream, aCandidate, aNumber);
  }
  if (this->StatesNotRun(stream.Status(), stream.Headers())) {
    co_return AttemptFailure::RefusedAsNotRun;
  }
  if (stream.Status() >= 500) {
    co_return AttemptFailure::ServerError;
  }
  co_return MakeError(CallOutcome::Answered,
                      stream.Status(),
                      "rejected_by_engine",
                      "the engine rejected the request");
}

Task<BackendCall::AttemptResult> EngineCall::ReadAnswer(HttpClientStream& aStream,
                                                        const Candidate& aCandidate,
                                                        std::uint32_t aNumber)
{
  while (true) {
    auto piece = co_await aStream.Read(this->state.cancel);
    if (!piece) {
      if (piece.LastReason() == HttpFailure::Cancelled) {
        this->CancelAt(aCandidate, aNumber);
      }
      co_return co_await this->Judge(piece.LastReason(), aCandidate);
    }
    if (piece->empty()) {
      // A body that ends cleanly without the finish mark is a part of an answer.
      if (!this->finishMarkSeen) {
        co_return AttemptFailure::BrokenInBody;
      }
      co_return co_await this->Finish(aNumber);
    }
    std::vector<TokenEvent> tokens;
    if (!this->ReadEvents(*piece, tokens)) {
      this->CancelAt(aCandidate, aNumber);
      co_return AttemptFailure::BrokenInBody;
    }
    if (!tokens.empty()) {
      this->NoteProgress(aCandidate);
    }
    if (auto failure = co_await this->TakeTokens(std::move(tokens), aNumber)) {
      this->CancelAt(aCandidate, aNumber);
      co_return *failure;
    }
  }
}

Task<std::optional<AttemptFailure>> EngineCall::TakeTokens(
  std::vector<TokenEvent> aEvents,
  std::uint32_t aNumber)
{
  for (auto& event : aEvents) {
    switch (this->assembler.OnToken(aNumber, event.index)) {
      case TokenDecision::Emit: {
        const bool callerThere =
          co_await this->answer.AddToken(std::move(event.token), event.index);
        this->tracker.OnTokensReceived(this->assembler.ResumeOffset());
        if (!callerThere) {
          this->state.Cancel(CancelReason::CallerLeft);
          co_return AttemptFailure::CallerLeft;
        }
        break;
      }
      case TokenDecision::Duplicate:
      case TokenDecision::StaleAttempt:
      case TokenDecision::AfterFinish:
        this->context.metrics.Count("tokens_dropped_total");
        break;
      case TokenDecision::Gap:
      case TokenDecision::TooLong:
        co_return AttemptFailure::BrokenInBody;
    }
  }
  co_return std::nullopt;
}

Task<BackendCall::AttemptResult> EngineCall::Finish(std::uint32_t aNumber)
{
  if (this->assembler.OnFinish(aNumber) != FinishDecision::Complete) {
    co_return AttemptFailure::BrokenInBody;
  }
  this->tracker.OnAnswered();
  CallEnd end;
  end.status = 200;
  end.outcome = CallOutcome::Answered;
  if (!co_await this->answer.Finish()) {
    this->state.Cancel(CancelReason::CallerLeft);
    end.status = 499;
  }
  co_return end;
}

bool EngineCall::ReadEvents(const std::string& aPiece, std::vector<TokenEvent>& aEvents)
{
  bool wellFormed = true;
  const bool bounded = this->events.Feed(aPiece, [&](std::string_view aData) {
    if (aData == kFinishMark) {
      this->finishMarkSeen = true;
      return;
    }
    const auto event = DecodeJson(aData);
    if (!event || !event->is_object() || !event->contains("index") ||
        !event->at("index").is_number_unsigned() || !event->contains("token") ||
        !event->at("token").is_string()) {
      wellFormed = false;
      return;
    }
    aEvents.push_back(
      { event->at("index").get<std::uint64_t>(), event->at("token").get<std::string>() });
  });
  return bounded && wellFormed;
}

void EngineCall::NoteProgress(const Candidate& aCandidate)
{
  const auto now = BootClock::now();
  const auto& request = this->state.request;
  if (!this->firstTokenSeen) {
    this->firstTokenSeen = true;
    this->context.RouterFor(aCandidate.pool)
      .OnFirstByte(aCandidate.id, now - this->attemptStartedAt, now, request.workClass);
    this->context.metrics.Record(std::string("first_token_seconds{class=\"") +
                                   Name(request.workClass) + "\"}",
                                 now - request.arrivedAt);
  } else {
    this->context.metrics.Record("token_gap_seconds", now - this->lastTokenAt);
  }
  this->lastTokenAt = now;
}

void EngineCall::CancelAt(const Candidate& aCandidate, std::uint32_t aNumber)
{
  this->context.metrics.Count("engine_cancels_total");
  boost::asio::co_spawn(
    this->context.loop,
    SendCancel(this->context.client, aCandidate.endpoint, this->AttemptId(aNumber)),
    boost::asio::detached);
}

HttpRequest EngineCall::MakeRequest(const Candidate& aCandidate,
                                    std::uint32_t aNumber) const
{
  const auto& call = this->state.request;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("Request-Id", this->AttemptId(aNumber));
  request.headers.Add("Priority", call.workClass == WorkClass::Short ? "1" : "0");
  request.headers.Add("Group", aCandidate.id);
  request.headers.Add("Generation", std::to_string(aCandidate.generation));
  if (this->assembler.ResumeOffset() > 0) {
    request.headers.Add("Resume-Offset", std::to_string(this->assembler.ResumeOffset()));
  }
  request.body = call.body;
  return request;
}

std::string EngineCall::AttemptId(std::uint32_t aNumber) const
{
  return this->state.request.id.Value() + "." + std::to_string(aNumber);
}

} // namespace toucanstand
