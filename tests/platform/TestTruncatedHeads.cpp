#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;

// A server stops inside the head of its answer and closes its connection.

namespace {

const std::string kBody = "whole answer";
const std::string kSignedFields =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: {ID}\r\nX-Engine-Stamp: stamp-x\r\n";

/// The head up to each byte, without its last one.
std::vector<std::string> Prefixes(const std::string& aHead)
{
  std::vector<std::string> prefixes;
  for (std::size_t length = 0; length < aHead.size(); ++length) {
    prefixes.push_back(aHead.substr(0, length));
  }
  return prefixes;
}

/// Heads of sound answers, by how the body would be framed, and what could be taken for
/// one when it is cut.
std::vector<std::string> TruncatedHeads(const std::string& aMoreFields)
{
  std::vector<std::string> heads;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const auto addPrefixes = [&heads](const std::string& aHead) {
    std::ranges::move(Prefixes(aHead), std::back_inserter(heads));
  };
  const std::string fields = kSignedFields + aMoreFields;
  addPrefixes(fields + "Content-Length: 12\r\n\r\n");
  addPrefixes(fields + "Transfer-Encoding: chunked\r\n\r\n");
  addPrefixes(fields + "\r\n");
  addPrefixes(interim + kSignedFields);
  heads.push_back(fields + "Content-Length: \r\n\r\n");
  heads.push_back(fields + "Content-Length: 12\r\n\r\n");
  heads.push_back(fields + "Transfer-Encoding: \r\n\r\n");
  return heads;
}

struct Fixture
{
  static constexpr int kEngines = 4;

  Fixture()
    : platform(kEngines)
  {
    this->platform.AddInjectors();
    this->platform.SetEventInterval(std::chrono::milliseconds(1));
    this->server = std::make_unique<ServerUnderTest>(this->platform, "vm-1");
    this->server->WaitForGroups(2);
  }

  /// Sends the request whose first server answers with these bytes.
  ReceivedAnswer Meet(const std::string& aBytes, InjectedAnswer::End aEnd, bool aIsStream)
  {
    const auto id = "cut-" + std::to_string(++this->count);
    // Sound answers in between: a group that only fails gets no requests.
    this->platform.InjectAnswers({});
    for (int number = 0; aIsStream && number < 6; ++number) {
      (void)this->server->Generate(id + "-sound-" + std::to_string(number));
    }
    this->platform.InjectAnswers({ { { aBytes }, aEnd } });
    CallerConnection connection(this->server->listenEndpoint);
    const HttpHeaders headers = { { "Host", "api.example" },
                                  { "X-Attempt-Id", id },
                                  { "X-Deadline-Ms", "4000" },
                                  { "Authorization", "Bearer key-1" } };
    connection.Send(
      aIsStream
        ? RequestText("POST", "/chat/1", ServerUnderTest::GenerationHeaders(id), "prompt")
        : RequestText("GET", "/looks/1", headers, ""));
    auto answer = connection.ReadAnswer(std::chrono::seconds(8));
    this->met += this->platform.InjectedAnswerCount(id);
    return answer;
  }

  PlatformStandin platform;
  std::unique_ptr<ServerUnderTest> server;
  int count = 0;
  std::size_t met = 0;
};

} // namespace

TEST_CASE("A head that is cut off is never the head of an answer", "[truncated]")
{
  // Guards against a success with an empty or short body that is framed as whole.
  const bool isStream = GENERATE(false, true);
  const auto end = GENERATE(InjectedAnswer::End::Close, InjectedAnswer::End::Reset);
  INFO("stream " << isStream << ", end " << static_cast<int>(end));
  Fixture fixture;
  const auto heads =
    TruncatedHeads(isStream ? "Content-Type: text/event-stream\r\n" : "");
  // A stream takes longer, so only a third of the heads is played.
  const std::size_t step = isStream ? 3 : 1;
  for (std::size_t number = 0; number < heads.size(); number += step) {
    const auto answer = fixture.Meet(heads[number], end, isStream);
    INFO(heads[number]);
    INFO("status " << answer.status << " body " << answer.body);
    if (answer.status != 200) {
      CHECK(answer.status >= 500);
      continue;
    }
    if (answer.isComplete) {
      CHECK((isStream ? answer.body == BackendServerStandin::CompleteStream()
                      : answer.body.starts_with("answer of stock-")));
    }
  }
  CHECK(fixture.met > heads.size() / 8);
}
