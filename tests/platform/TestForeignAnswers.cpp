#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// Backend servers that write an answer which belongs to another request, before or after
// the right one. The server that writes it has received the request and may run it.

namespace {

/// A head of an answer; the lines of aFields end with CRLF.
std::string Head(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields + "\r\n";
}

const std::string kEmptyBody = "Content-Length: 0\r\n";
const std::string kOwnId = "X-Attempt-Id: {ID}\r\n";
const std::string kForeignId = "X-Attempt-Id: earlier-1\r\n";
const std::string kNotRun = "X-Not-Run: 1\r\n";
const std::string kRightAnswer =
  Head("200 OK", kOwnId + "X-Engine-Stamp: s\r\nContent-Length: 5\r\n") + "right";

InjectedAnswer AnswerOf(const std::string& aBytes)
{
  return { { aBytes }, InjectedAnswer::End::Close };
}

/// Default configuration with a streaming route whose requests must not be repeated.
json RoutesWithUnrepeatableStream()
{
  auto routes = PlatformStandin::DefaultConfiguration(1).at("Routes");
  auto once = routes.at(0);
  once["Name"] = "/once/";
  once["PathPrefix"] = "/once/";
  once["CanResume"] = false;
  routes.push_back(once);
  return { { "Routes", routes } };
}

/// A client's attempt that met the injected answer.
struct MetAnswer
{
  std::string attemptId;
  HttpResponse response;
};

/// Sends stream requests until one meets the injected answer. A group that has failed
/// gets no request for a while, and requests are refused meanwhile.
std::optional<MetAnswer> MeetAnswer(ServerUnderTest& aServer, const std::string& aId)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  int number = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto id = aId + "-" + std::to_string(++number);
    auto response = aServer.caller.Call(aServer.listenEndpoint,
                                        "POST",
                                        "/once/1",
                                        "prompt",
                                        ServerUnderTest::GenerationHeaders(id));
    if (aServer.platform.AnswersDue() == 0) {
      return response ? std::optional(MetAnswer{ id, std::move(*response) })
                      : std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return std::nullopt;
}

struct NamedAnswer
{
  std::string name;
  std::string bytes;
};

/// Answers that don't prove that the request which they meet was not run.
std::vector<NamedAnswer> ForeignRefusals()
{
  return {
    { "503 that says not run",
      Head("503 Service Unavailable", kForeignId + kNotRun + kEmptyBody) },
    { "503 that says not run, then the right answer",
      Head("503 Service Unavailable", kForeignId + kNotRun + kEmptyBody) + kRightAnswer },
    { "421", Head("421 Misdirected Request", kForeignId + kEmptyBody) },
    { "421 that names a server",
      Head("421 Misdirected Request",
           kForeignId + "At-Server: engine-1\r\n" + kEmptyBody) },
    { "429 that says not run",
      Head("429 Too Many Requests", kForeignId + kNotRun + kEmptyBody) },
    { "408 that says not run",
      Head("408 Request Timeout", kForeignId + kNotRun + kEmptyBody) },
    { "503 with two attempt ids",
      Head("503 Service Unavailable", kOwnId + kForeignId + kNotRun + kEmptyBody) },
    { "421 with two attempt ids",
      Head("421 Misdirected Request", kForeignId + kOwnId + kEmptyBody) },
    { "503 with an empty attempt id",
      Head("503 Service Unavailable", "X-Attempt-Id: \r\n" + kNotRun + kEmptyBody) },
    { "200 that says not run",
      Head("200 OK", kOwnId + kNotRun + "X-Engine-Stamp: s\r\n" + kEmptyBody) },
    { "100 that says not run, then the end", Head("100 Continue", kForeignId + kNotRun) },
  };
}

} // namespace

