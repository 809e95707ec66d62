#include "BackgroundAttempt.h"

#include <exception>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

std::string Describe(const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

} // namespace

BackgroundAttempt::BackgroundAttempt(asio::io_context& aLoop,
                                     std::shared_ptr<const void> aOwner,
                                     Task<Failure> aAttempt)
  : state(std::make_shared<State>(aLoop))
{
  asio::co_spawn(
    aLoop,
    std::move(aAttempt),
    [shared = this->state, owner = std::move(aOwner)](const std::exception_ptr& aError,
                                                      Failure aFailure) {
      shared->failure = std::move(aFailure);
      if (aError) {
        spdlog::error("attempt beside a silent server: {}", Describe(aError));
        shared->failure = FailedAttempt{ AttemptFailure::BrokenInBody, std::nullopt };
      }
      shared->hasEnded = true;
      shared->end.cancel();
    });
}

Task<BackgroundAttempt::Failure> BackgroundAttempt::Wait()
{
  const auto shared = this->state;
  while (!shared->hasEnded) {
    co_await shared->end.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return shared->failure;
}

} // namespace toucanstand
