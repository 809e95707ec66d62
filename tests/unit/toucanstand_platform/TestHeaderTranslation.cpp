#include <catch2/catch.hpp>

#include "platform/HeaderTranslation.h"

using namespace toucanstand;

namespace {

HttpRequest ClientRequest()
{
  HttpRequest request;
  request.method = "POST";
  request.target = "/x/1?a=%2F";
  request.body = "body";
  request.headers = { { "Host", "a.example:80" },
                      { "X-Attempt-Id", "id-1" },
                      { "X-Deadline-Ms", "8000" },
                      { "X-Model", "m0" },
                      { "X-Token-Usage", "1460,80" },
                      { "X-Length-Hint", "64" },
                      { "X-Tenant", "forged" },
                      { "X-Expect-Instance", "forged" },
                      { "Authorization", "bearer  key-1 " },
                      { "Connection", "keep-alive, X-Hop" },
                      { "X-Hop", "1" },
                      { "Transfer-Encoding", "chunked" },
                      { "Last-Event-Id", "3" },
                      { "X-Other", "kept" } };
  return request;
}

} // namespace

TEST_CASE("The headers of a client request are parsed into call facts", "[platform]")
{
  const auto facts = platform::ReadRequestHeaders(ClientRequest());
  REQUIRE(facts.HasValue());
  CHECK(facts->id == RequestId("id-1"));
  CHECK(facts->host == "a.example");
  CHECK(facts->path == "/x/1");
  CHECK(facts->apiKey == "key-1");
  CHECK(facts->patience == Duration(std::chrono::seconds(8)));
  CHECK(facts->model == "m0");
  CHECK(facts->promptTokens == 1460);
  CHECK(facts->mostAnswerTokens == 80);
  CHECK(facts->expectedAnswerTokens == 64.0);
  CHECK(facts->lastEventId == "3");
}

TEST_CASE("The last prompt part, which no other request shares, is not read as shared",
          "[platform]")
{
  // Guards against a quarantine of a single request's own text, and against a malformed
  // list that rejects the request.
  const auto parts = [](const std::vector<std::string>& aValues) {
    HttpRequest request;
    for (const auto& value : aValues) {
      request.headers.Add("X-Prompt-Prefix", value);
    }
    const auto facts = platform::ReadRequestHeaders(request);
    REQUIRE(facts.HasValue());
    return facts->sharedPromptParts;
  };
  using Ids = std::vector<PromptPartId>;
  CHECK(parts({ "5c1e07a2:800,91BD3F06:410,e4402b7d:250" }) ==
        Ids{ 0x5c1e07a2, 0x91bd3f06 });
  CHECK(parts({ "a:1, b:2", "c:3" }) == Ids{ 0xa, 0xb });
  CHECK(parts({ "a:1,a:1,b:2,a:9" }) == Ids{ 0xa, 0xb });
  CHECK(parts({ "a:1" }).empty());
  CHECK(parts({ "" }).empty());
  CHECK(parts({}).empty());
  CHECK(parts({ ",:,:5,b,c" }) == Ids{ 0xb });
  CHECK(parts({ "not hexadecimal:1,x:2" }).size() == 1);
  CHECK(parts({ "11112222333344445:1,x:2" }).size() == 1);
  std::string many;
  for (int part = 0; part < 4000; ++part) {
    many += std::to_string(part) + ":1,";
  }
  CHECK(parts({ many + "ff" }).size() == 4000);
}

TEST_CASE("Malformed deadline and token headers are rejected", "[platform]")
{
  // Guards against a malformed deadline or token count that is silently read as zero.
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{ { "X-Deadline-Ms", "soon" },
                                                         { "X-Deadline-Ms", "-5" },
                                                         { "X-Token-Usage", "12" },
                                                         { "X-Token-Usage", "a,b" } }) {
    HttpRequest request;
    request.headers.Add(name, value);
    CHECK(!platform::ReadRequestHeaders(request).HasValue());
  }
}

TEST_CASE("Routing and scheduling headers with two different values are rejected",
          "[platform]")
{
  // Guards against an engine that uses another value than the one that routing and
  // scheduling used.
  for (const std::string name :
       { "X-Attempt-Id", "X-Deadline-Ms", "Authorization", "X-Model" }) {
    auto request = ClientRequest();
    request.headers.Add(name, "1");
    INFO(name);
    CHECK(!platform::ReadRequestHeaders(request).HasValue());
  }
}

