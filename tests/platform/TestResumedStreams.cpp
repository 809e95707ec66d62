#include <chrono>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// A stream breaks off, and the engine that is to continue it answers with something else
// than the rest of the stream.

namespace {

using End = InjectedAnswer::End;

const std::string kSignedFields = "X-Attempt-Id: {ID}\r\nX-Engine-Stamp: stamp-x\r\n";
const std::string kEventFields = kSignedFields + "Content-Type: text/event-stream\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kErrorText = R"({"error":{"message":"engine failed"}})";

std::string Head(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields + "\r\n";
}

std::string Event(int aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: piece " + number + "\n\n";
}

/// The events with these numbers, both included.
std::string Events(int aFirst, int aLast)
{
  std::string text;
  for (int number = aFirst; number <= aLast; ++number) {
    text += Event(number);
  }
  return text;
}

const std::string kRest = Events(4, BackendServerStandin::kEventCount);

/// A signed event stream of the request in one chunk, with its end.
std::string Stream(const std::string& aEvents, const std::string& aStatus = "200 OK")
{
  auto text = Head(aStatus, kEventFields + kChunked);
  text += aEvents.empty() ? "" : ChunkText(aEvents);
  return text + ChunkText("");
}

std::string WithLength(const std::string& aStatus,
                       const std::string& aFields,
                       const std::string& aBody)
{
  return Head(aStatus,
              aFields + "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         aBody;
}

/// A stream that breaks off within its fourth event.
InjectedAnswer BrokenStream()
{
  return { { Head("200 OK", kEventFields + kChunked) + ChunkText(Events(1, 3)),
             ChunkText("id: 4\ndata: pie") },
           End::Close };
}

struct Continuation
{
  std::string name;
  InjectedAnswer answer;
  /// Nothing but the events before it shows that it is wrong.
  bool hasOwnNumbering = false;
};

std::vector<Continuation> ErrorAnswers()
{
  const std::string json = "Content-Type: application/json\r\n";
  std::vector<Continuation> errors;
  const auto add = [&errors](const std::string& aName,
                             const std::string& aBytes,
                             End aEnd = End::Close) {
    errors.push_back({ aName, { { aBytes }, aEnd } });
  };
  const std::string error = "500 Internal Server Error";
  add("500 with a length", WithLength(error, kSignedFields + json, kErrorText));
  add("500 in chunks",
      Head(error, kSignedFields + json + kChunked) + ChunkText(kErrorText) +
        ChunkText(""));
  add("500 that ends with its connection",
      Head(error, kSignedFields + json) + kErrorText);
  add("500 without a signature", WithLength(error, json, kErrorText));
  add("500 whose body is a stream", Stream(kRest, error));
  add("500 whose body does not end",
      Head(error, kSignedFields + "Content-Length: 500\r\n") + kErrorText,
      End::StayOpen);
  add("500 that is reset",
      Head(error, kSignedFields + "Content-Length: 500\r\n") + kErrorText,
      End::Reset);
  add("503 of another request",
      WithLength("503 Service Unavailable",
                 "X-Attempt-Id: earlier-1\r\nX-Not-Run: 1\r\n",
                 kErrorText));
  add("200 with JSON and a length",
      WithLength("200 OK", kSignedFields + json, kErrorText));
  add("200 with JSON that ends with its connection",
      Head("200 OK", kSignedFields + json) + kErrorText + "\n\n");
  add("200 with JSON and an empty line",
      WithLength("200 OK", kSignedFields + json, kErrorText + "\n\n"));
  add("200 with JSON and no content type",
      WithLength("200 OK", kSignedFields, kErrorText + "\n\n"));
  add("200 with JSON as an event stream",
      WithLength("200 OK", kEventFields, kErrorText + "\n\n"));
  add("200 with text as an event stream", Stream("engine failed\n\n"));
  add("200 with HTML",
      WithLength("200 OK", kSignedFields + "Content-Type: text/html\r\n", kRest));
  add("200 with plain text",
      WithLength("200 OK", kSignedFields + "Content-Type: text/plain\r\n", kRest));
  add("200 without a signature",
      WithLength(
        "200 OK", "X-Attempt-Id: {ID}\r\nContent-Type: text/event-stream\r\n", kRest));
  add("200 of another request",
      WithLength("200 OK",
                 "X-Attempt-Id: earlier-1\r\nX-Engine-Stamp: s\r\n"
                 "Content-Type: text/event-stream\r\n",
                 kRest));
  add("200 of two requests",
      WithLength("200 OK", kEventFields + "X-Attempt-Id: earlier-1\r\n", kRest));
  add("an error event without an id", Stream("event: error\ndata: engine failed\n\n"));
  add("an error event without an id after right events",
      Stream(Events(4, 6) + "event: error\ndata: engine failed\n\n"));
  add("an event that names two ids", Stream("id: 4\nid: 9\ndata: piece 4\n\n"));
  add("ids that are no numbers", Stream("id: a\ndata: engine failed\n\n"));
  add("an id beyond 64 bits",
      Stream("id: 18446744073709551620\ndata: engine failed\n\n"));
  add("a first event without an id", Stream("data: engine failed\n\n" + kRest));
  add("a stream that starts again", Stream(Events(1, 12)));
  add("a stream that skips an event", Stream(Events(5, 12)));
  add("a stream that skips a later event", Stream(Events(4, 6) + Events(8, 12)));
  add("a stream that repeats the last event", Stream(Events(3, 12)));
  add("a stream whose ids go back", Stream(Events(4, 6) + Events(5, 12)));
  add("a head within a chunk",
      Stream(Events(4, 5) + WithLength(error, json, kErrorText) + "\r\n\r\n"));
  add(
    "a head within an event",
    Stream(Event(4) + "id: 5\ndata: pie" + WithLength(error, json, kErrorText) + "\n\n"));
  add("a head in place of a chunk",
      Head("200 OK", kEventFields + kChunked) + ChunkText(Events(4, 5)) +
        WithLength(error, json, kErrorText));
  add("a head in place of a chunk that has begun",
      Head("200 OK", kEventFields + kChunked) + "40\r\n" + Event(4) +
        WithLength(error, json, kErrorText));
  add("an empty stream", Stream(""));
  add("an empty stream that ends with its connection", Head("200 OK", kEventFields));
  add("an empty stream with a length", WithLength("200 OK", kEventFields, ""));
  add("a stream with comments only", Stream(": engine failed\n\n"));
  add("204", Head("204 No Content", kEventFields));
  add("206", Stream(kRest, "206 Partial Content"));
  add("302", WithLength("302 Found", kSignedFields + "Location: /other\r\n", kErrorText));
  add("304", Head("304 Not Modified", kEventFields));
  add("a number that is no status", Stream(kRest, "000 Trouble"));
  add("a switch of protocols", Head("101 Switching Protocols", "") + Stream(kRest));
  add("a head with a line that begins with a blank",
      WithLength("200 OK", kEventFields + "X-First: a\r\n b: c\r\n", kErrorText));
  add("a coding before the chunks",
      Head("200 OK", kEventFields + "Transfer-Encoding: gzip, chunked\r\n") +
        ChunkText(kErrorText + "\n\n") + ChunkText(""));
  add("nothing", "");
  add("bytes that are no HTTP", kErrorText + "\r\n\r\n");
  for (auto& answer : errors) {
    answer.hasOwnNumbering =
      answer.name == "ids that are no numbers" || answer.name == "an id beyond 64 bits";
  }
  return errors;
}

std::vector<Continuation> RightAnswers()
{
  const std::string interim = Head("100 Continue", "X-Attempt-Id: earlier-1\r\n");
  return {
    { "the rest", { { Stream(kRest) }, End::Close } },
    { "the rest after an interim answer", { { interim + Stream(kRest) }, End::Close } },
    { "the rest after a comment", { { Stream(": wait\n\n" + kRest) }, End::Close } },
    { "the rest without a content type",
      { { WithLength("200 OK", kSignedFields, kRest) }, End::Close } },
    { "the rest and a mark of its end",
      { { Stream(kRest + "data: [DONE]\n\n") }, End::Close } },
    { "the rest with lines that end with CRLF",
      { { Stream("id: 4\r\ndata: piece 4\r\n\r\n" + Events(5, 12)) }, End::Close } },
  };
}

/// Platform with three groups and a server that may send a request to each of them.
struct Fixture
{
  static constexpr int kEngines = 6;
  /// Sound requests for each one that is to be repeated: the server repeats a share.
  static constexpr int kSoundRequests = 20;

  Fixture()
    : platform(kEngines)
  {
    this->platform.AddInjectors();
    this->platform.SetEventInterval(std::chrono::milliseconds(1));
    this->WriteRoute(true);
    this->server = std::make_unique<ServerUnderTest>(this->platform, "vm-1");
    this->server->WaitForGroups(3);
  }

  void WriteRoute(bool aIsResumable)
  {
    auto routes = PlatformStandin::DefaultConfiguration(1).at("Routes");
    routes[0]["MaxAttempts"] = 3;
    routes[0]["CanResume"] = aIsResumable;
    this->platform.WriteConfiguration(++this->version, { { "Routes", routes } });
  }

  void SetResumable(bool aIsResumable)
  {
    this->WriteRoute(aIsResumable);
    this->server->caller.WaitFor(
      this->server->operatorEndpoint, "/state", [this](const json& aState) {
        return aState.at("state").at("configuration_version") == this->version;
      });
  }

  /// Sends requests until one meets all of the answers. A group that has failed gets no
  /// request for a while, and requests are refused meanwhile.
  std::optional<ReceivedAnswer> Meet(const std::vector<InjectedAnswer>& aAnswers)
  {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < deadline) {
      this->platform.InjectAnswers({});
      for (int number = 0; number < kSoundRequests; ++number) {
        (void)this->server->Generate("sound-" + std::to_string(++this->count));
      }
      this->platform.InjectAnswers(aAnswers);
      const auto id = "resumed-" + std::to_string(++this->count);
      CallerConnection connection(this->server->listenEndpoint);
      connection.Send(
        RequestText("POST", "/chat/1", ServerUnderTest::GenerationHeaders(id), "prompt"));
      const auto startedAt = std::chrono::steady_clock::now();
      auto answer = connection.ReadAnswer(std::chrono::seconds(8));
      this->longest =
        std::max(this->longest, std::chrono::steady_clock::now() - startedAt);
      this->attemptId = id;
      if (this->platform.InjectedAnswerCount(id) == aAnswers.size()) {
        return answer;
      }
    }
    return std::nullopt;
  }

  PlatformStandin platform;
  std::unique_ptr<ServerUnderTest> server;
  int version = 1;
  int count = 0;
  std::string attemptId;
  std::chrono::steady_clock::duration longest{ 0 };
};

} // namespace