TEST_CASE("A refusal of another request does not say that a request was not run",
          "[foreign]")
{
  // Guards against "not run" for a request that a backend server may be running, and
  // against a second run of it, because the server repeated an earlier refusal.
  PlatformStandin platform(4);
  platform.AddInjectors();
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  platform.WriteConfiguration(2, RoutesWithUnrepeatableStream());
  server.caller.WaitFor(server.operatorEndpoint, "/state", [](const json& aState) {
    return aState.at("state").at("configuration_version") == 2;
  });
  int number = 0;
  for (const auto& refusal : ForeignRefusals()) {
    INFO(refusal.name);
    const auto id = "foreign-" + std::to_string(++number);
    platform.InjectAnswers({ AnswerOf(refusal.bytes) });
    const auto held = server.Call("POST", "/holds/1", id + "-hold");
    REQUIRE(held.HasValue());
    CHECK(held->status == 502);
    CHECK(held->headers.Find("Toucanstand-Outcome") == "unknown");
    CHECK(held->headers.Find("X-Attempt-Id") == id + "-hold");
    CHECK(platform.InjectedAnswerCount(id + "-hold") == 1);

    platform.InjectAnswers({ AnswerOf(refusal.bytes) });
    const auto streamed = MeetAnswer(server, id);
    REQUIRE(streamed.has_value());
    CHECK(streamed->response.status == 502);
    CHECK(streamed->response.headers.Find("Toucanstand-Outcome") == "unknown");
    CHECK(platform.InjectedAnswerCount(streamed->attemptId) == 1);
    const auto runs = platform.Runs();
    CHECK(std::ranges::none_of(
      runs, [&id](const RecordedRun& aRun) { return aRun.attemptId.starts_with(id); }));
  }
}

TEST_CASE("A refusal of the request itself still says that it was not run", "[foreign]")
{
  // Guards against requests that are given up, although a refusal that bears their own
  // id, or none, proves that another server may take them.
  PlatformStandin platform(2);
  platform.AddInjectors();
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  int number = 0;
  const std::vector<std::string> refusals = {
    Head("503 Service Unavailable", kOwnId + kNotRun + kEmptyBody),
    Head("503 Service Unavailable", kNotRun + kEmptyBody),
    Head("429 Too Many Requests", kOwnId + kNotRun + kEmptyBody),
    Head("421 Misdirected Request", kOwnId + kEmptyBody),
    Head("421 Misdirected Request", kEmptyBody),
    Head("421 Misdirected Request", kOwnId + kOwnId + kEmptyBody)
  };
  for (const auto& refusal : refusals) {
    INFO(refusal);
    const auto id = "own-" + std::to_string(++number);
    platform.InjectAnswers({ AnswerOf(refusal) });
    const auto looked = server.Call("GET", "/looks/1", id);
    REQUIRE(looked.HasValue());
    CHECK(looked->status == 200);
    CHECK(platform.AnswersDue() == 0);
    platform.InjectAnswers({ AnswerOf(refusal) });
    const auto held = server.Call("POST", "/holds/1", id + "-hold");
    REQUIRE(held.HasValue());
    CHECK(held->status == 503);
    CHECK(held->headers.Find("Toucanstand-Outcome") == "not-run");
  }
}

TEST_CASE("Interim and surplus answers do not replace the answer of a request",
          "[foreign]")
{
  // Guards against an interim answer that is forwarded as the final one, and against a
  // surplus answer that reaches this or a later request.
  PlatformStandin platform(2);
  platform.AddInjectors();
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  const auto surplus =
    Head("503 Service Unavailable", kForeignId + kNotRun + "Content-Length: 4\r\n") +
    "late";
  int number = 0;
  const std::vector<std::string> answers = {
    Head("100 Continue", "") + kRightAnswer,
    Head("103 Early Hints", "Link: x\r\n") + kRightAnswer,
    Head("102 Processing", kForeignId + kNotRun) + Head("100 Continue", "") +
      kRightAnswer,
    kRightAnswer + surplus
  };
  for (const auto& bytes : answers) {
    INFO(bytes);
    const auto id = "surplus-" + std::to_string(++number);
    platform.InjectAnswers({ AnswerOf(bytes) });
    const auto held = server.Call("POST", "/holds/1", id);
    REQUIRE(held.HasValue());
    CHECK(held->status == 200);
    CHECK(held->body == "right");
    const auto next = server.Call("POST", "/holds/2", id + "-next");
    REQUIRE(next.HasValue());
    CHECK(next->body.starts_with("answer of stock-"));
  }
  std::string interim;
  for (int count = 0; count < 1000; ++count) {
    interim += Head("100 Continue", "");
  }
  platform.InjectAnswers({ AnswerOf(interim + kRightAnswer) });
  const auto flooded = server.Call("POST", "/holds/1", "surplus-flood");
  REQUIRE(flooded.HasValue());
  CHECK(flooded->status == 502);
}