TEST_CASE("A forwarded request keeps the client's headers and replaces system headers",
          "[platform]")
{
  // Guards against a forged client account or backend server, an API key that reaches a
  // backend server, and forwarded headers of the client's connection.
  platform::ForwardingParameters terms;
  terms.server = ServerId("i-1");
  terms.remainingTime = std::chrono::milliseconds(1234);
  terms.account = AccountId("shop");
  terms.urgency = 4;
  const auto forwarded = platform::BuildForwardedRequest(ClientRequest(), terms);
  CHECK(forwarded.method == "POST");
  CHECK(forwarded.target == "/x/1?a=%2F");
  CHECK(forwarded.body == "body");
  const auto& headers = forwarded.headers;
  CHECK(headers.Find("Host") == "a.example:80");
  CHECK(headers.Find("X-Attempt-Id") == "id-1");
  CHECK(headers.Find("X-Tenant") == "shop");
  CHECK(headers.Find("X-Expect-Instance") == "i-1");
  CHECK(headers.Find("X-Deadline-Ms") == "1234");
  CHECK(headers.Find("X-Request-Priority") == "4");
  CHECK(headers.Find("Last-Event-Id") == "3");
  CHECK(headers.Find("X-Other") == "kept");
  for (const char* name :
       { "Authorization", "Connection", "X-Hop", "Transfer-Encoding" }) {
    INFO(name);
    CHECK(!headers.Has(name));
  }
  for (const char* name : { "X-Tenant", "X-Expect-Instance", "X-Deadline-Ms" }) {
    CHECK(std::ranges::count(headers.Fields(), name, [](const auto& aField) {
            return aField.first;
          }) == 1);
  }

  terms.lastEventId = "9";
  terms.account = AccountId();
  const auto resumed = platform::BuildForwardedRequest(ClientRequest(), terms);
  CHECK(resumed.headers.Find("Last-Event-Id") == "9");
  CHECK(!resumed.headers.Has("X-Tenant"));
}

TEST_CASE("The response head tells whether the backend server ran the request",
          "[platform]")
{
  // Guards against accepting the response of another request, and against reporting a
  // request that may have run as not run.
  const RequestId attemptId("id-1");
  const auto answered = platform::ReadResponseHead(200,
                                                   { { "X-Attempt-Id", "id-1" },
                                                     { "X-Engine-Stamp", "s" },
                                                     { "X-Engine-Load", "3, 1,8" } },
                                                   attemptId);
  CHECK(!answered.statesNotRun);
  CHECK(answered.isSigned);
  CHECK(answered.answersThisCall);
  REQUIRE(answered.load.has_value());
  CHECK(answered.load->waiting == 1);

  CHECK(
    platform::ReadResponseHead(503, { { "X-Not-Run", "1" } }, attemptId).statesNotRun);
  CHECK(!platform::ReadResponseHead(503, {}, attemptId).statesNotRun);
  CHECK(platform::ReadResponseHead(421, {}, attemptId).wrongServer);
  CHECK(platform::ReadResponseHead(421, { { "At-Server", "i-2" } }, attemptId)
          .serverAtFault == ServerId("i-2"));
  CHECK(!platform::ReadResponseHead(200, { { "X-Attempt-Id", "id-2" } }, attemptId)
           .answersThisCall);
  CHECK(!platform::ReadResponseHead(200, { { "X-Engine-Load", "x" } }, attemptId)
           .load.has_value());
}

