#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "http/Task.h"

namespace toucanstand {

/// Copies bytes between a caller and a server in both directions.
///
/// An orderly end of the server's bytes reaches the caller as one. Any other end, also
/// that of this process, reaches the caller as a reset.
/// Any end of the caller's bytes closes both connections, so that the server stops its
/// work.
Task<> RelayBytes(boost::asio::ip::tcp::socket& aCaller,
                  boost::asio::ip::tcp::socket& aServer);

} // namespace toucanstand
