#include "support/SoakCaller.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "support/PlatformStandin.h"

namespace toucanstand {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Longer than the deadline of a request, so that the VM has to answer first.
constexpr milliseconds kPatience = SoakCaller::kDeadline + std::chrono::seconds(4);
constexpr int kSmallReceiveBuffer = 4096;
constexpr milliseconds kPauseOfSlowReader{ 25 };
/// Two in three callers use their connection again, most of them until a VM closes it.
constexpr std::array kRequestsOnConnection = { 1, 3, 50 };
constexpr std::size_t kPieces = 4;
/// Four pieces take at most 1.2 s: half of the time that a VM allows for a head.
constexpr std::uint64_t kLongestPieceMs = 400;
/// Up to five chunks take at most 3.5 s.
constexpr std::uint64_t kLongestChunkMs = 700;
constexpr std::uint64_t kMaxChunks = 5;

HttpHeaders Headers(const SoakRequest& aRequest)
{
  const auto usual = ServerUnderTest::GenerationHeaders(aRequest.attemptId);
  const auto deadline = std::to_string(milliseconds(SoakCaller::kDeadline).count());
  HttpHeaders headers;
  for (const auto& [name, value] : usual.Fields()) {
    headers.Add(name, name == "X-Deadline-Ms" ? deadline : value);
  }
  return headers;
}

const char* Target(SoakRequestKind aKind)
{
  if (aKind == SoakRequestKind::Generation) {
    return "/chat/1";
  }
  return aKind == SoakRequestKind::Idempotent ? "/looks/1" : "/holds/1";
}

} // namespace

SoakCaller::SoakCaller(std::uint64_t aSeed,
                       std::string aName,
                       std::vector<Endpoint> aVms,
                       Manners aManners)
  : random(aSeed)
  , name(std::move(aName))
  , vms(std::move(aVms))
  , manners(aManners)
{
}

SoakCaller::Habits SoakCaller::DrawHabits()
{
  constexpr std::array kSendings = { Sending::AtOnce,
                                     Sending::InPieces,
                                     Sending::InChunks };
  constexpr std::array kTrailings = {
    Trailing::Nothing, Trailing::Nothing, Trailing::LineEnd, Trailing::NextRequest
  };
  Habits habits;
  habits.sending = kSendings.at(this->random.Below(kSendings.size()));
  habits.trailing = kTrailings.at(this->random.Below(kTrailings.size()));
  habits.readsSlowly = this->random.Below(3) == 0;
  habits.requests =
    kRequestsOnConnection.at(this->random.Below(kRequestsOnConnection.size()));
  if (this->manners == Manners::Simple) {
    habits.sending = Sending::AtOnce;
    habits.trailing = Trailing::Nothing;
  }
  return habits;
}

SoakRequest SoakCaller::NewRequest(std::size_t aVm, SoakTime aConnectedAt)
{
  constexpr std::array kKinds = { SoakRequestKind::Generation,
                                  SoakRequestKind::NonIdempotent,
                                  SoakRequestKind::Idempotent };
  SoakRequest request;
  request.attemptId = this->name + "-" + std::to_string(this->requestCount++);
  request.kind = kKinds.at(this->random.Below(kKinds.size()));
  request.vm = aVm;
  request.connectedAt = aConnectedAt;
  request.quietSince = aConnectedAt;
  return request;
}