TEST_CASE("Nothing is read from the answer to another request", "[platform]")
{
  // Guards against a refusal of another request, which a faulty server sends once more
  // and which would say that this one was not run.
  const RequestId attemptId("id-1");
  const HttpHeaders claims = { { "X-Not-Run", "1" },
                               { "X-Engine-Stamp", "s" },
                               { "X-Engine-Load", "3,1,8" },
                               { "At-Server", "i-2" },
                               { "Server-Limit", "0" } };
  const std::vector<std::vector<std::string>> foreignIds = {
    { "id-2" }, { "" }, { "id-1 " }, { "ID-1" }, { "id-1", "id-2" }, { "id-2", "id-1" }
  };
  for (const int status : { 200, 206, 408, 421, 429, 500, 503 }) {
    for (const auto& ids : foreignIds) {
      auto headers = claims;
      for (const auto& id : ids) {
        headers.Add("X-Attempt-Id", id);
      }
      INFO(status << ' ' << ids.front() << ' ' << ids.size());
      const auto facts = platform::ReadResponseHead(status, headers, attemptId);
      CHECK(!facts.answersThisCall);
      CHECK(!facts.statesNotRun);
      CHECK(!facts.wrongServer);
      CHECK(!facts.isSuccess);
      CHECK(!facts.isSigned);
      CHECK(!facts.load.has_value());
      CHECK(!facts.serverAtFault.has_value());
      CHECK(facts.rateLimit.kind == StatedRateLimit::Kind::Unlimited);
    }
  }
  // Twice the own id is not ambiguous, and an answer without an id is that of the only
  // request of its connection.
  for (const auto& headers :
       { HttpHeaders{ { "X-Attempt-Id", "id-1" }, { "X-Attempt-Id", "id-1" } },
         HttpHeaders() }) {
    CHECK(platform::ReadResponseHead(421, headers, attemptId).statesNotRun);
  }
  // A request without an id can't be named by an answer.
  CHECK(!platform::ReadResponseHead(421, { { "X-Attempt-Id", "id-2" } }, RequestId())
           .statesNotRun);
  CHECK(!platform::ReadResponseHead(
           200, { { "X-Not-Run", "1" }, { "X-Engine-Stamp", "s" } }, attemptId)
           .statesNotRun);
}

TEST_CASE("A rate limit that is no number neither sets nor lifts a limit", "[platform]")
{
  // Guards against a malformed limit that is read as zero, or as the end of the limit.
  using Kind = StatedRateLimit::Kind;
  const auto limit = [](const std::vector<std::string>& aValues) {
    HttpHeaders headers;
    for (const auto& value : aValues) {
      headers.Add("Server-Limit", value);
    }
    return platform::ReadResponseHead(200, headers, RequestId("id-1")).rateLimit;
  };
  CHECK(limit({}).kind == Kind::Unlimited);
  CHECK(limit({ "3.4" }).kind == Kind::Limited);
  CHECK(limit({ " 3.4 " }).perSecond == 3.4);
  CHECK(limit({ "0" }).kind == Kind::Limited);
  CHECK(limit({ "1e300" }).kind == Kind::Limited);
  for (const auto* unreadable :
       { "", "soon", "-1", "nan", "inf", "1e999", "3,4", "3.4 a second", "0x10" }) {
    INFO(unreadable);
    CHECK(limit({ unreadable }).kind == Kind::Unreadable);
  }
  CHECK(limit({ "3", "4" }).kind == Kind::Unreadable);
}

