#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/RawServer.h"

using namespace toucanstand;

// Servers that send something else than an answer of HTTP/1.1, or a part of one.

namespace {

const std::string kLength = "Content-Length: 5\r\n";
/// The body of kLength.
const std::string kBody = "whole";
/// The same body as a single chunk.
const std::string kChunkedBody = "5\r\nwhole\r\n0\r\n\r\n";

std::string AnswerText(const std::string& aFields,
                       const std::string& aBody,
                       const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields + "\r\n" + aBody;
}

/// Puts a text in place of the only `*`.
std::string FillIn(std::string aTemplate, const std::string& aText)
{
  return aTemplate.replace(aTemplate.find('*'), 1, aText);
}

/// Sends a request and checks that its answer is taken for none.
void CheckMalformed(RawAnswer aAnswer)
{
  const auto response = FetchRaw(std::move(aAnswer));
  CHECK(!response.HasValue());
  if (!response.HasValue()) {
    CHECK(response.LastReason() == HttpFailure::Malformed);
  }
}

/// One piece for each byte up to the end of the head, and one for the rest.
std::vector<std::string> SplitHead(const std::string& aAnswer)
{
  const auto headEnd = aAnswer.find("\r\n\r\n") + 4;
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < headEnd; ++at) {
    pieces.emplace_back(1, aAnswer[at]);
  }
  pieces.push_back(aAnswer.substr(headEnd));
  return pieces;
}

/// A request whose body does not fit into the buffers of both sockets.
HttpRequest LongUpload()
{
  HttpRequest request;
  request.method = "POST";
  request.body = std::string(16U << 20U, 'q');
  return request;
}

} // namespace

TEST_CASE("A number that is no status of HTTP makes no answer", "[broken]")
{
  // Guards against a head of a server in trouble that is passed on as an answer
  // (RFC 9110, 15).
  for (const std::string status : { "000", "001", "099", "600", "700", "999" }) {
    INFO(status);
    CheckMalformed({ { AnswerText(kLength, kBody, status + " Status") } });
  }
  for (const int status : { 200, 299, 404, 599 }) {
    INFO(status);
    const auto response =
      FetchRaw({ { AnswerText(kLength, kBody, std::to_string(status) + " Status") } });
    REQUIRE(response.HasValue());
    CHECK(response->status == status);
    CHECK(response->body == kBody);
  }
}

TEST_CASE("A server that switches to a protocol unasked has not answered", "[broken]")
{
  // Guards against bytes of another protocol that are taken for the final answer.
  CheckMalformed(
    { { AnswerText("", "", "101 Switching Protocols") + AnswerText(kLength, kBody) } });
}

TEST_CASE("A line of a head that begins with a blank makes no answer", "[broken]")
{
  // Guards against a line that becomes a part of the field before it. Where it was to
  // name the length or the coding, the body would not be the server's.
  const std::vector<std::string> answers = {
    AnswerText("X-First: a\r\n*" + kLength, kBody),
    AnswerText("X-First: a\r\n*Transfer-Encoding: chunked\r\n", kChunkedBody),
    AnswerText(kLength + "X-First: a\r\n*X-Second: b\r\n", kBody),
    AnswerText(kLength + "X-First: a\r\n*\r\n", kBody),
    AnswerText(kLength + "X-First:\r\n*a\r\n", kBody),
    AnswerText("*" + kLength, kBody)
  };
  for (const std::string blank : { " ", "\t", "  ", " \t" }) {
    for (const auto& answer : answers) {
      INFO(answer << " with '" << blank << "'");
      CheckMalformed({ { FillIn(answer, blank) } });
    }
  }
  const auto folded = AnswerText(kLength + "X-First: a\r\n b\r\n", kBody);
  CheckMalformed({ SplitHead(folded) });
}

TEST_CASE("A head that arrives in pieces and a body that looks folded are sound",
          "[broken]")
{
  // Guards against sound answers that are rejected for what follows their head, or for
  // where their bytes were parted.
  const std::string body = "\r\n a\r\n\tb\r\n\r\n c";
  const auto fields =
    "X-First: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  const auto answer = AnswerText(fields, body);
  for (const auto& pieces : { std::vector<std::string>{ answer }, SplitHead(answer) }) {
    const auto response = FetchRaw({ pieces });
    REQUIRE(response.HasValue());
    CHECK(response->body == body);
  }
  const auto withoutFields = FetchRaw({ { AnswerText("", body) } });
  REQUIRE(withoutFields.HasValue());
  CHECK(withoutFields->body == body);
}