TEST_CASE("A stream that broke off goes on with the right events or stays broken off",
          "[resumed]")
{
  // Guards against an error of the next engine that the client finds in its stream, and
  // against a stream that ends as complete although events are missing.
  Fixture fixture;
  const auto complete = BackendServerStandin::CompleteStream();
  std::size_t completed = 0;
  for (const auto& continuation : ErrorAnswers()) {
    INFO(continuation.name);
    const auto answer = fixture.Meet({ BrokenStream(), continuation.answer });
    REQUIRE(answer.has_value());
    CHECK(answer->status == 200);
    CHECK(answer->headers.Find("X-Attempt-Id") == fixture.attemptId);
    INFO(answer->body);
    if (answer->isComplete) {
      CHECK(answer->body == complete);
      ++completed;
    } else {
      CHECK(complete.starts_with(answer->body));
      CHECK(answer->body.starts_with(Events(1, 3)));
    }
  }
  // Some found the third engine in time.
  CHECK(completed > 0);
  // An error whose body does not end must not hold the stream until its deadline.
  CHECK(fixture.longest < std::chrono::seconds(4));
}

TEST_CASE("A stream that broke off goes on with each form of the right events",
          "[resumed]")
{
  // Guards against streams that are broken off, although the next engine answers well.
  Fixture fixture;
  for (const auto& continuation : RightAnswers()) {
    INFO(continuation.name);
    const auto answer = fixture.Meet({ BrokenStream(), continuation.answer });
    REQUIRE(answer.has_value());
    CHECK(answer->isComplete);
    std::string body = answer->body;
    std::erase(body, '\r');
    for (const auto& extra :
         std::vector<std::string>{ ": wait\n\n", "data: [DONE]\n\n" }) {
      const auto found = body.find(extra);
      if (found != std::string::npos) {
        body.erase(found, extra.size());
      }
    }
    CHECK(body == BackendServerStandin::CompleteStream());
  }
}

