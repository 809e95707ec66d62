#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// A backend server in trouble sends something else than a whole answer. It has read the
// request and may run it.

namespace {

using End = InjectedAnswer::End;

/// Nothing of a broken answer reaches a client, and this field least of all.
const std::string kMark = "X-Broken";
const std::string kFields =
  "X-Attempt-Id: {ID}\r\nX-Engine-Stamp: s\r\n" + kMark + ": 1\r\n";
const std::string kEvent = "id: 1\ndata: piece 1\n\n";
const std::string kLength = "Content-Length: " + std::to_string(kEvent.size()) + "\r\n";
/// Larger than what the buffers of both sockets hold.
constexpr std::size_t kUploadBytes = 8U << 20U;
constexpr std::size_t kMostBodyBytes = 2 * kUploadBytes;

/// What a client asks for.
struct Request
{
  std::string path;
  bool isStream = false;
  /// Another server may run it after one that may have run it.
  bool mayRepeat = false;
};

const std::array<Request, 4> kRequests = { { { "/holds/1", false, false },
                                             { "/looks/1", false, true },
                                             { "/once/1", true, false },
                                             { "/chat/1", true, true } } };

/// The default configuration with large bodies and a stream that must not be repeated.
json Configuration()
{
  const auto base = PlatformStandin::DefaultConfiguration(1);
  auto routes = base.at("Routes");
  auto once = routes.at(0);
  once["Name"] = "/once/";
  once["PathPrefix"] = "/once/";
  once["CanResume"] = false;
  routes.push_back(once);
  auto limits = base.at("Limits");
  limits["MaxBodyBytes"] = kMostBodyBytes;
  return { { "Routes", routes }, { "Limits", limits } };
}

/// What a client got for a request that met injected answers.
struct MetAnswer
{
  std::string attemptId;
  ReceivedAnswer answer;
};

struct Fixture
{
  static constexpr int kEngines = 6;
  /// Sound requests for each broken answer: the server repeats a share of all requests.
  static constexpr int kSoundRequests = 10;

  Fixture()
    : platform(kEngines)
  {
    this->platform.AddInjectors();
    this->platform.SetEventInterval(std::chrono::milliseconds(1));
    this->platform.WriteConfiguration(2, Configuration());
    this->server = std::make_unique<ServerUnderTest>(this->platform, "vm-1");
    this->server->WaitForGroups(kEngines / 2);
  }

