#include "BlockingClient.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "random/Random.h"

namespace toucanstand {

namespace {

constexpr auto kReadRetryDelay = std::chrono::milliseconds(200);

} // namespace

BlockingClient::BlockingClient(const ControlSettings& aSettings)
  : httpClient(this->loop, this->metrics)
  , store(this->loop,
          EtcdStoreSettings{ aSettings.store },
          this->metrics,
          Random(SystemSeed()))
{
}

Result<HttpResponse, HttpFailure> BlockingClient::SendRequest(const Endpoint& aEndpoint,
                                                              const std::string& aMethod,
                                                              const std::string& aTarget)
{
  std::optional<Result<HttpResponse, HttpFailure>> result;
  const auto task = [&]() -> Task<> {
    HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    const HttpDeadlines deadlines;
    result = co_await this->httpClient.Fetch(aEndpoint, std::move(request), deadlines);
  };
  this->RunToCompletion(task());
  return std::move(*result);
}

ChangeOutcome BlockingClient::CommitChange(ConfigurationChange& aChange)
{
  ChangeAction action = aChange.Start();
  const auto task = [&]() -> Task<> {
    while (!std::holds_alternative<ChangeOutcome>(action)) {
      action = co_await this->PerformAction(aChange, action);
    }
  };
  this->RunToCompletion(task());
  return std::get<ChangeOutcome>(action);
}

void BlockingClient::WaitFor(Duration aTime)
{
  boost::asio::steady_timer timer(this->loop, aTime);
  timer.async_wait([](const boost::system::error_code&) {});
  this->loop.restart();
  this->loop.run();
}

void BlockingClient::RunToCompletion(Task<> aTask)
{
  boost::asio::co_spawn(this->loop, std::move(aTask), [this](std::exception_ptr aError) {
    this->loop.stop();
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
  this->loop.restart();
  this->loop.run();
}

Task<ChangeAction> BlockingClient::PerformAction(ConfigurationChange& aChange,
                                                 ChangeAction aAction)
{
  if (const auto* swap = std::get_if<SwapConfiguration>(&aAction)) {
    Result<StoreRevision, StoreFailure> written(StoreFailure::NotSent);
    if (swap->modRevision == 0) {
      written = co_await this->store.CreateIfAbsent(kConfigurationKey, swap->text, 0);
    } else {
      written = co_await this->store.ReplaceIf(
        kConfigurationKey, swap->modRevision, swap->text, 0);
    }
    if (written || written.LastReason() == StoreFailure::Conflict) {
      co_return aChange.OnSwapAnswered(written.HasValue());
    }
    co_return aChange.OnSwapUnanswered();
  }
  const auto value = co_await this->store.Read(kConfigurationKey);
  StoredConfiguration stored;
  if (value) {
    stored = { value->value, value->modRevision };
  } else if (value.LastReason() != StoreFailure::NotFound) {
    boost::asio::steady_timer timer(this->loop, kReadRetryDelay);
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_return aChange.OnReadFailed();
  }
  co_return aChange.OnRead(stored);
}

} // namespace toucanstand