TEST_CASE("An error before the stream begins is answered as a whole or by another engine",
          "[resumed]")
{
  // Guards against an error text that is presented as a stream of events.
  Fixture fixture;
  const auto complete = BackendServerStandin::CompleteStream();
  for (const auto& error : ErrorAnswers()) {
    INFO(error.name);
    const auto answer = fixture.Meet({ error.answer });
    REQUIRE(answer.has_value());
    INFO(answer->status << ' ' << answer->body);
    if (answer->status != 200) {
      CHECK(answer->isComplete);
      CHECK(answer->headers.Find("X-Attempt-Id") == fixture.attemptId);
      continue;
    }
    CHECK(answer->body.find("HTTP/1.1") == std::string::npos);
    if (!error.hasOwnNumbering) {
      CHECK(answer->body.find("engine failed") == std::string::npos);
    }
  }
}

TEST_CASE("A stream whose events have no ids is not continued", "[resumed]")
{
  // Guards against a second run of which the client gets all events once more, and
  // against a stream that can't be resumed where the configuration says that it can.
  Fixture fixture;
  const InjectedAnswer unnumbered = { { Head("200 OK", kEventFields + kChunked) +
                                        ChunkText("data: piece 1\n\n") },
                                      End::Close };
  const auto resumable = fixture.Meet({ unnumbered });
  REQUIRE(resumable.has_value());
  CHECK(resumable->isComplete);
  CHECK(resumable->body.find("data: piece 1\n\ndata") == std::string::npos);
  CHECK((resumable->status != 200 ||
         resumable->body == BackendServerStandin::CompleteStream()));

  fixture.SetResumable(false);
  const auto answer = fixture.Meet({ unnumbered });
  REQUIRE(answer.has_value());
  CHECK(!answer->isComplete);
  CHECK(answer->body == "data: piece 1\n\n");
  CHECK(fixture.platform.InjectedAnswerCount(fixture.attemptId) == 1);
  const auto runs = fixture.platform.Runs();
  CHECK(std::ranges::none_of(
    runs, [&](const RecordedRun& aRun) { return aRun.attemptId == fixture.attemptId; }));
}