TEST_CASE("A name with a byte that no name may have makes no answer", "[broken]")
{
  // Guards against a line that is passed on, or ignored where it was to name the length.
  const std::vector<std::string> answers = {
    AnswerText("X*First: a\r\n" + kLength, kBody),
    AnswerText(kLength + "X*First: a\r\n", kBody),
    AnswerText(kLength + "X-First*: a\r\n", kBody),
    AnswerText("Content*-Length: 5\r\n", kBody),
    AnswerText("Content-Length*: 5\r\n", kBody),
    AnswerText("Transfer-Encoding*: chunked\r\n", kBody)
  };
  for (const std::string byte :
       { " ", "\t", "\x01", "\x1f", "\x7f", "\x80", "\xff", "(", ",", "/", "@", "\"" }) {
    for (const auto& answer : answers) {
      INFO(answer << " with '" << byte << "'");
      CheckMalformed({ { FillIn(answer, byte) } });
    }
  }
  CheckMalformed({ { AnswerText(kLength + ": a\r\n", kBody) } });
  CheckMalformed({ { AnswerText(kLength + "X-First\r\n", kBody) } });
}

TEST_CASE("A body in another coding than chunks alone makes no answer", "[broken]")
{
  // Guards against a coded body that is passed on without the name of its coding
  // (RFC 9112, 6.1 and 7.1).
  for (const std::string coding : { "chunked;q=1",
                                    "chunked; a",
                                    "chunked a",
                                    "chunked =",
                                    "gzip, chunked",
                                    "gzip;q=1, chunked",
                                    "identity, chunked",
                                    "chunked, chunked",
                                    "gzip",
                                    "\"chunked\"",
                                    "" }) {
    INFO(coding);
    CheckMalformed(
      { { AnswerText("Transfer-Encoding: " + coding + "\r\n", kChunkedBody) } });
  }
  CheckMalformed({ { AnswerText("Transfer-Encoding: gzip\r\n"
                                "Transfer-Encoding: chunked\r\n",
                                kChunkedBody) } });
  for (const std::string coding :
       { "chunked", "Chunked", " chunked\t", "chunked,", ", chunked" }) {
    INFO(coding);
    const auto response =
      FetchRaw({ { AnswerText("Transfer-Encoding: " + coding + "\r\n", kChunkedBody) } });
    REQUIRE(response.HasValue());
    CHECK(response->body == kBody);
  }
}

TEST_CASE("A part of a body is not whole when the upload breaks", "[broken]")
{
  // Guards against a reset that the failing write of the request reports, so that the
  // body without a length seems to end in order.
  const std::string version = GENERATE("HTTP/1.0", "HTTP/1.1");
  const std::string field = GENERATE("", "Connection: close\r\n");
  const std::size_t bytes = GENERATE(0U, 10U, 1000U);
  INFO(version << " " << field << bytes);
  const auto answer = version + " 200 OK\r\n" + field + "\r\n" + std::string(bytes, 'a');
  const auto response = FetchRaw({ { answer }, RawAnswer::End::Reset },
                                 UnframedBody::EndsWithConnection,
                                 LongUpload());
  REQUIRE(!response.HasValue());
  CHECK(response.LastReason() == HttpFailure::BrokenInBody);
}

TEST_CASE("An answer that states its end is whole although the upload breaks", "[broken]")
{
  // Guards against the loss of an answer that came before the server read the request.
  for (const auto& answer :
       { AnswerText(kLength, kBody),
         AnswerText("Transfer-Encoding: chunked\r\n", kChunkedBody) }) {
    INFO(answer);
    const auto response = FetchRaw({ { answer }, RawAnswer::End::Reset },
                                   UnframedBody::EndsWithConnection,
                                   LongUpload());
    REQUIRE(response.HasValue());
    CHECK(response->body == kBody);
  }
  CHECK(
    !FetchRaw({ { AnswerText("Content-Length: 9\r\n", kBody) }, RawAnswer::End::Reset },
              UnframedBody::EndsWithConnection,
              LongUpload())
       .HasValue());
}