std::vector<SoakCaller::Piece> SoakCaller::MakePieces(const SoakRequest& aRequest,
                                                      Sending aSending)
{
  const bool hasBody = aRequest.kind != SoakRequestKind::Idempotent;
  const auto* const method = hasBody ? "POST" : "GET";
  const auto headers = Headers(aRequest);
  const auto pause = [this](std::uint64_t aLongest) {
    return milliseconds(this->random.Below(aLongest + 1));
  };
  std::vector<Piece> pieces;
  if (aSending == Sending::InChunks && hasBody) {
    pieces.push_back({ ChunkedRequestHead(method, Target(aRequest.kind), headers) });
    for (auto chunk = this->random.Below(kMaxChunks); chunk > 0; --chunk) {
      pieces.push_back({ ChunkText("part of a prompt "), pause(kLongestChunkMs) });
    }
    pieces.push_back(
      { ChunkText(aRequest.attemptId) + ChunkText(""), pause(kLongestChunkMs) });
    return pieces;
  }
  // Callers send different bodies: equal ones would share the suspicion of a crash.
  auto text = RequestText(method,
                          Target(aRequest.kind),
                          headers,
                          hasBody ? "prompt " + aRequest.attemptId : "");
  if (aSending == Sending::AtOnce) {
    return { { std::move(text) } };
  }
  const auto size = text.size() / kPieces;
  for (std::size_t piece = 0; piece < kPieces; ++piece) {
    const bool isLast = piece + 1 == kPieces;
    pieces.push_back({ text.substr(piece * size, isLast ? std::string::npos : size),
                       piece == 0 ? milliseconds(0) : pause(kLongestPieceMs) });
  }
  return pieces;
}

void SoakCaller::Send(CallerConnection& aConnection,
                      SoakRequest& aRequest,
                      Sending aSending)
{
  for (const auto& piece : this->MakePieces(aRequest, aSending)) {
    std::this_thread::sleep_for(piece.pauseBefore);
    if (!aConnection.Send(piece.bytes)) {
      return;
    }
    if (!aRequest.firstByteSentAt) {
      aRequest.firstByteSentAt = steady_clock::now();
    }
  }
  aRequest.wholeSentAt = steady_clock::now();
}

void SoakCaller::Receive(CallerConnection& aConnection,
                         SoakRequest& aRequest,
                         const Habits& aHabits)
{
  aRequest.answer = aConnection.ReadAnswer(
    kPatience, aHabits.readsSlowly ? kPauseOfSlowReader : milliseconds(0));
  aRequest.endedAt = steady_clock::now();
}

bool SoakCaller::UseConnection(const RequestEnded& aRequestEnded)
{
  const auto habits = this->DrawHabits();
  const std::size_t vm = this->random.Below(this->vms.size());
  const auto connectedAt = steady_clock::now();
  CallerConnection connection(this->vms.at(vm),
                              habits.readsSlowly ? std::optional(kSmallReceiveBuffer)
                                                 : std::nullopt);
  auto quietSince = connectedAt;
  bool isKept = true;
  bool isSuccess = false;
  bool mayGoOn = true;
  for (int number = 0; isKept && mayGoOn && number < habits.requests; ++number) {
    std::vector<SoakRequest> requests;
    requests.push_back(this->NewRequest(vm, connectedAt));
    this->Send(connection, requests.back(), habits.sending);
    if (habits.trailing == Trailing::LineEnd) {
      connection.Send("\r\n");
    } else if (habits.trailing == Trailing::NextRequest) {
      requests.push_back(this->NewRequest(vm, connectedAt));
      this->Send(connection, requests.back(), Sending::AtOnce);
    }
    for (auto& request : requests) {
      request.quietSince = quietSince;
      request.followsLastAnswer = !isKept;
      request.endedAt = steady_clock::now();
      if (isKept) {
        Receive(connection, request, habits);
      }
      isKept = isKept && request.answer.isComplete && !request.answer.ClosesConnection();
      isSuccess = request.answer.isComplete && request.answer.status == 200;
      quietSince = request.endedAt;
      mayGoOn = aRequestEnded(std::move(request));
    }
  }
  return isSuccess;
}

SoakRequest SoakCaller::Generate(std::size_t aVm)
{
  const auto connectedAt = steady_clock::now();
  CallerConnection connection(this->vms.at(aVm));
  auto request = this->NewRequest(aVm, connectedAt);
  request.kind = SoakRequestKind::Generation;
  this->Send(connection, request, Sending::AtOnce);
  Receive(connection, request, Habits{});
  return request;
}

} // namespace toucanstand
