#include "HttpCaller.h"

#include <chrono>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

constexpr Duration kLongestWait = std::chrono::seconds(10);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
constexpr std::size_t kMostBytes = 256U << 20U;

HttpDeadlines DeadlinesFor(Duration aSilence)
{
  HttpDeadlines deadlines;
  deadlines.connect = std::chrono::seconds(5);
  deadlines.head = aSilence;
  deadlines.progress = aSilence;
  return deadlines;
}

} // namespace

HttpCaller::HttpCaller(Duration aSilence)
  : loop(1)
  , client(this->loop, this->metrics)
  , silence(aSilence)
{
}

Result<HttpResponse, HttpFailure> HttpCaller::Call(const Endpoint& aEndpoint,
                                                   const std::string& aMethod,
                                                   const std::string& aTarget,
                                                   const std::string& aBody,
                                                   const HttpHeaders& aHeaders)
{
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers = aHeaders;
  Result<HttpResponse, HttpFailure> result(HttpFailure::Cancelled);
  this->Run([&]() -> Task<> {
    result = co_await this->client.Fetch(
      aEndpoint, std::move(request), DeadlinesFor(this->silence), kMostBytes);
  }());
  return result;
}

nlohmann::json HttpCaller::Json(const Endpoint& aEndpoint,
                                const std::string& aMethod,
                                const std::string& aTarget,
                                const std::string& aBody)
{
  const auto response = this->Call(aEndpoint, aMethod, aTarget, aBody);
  if (!response) {
    throw std::runtime_error(aTarget + ": " + Name(response.LastReason()));
  }
  if (response->status != 200) {
    throw std::runtime_error(aTarget + ": status " + std::to_string(response->status) +
                             ": " + response->body);
  }
  return nlohmann::json::parse(response->body);
}

void HttpCaller::WaitFor(const Endpoint& aEndpoint,
                         const std::string& aTarget,
                         const std::function<bool(const nlohmann::json&)>& aCondition)
{
  const auto deadline = BootClock::now() + kLongestWait;
  while (BootClock::now() < deadline) {
    const auto response = this->Call(aEndpoint, "GET", aTarget);
    if (response && response->status == 200 &&
        aCondition(nlohmann::json::parse(response->body))) {
      return;
    }
    this->loop.restart();
    this->loop.run_for(kPollInterval);
  }
  throw std::runtime_error(aTarget + ": the condition did not come about");
}

std::unique_ptr<HttpClientStream> HttpCaller::OpenStream(const Endpoint& aEndpoint,
                                                         const std::string& aTarget,
                                                         const std::string& aBody,
                                                         const HttpHeaders& aHeaders,
                                                         std::string& aFirstBytes)
{
  HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  request.headers = aHeaders;
  std::unique_ptr<HttpClientStream> stream;
  this->Run([&]() -> Task<> {
    auto opened = co_await this->client.Open(aEndpoint,
                                             std::move(request),
                                             DeadlinesFor(this->silence),
                                             ConnectionUse::MayReuse,
                                             this->never);
    if (!opened) {
      co_return;
    }
    stream = std::move(*opened);
    auto bytes = co_await stream->Read(this->never);
    aFirstBytes = bytes ? *bytes : std::string();
  }());
  return stream;
}

Result<std::string, HttpFailure> HttpCaller::Read(HttpClientStream& aStream)
{
  Result<std::string, HttpFailure> result(HttpFailure::Cancelled);
  this->Run([&]() -> Task<> { result = co_await aStream.Read(this->never); }());
  return result;
}

void HttpCaller::Run(Task<> aTask)
{
  this->loop.restart();
  std::exception_ptr failure;
  boost::asio::co_spawn(
    this->loop, std::move(aTask), [this, &failure](std::exception_ptr aError) {
      failure = aError;
      this->loop.stop();
    });
  this->loop.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

} // namespace toucanstand