  /// Sends requests until one meets all of the answers. A server that has failed gets no
  /// request for a while.
  MetAnswer Meet(const Request& aRequest,
                 const std::vector<InjectedAnswer>& aAnswers,
                 std::size_t aBodyBytes)
  {
    const std::string body(aBodyBytes, 'q');
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < deadline) {
      this->SendSoundRequests(aRequest);
      this->platform.InjectAnswers(aAnswers);
      const auto id = "broken-" + std::to_string(++this->count);
      CallerConnection connection(this->server->listenEndpoint);
      connection.Send(
        RequestText("POST", aRequest.path, ServerUnderTest::GenerationHeaders(id), body));
      auto answer = connection.ReadAnswer(std::chrono::seconds(8));
      if (this->platform.InjectedAnswerCount(id) == aAnswers.size()) {
        return { id, std::move(answer) };
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    FAIL("no request met the answers");
    return {};
  }

  /// Lets a request meet the answer, and checks what its client gets.
  void CheckBroken(const Request& aRequest,
                   const InjectedAnswer& aAnswer,
                   std::size_t aBodyBytes)
  {
    INFO(aRequest.path << ' ' << aAnswer.pieces.front());
    const auto met = this->Meet(aRequest, { aAnswer }, aBodyBytes);
    this->CheckReceived(aRequest, met.attemptId, met.answer);
  }

  void SendSoundRequests(const Request& aRequest)
  {
    this->platform.InjectAnswers({});
    for (int number = 0; number < kSoundRequests; ++number) {
      const auto id = "sound-" + std::to_string(++this->count);
      (void)this->server->caller.Call(this->server->listenEndpoint,
                                      "POST",
                                      aRequest.path,
                                      "",
                                      ServerUnderTest::GenerationHeaders(id));
    }
  }

  void CheckReceived(const Request& aRequest,
                     const std::string& aId,
                     const ReceivedAnswer& aReceived)
  {
    INFO(aReceived.status << ' ' << aReceived.body);
    CHECK(!aReceived.headers.Has(kMark));
    const auto runs = this->platform.Runs();
    const bool hasRun = std::ranges::any_of(
      runs, [&aId](const RecordedRun& aRun) { return aRun.attemptId == aId; });
    if (!aRequest.mayRepeat) {
      CHECK(aReceived.status == 502);
      CHECK(!hasRun);
    }
    if (aReceived.status != 200) {
      CHECK((aReceived.status == 502 || aReceived.status == 504));
      CHECK(aReceived.isComplete);
      CHECK(aReceived.headers.Find("Toucanstand-Outcome") == "unknown");
      return;
    }
    ++this->answeredByAnother;
    CHECK(hasRun);
    CHECK(aReceived.isComplete);
    CHECK((aRequest.isStream ? aReceived.body == BackendServerStandin::CompleteStream()
                             : aReceived.body.starts_with("answer of stock-")));
  }

  PlatformStandin platform;
  std::unique_ptr<ServerUnderTest> server;
  int count = 0;
  int answeredByAnother = 0;
};

/// An answer of which the end of the connection is the end.
InjectedAnswer AnswerOf(const std::string& aStatus,
                        const std::string& aFields,
                        const std::string& aBody = kEvent)
{
  return { { "HTTP/1.1 " + aStatus + "\r\n" + kFields + aFields + "\r\n" + aBody },
           End::Close };
}

void CheckBroken(const std::vector<InjectedAnswer>& aAnswers, std::size_t aBodyBytes = 1)
{
  Fixture fixture;
  for (const auto& request : kRequests) {
    for (const auto& answer : aAnswers) {
      fixture.CheckBroken(request, answer, aBodyBytes);
    }
  }
  CHECK(fixture.answeredByAnother > 0);
}

} // namespace

TEST_CASE("A client gets no answer with a number that is no status", "[broken]")
{
  // Guards against status 000 of a server in trouble that is passed on as its answer.
  std::vector<InjectedAnswer> answers;
  for (const std::string status : { "000 Trouble", "099 Trouble", "600 Trouble" }) {
    answers.push_back(AnswerOf(status, kLength));
  }
  answers.push_back(AnswerOf("000 Trouble", ""));
  CheckBroken(answers);
}

TEST_CASE("A client gets no answer in another protocol", "[broken]")
{
  // Guards against bytes after an unasked switch of protocols that are passed on.
  const auto answer = AnswerOf("200 OK", kLength).pieces.front();
  CheckBroken({ AnswerOf("101 Switching Protocols", "", answer) });
}

TEST_CASE("A client gets no part of an answer that came before the whole upload",
          "[broken]")
{
  // Guards against a body without a length whose server resets the connection while the
  // request is still being written.
  const auto head = " 200 OK\r\n" + kFields + "\r\n";
  const std::string oldVersion = "HTTP/1.0" + head;
  const std::string version = "HTTP/1.1" + head;
  std::vector<InjectedAnswer> answers;
  for (const std::string body : { "", "id: 1\ndata: piece 1\n\n", "id: 1\ndata: pi" }) {
    answers.push_back({ { oldVersion + body }, End::Reset, true });
    answers.push_back({ { version + body }, End::Reset, true });
  }
  CheckBroken(answers, kUploadBytes);
}

TEST_CASE("A client gets no stream as complete that a part of its rest follows",
          "[broken]")
{
  // Guards against the same part from an engine that is to continue a stream.
  Fixture fixture;
  const auto& request = kRequests.at(3);
  const std::string head = "HTTP/1.1 200 OK\r\n" + kFields;
  const InjectedAnswer beginning = {
    { head + "Transfer-Encoding: chunked\r\n\r\n" + ChunkText(kEvent) }, End::Close
  };
  const InjectedAnswer part = { { head + "\r\nid: 2\ndata: piece 2\n\n" },
                                End::Reset,
                                true };
  const auto met = fixture.Meet(request, { beginning, part }, kUploadBytes);
  INFO(met.answer.body);
  CHECK(met.answer.status == 200);
  CHECK(met.answer.body.starts_with(kEvent));
  const auto complete = BackendServerStandin::CompleteStream();
  CHECK(complete.starts_with(met.answer.body));
  CHECK(met.answer.isComplete == (met.answer.body == complete));
}

TEST_CASE("A client gets no answer whose head has a line that begins with a blank",
          "[broken]")
{
  // Guards against a line that is passed on as a part of the field before it, and against
  // another body than the server's where the line names its length.
  CheckBroken({ AnswerOf("200 OK", " " + kLength, kEvent + "surplus"),
                AnswerOf("200 OK", kLength + "\tX-Second: b\r\n"),
                AnswerOf("500 Internal Server Error", kLength + " X-Second: b\r\n") });
}

TEST_CASE("A client gets no answer whose head has a name with a byte of no name",
          "[broken]")
{
  // Guards against a line that is passed on, or ignored where it names the length.
  CheckBroken({ AnswerOf("200 OK", kLength + "X Second: b\r\n"),
                AnswerOf("200 OK", kLength + "X\x01Second: b\r\n"),
                AnswerOf("200 OK", "Content-Length : 5\r\n"),
                AnswerOf("200 OK", "Content\t-Length: 5\r\n") });
}

TEST_CASE("A client gets no answer in a coding that it is not told", "[broken]")
{
  // Guards against a coded body that is passed on without the name of its coding.
  const auto chunks = ChunkText(kEvent) + ChunkText("");
  CheckBroken({ AnswerOf("200 OK", "Transfer-Encoding: gzip, chunked\r\n", chunks),
                AnswerOf("200 OK", "Transfer-Encoding: chunked;q=1\r\n", chunks) });
}