TEST_CASE("Only an exact statement of the server that was asked says that it leaves",
          "[platform]")
{
  // Guards against a server that gets no requests because of a damaged header, or of an
  // answer of another server or to another request.
  const auto read = [](int aStatus, HttpHeaders aHeaders) {
    return platform::ReadResponseHead(aStatus, aHeaders, RequestId("id-1")).statement;
  };
  const std::pair<std::string, std::string> leaving{ "Server-Leaving", "1" };
  const std::pair<std::string, std::string> stamp{ "X-Engine-Stamp", "s" };
  CHECK(read(200, { leaving, stamp }).isLeaving);
  CHECK(read(200, { leaving, leaving, stamp, { "X-Attempt-Id", "id-1" } }).isLeaving);
  for (const int status : { 400, 404, 500, 503 }) {
    INFO(status);
    CHECK(read(status, { leaving }).isLeaving);
    CHECK(read(status, { leaving, { "X-Not-Run", "1" } }).isLeaving);
    CHECK(!read(status, { leaving, { "X-Attempt-Id", "id-2" } }).isLeaving);
  }
  CHECK(!read(200, { leaving }).isLeaving);
  CHECK(!read(421, { leaving }).isLeaving);
  CHECK(!read(503, {}).isLeaving);
  CHECK(!read(503, {}).isLeavingUnreadable);

  for (const auto& value : std::vector<std::string>{ "0",
                                                     "",
                                                     "true",
                                                     "2",
                                                     "11",
                                                     "01",
                                                     "1,1",
                                                     "1 ",
                                                     "-1",
                                                     "1.0",
                                                     std::string(10'000, '1'),
                                                     std::string("1\0", 2) }) {
    INFO(value.substr(0, 20));
    const auto statement = read(503, { { "Server-Leaving", value } });
    CHECK(!statement.isLeaving);
    CHECK(statement.isLeavingUnreadable);
  }
  const auto ambiguous = read(503, { leaving, { "Server-Leaving", "0" } });
  CHECK(!ambiguous.isLeaving);
  CHECK(ambiguous.isLeavingUnreadable);
}

TEST_CASE("The time for which a server wants nothing is read in all forms of HTTP",
          "[platform]")
{
  // Guards against requests to a server that names the end as a date, and against clocks
  // that differ: the answer's own date counts where it has one.
  using namespace std::chrono_literals;
  // Wed, 21 Oct 2026 07:28:00 GMT
  const std::chrono::system_clock::time_point received(std::chrono::seconds(1792567680));
  const auto read = [&](const HttpHeaders& aHeaders, int aStatus = 503) {
    return platform::ReadResponseHead(aStatus, aHeaders, RequestId("id-1"), received)
      .statement;
  };
  const auto time = [&](const std::string& aValue, const std::string& aDate = "") {
    HttpHeaders headers{ { "Retry-After", aValue } };
    if (!aDate.empty()) {
      headers.Add("Date", aDate);
    }
    const auto statement = read(headers);
    CHECK(statement.isRetryAfterUnreadable != statement.retryAfter.has_value());
    return statement.retryAfter;
  };
  CHECK(time("3") == Duration(3s));
  CHECK(time("030") == Duration(30s));
  CHECK(time("0") == Duration(0s));
  CHECK(time("Wed, 21 Oct 2026 07:28:30 GMT") == Duration(30s));
  CHECK(time("Wednesday, 21-Oct-26 07:28:30 GMT") == Duration(30s));
  CHECK(time("Wed Oct 21 07:28:30 2026") == Duration(30s));
  CHECK(time("Wed, 21 Oct 2026 07:28:30 GMT", "Wed, 21 Oct 2026 07:28:20 GMT") ==
        Duration(10s));
  CHECK(time("Wed, 21 Oct 2026 07:28:30 GMT", "yesterday") == Duration(30s));
  CHECK(time("Wed, 21 Oct 2015 07:28:00 GMT") == Duration(0s));
  // It is cut where it is used; here it must only fit.
  const Duration longest = std::chrono::hours(24 * 365);
  CHECK(time("1000000000000") == longest);
  CHECK(time(std::string(10'000, '9')) == longest);
  CHECK(time("Fri, 31 Dec 9999 23:59:59 GMT") == longest);
  CHECK(time("Fri, 31 Dec 9999 23:59:59 GMT", "Thu, 01 Jan 0001 00:00:00 GMT") ==
        longest);

  for (const auto& value :
       std::vector<std::string>{ "",
                                 "-1",
                                 "-3",
                                 "+3",
                                 "1.5",
                                 "3s",
                                 "0x10",
                                 "1e3",
                                 "soon",
                                 "3, 3",
                                 "NaN",
                                 "3 s",
                                 "Wed, 21 Oct 2026",
                                 "Wed, 21 Oct 2026 07:28:30 CET",
                                 "Wed, 41 Oct 2026 07:28:30 GMT",
                                 "Wed, 21 Oct 2026 07:28:30 GMT and more",
                                 std::string(10'000, 'x'),
                                 std::string("3\0", 2) }) {
    INFO(value.substr(0, 40));
    CHECK(!time(value));
  }
  HttpHeaders ambiguous{ { "Retry-After", "3" }, { "Retry-After", "4" } };
  CHECK(!read(ambiguous).retryAfter);
  CHECK(read(ambiguous).isRetryAfterUnreadable);

  // Guards against a time of another status, request or server.
  const HttpHeaders three{ { "Retry-After", "3" }, { "X-Engine-Stamp", "s" } };
  for (const int status : { 200, 202, 301, 404, 421, 429, 500 }) {
    INFO(status);
    CHECK(!read(three, status).retryAfter);
    CHECK(!read(three, status).isRetryAfterUnreadable);
  }
  CHECK(!read({ { "Retry-After", "3" }, { "X-Attempt-Id", "id-2" } }).retryAfter);
  CHECK(!read({}).isRetryAfterUnreadable);
}
