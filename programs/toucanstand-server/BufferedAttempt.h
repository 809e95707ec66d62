#pragma once

#include <memory>
#include <optional>

#include "BackgroundAttempt.h"
#include "Call.h"
#include "CallSender.h"
#include "ServingState.h"

namespace toucanstand {

/// One attempt of a call at an instance of a plain service, until its response is read.
class BufferedAttempt : public std::enable_shared_from_this<BufferedAttempt>
{
public:
  /// Records the begin of the attempt. All must outlive it.
  BufferedAttempt(ServingState& aState, Call& aCall, Candidate aCandidate);

  /// Sends the request and reads the head of the response.
  Task<std::optional<FailedAttempt>> Open(CallSender::Target aTarget);

  /// Reads the rest of the response.
  Task<std::optional<FailedAttempt>> ReadResponse();

  /// Does both beside another attempt.
  void RunBeside(CallSender::Target aTarget);

  /// What RunBeside() began; null without it.
  [[nodiscard]] BackgroundAttempt* Background()
  {
    return this->running ? &*this->running : nullptr;
  }

  /// The response, once its head has been read.
  [[nodiscard]] const HttpClientStream& Stream() const { return *this->stream; }

  void Cancel() { this->sender.Cancel(); }

  /// Closes the connection and records the end of the attempt. Call exactly once.
  void End(const std::optional<FailedAttempt>& aFailedAttempt);

  [[nodiscard]] const Candidate& Server() const { return this->candidate; }
  [[nodiscard]] TimePoint StartedAt() const { return this->startedAt; }
  /// When the head of the response had arrived.
  [[nodiscard]] const std::optional<TimePoint>& HeadAt() const { return this->headAt; }
  /// The response, once the attempt has succeeded.
  [[nodiscard]] HttpResponse& Response() { return *this->response; }

private:
  Task<std::optional<FailedAttempt>> Run(CallSender::Target aTarget);
  void Log(const std::optional<FailedAttempt>& aFailedAttempt, TimePoint aNow);

  ServingState& state;
  Call& call;
  Candidate candidate;
  CallSender sender;
  TimePoint startedAt;
  /// See ServingState::OnRunStarted().
  RequestId run;
  std::unique_ptr<HttpClientStream> stream;
  std::optional<BackgroundAttempt> running;
  std::optional<TimePoint> headAt;
  std::optional<HttpResponse> response;
  /// The server named a time for which it wants nothing.
  bool serverWaits = false;
};

} // namespace toucanstand
