#pragma once

#include <boost/asio/awaitable.hpp>

namespace toucanstand {

/// A coroutine on the loop of the process.
///
/// GCC 12 destroys an aggregate that is made inside a co_await expression twice: make
/// `Endpoint{...}`, `HttpRequest{}` and braced lists named locals before the co_await.
template<typename T = void>
using Task = boost::asio::awaitable<T>;

} // namespace toucanstand
