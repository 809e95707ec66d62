#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "time/BootClock.h"

namespace toucanstand {

/// Sets no-delay, keepalive probes and TCP_USER_TIMEOUT, so that the kernel gives up on
/// a connection whose other end stopped acknowledging.
void SetLivenessOptions(boost::asio::ip::tcp::socket& aSocket, Duration aUserTimeout);

/// True when the other end closed its side, without consuming received bytes.
[[nodiscard]] bool PeerHasClosed(boost::asio::ip::tcp::socket& aSocket);

/// Decides what the other end sees when the socket is closed, also by the end of the
/// process: a reset, or an orderly end after all bytes.
void SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aReset);

/// True when bytes have arrived that were not read.
[[nodiscard]] bool HasUnreadBytes(boost::asio::ip::tcp::socket& aSocket);

/// Lets the kernel hold as many bytes that were written as the system allows one socket.
void EnlargeSendBuffer(boost::asio::ip::tcp::socket& aSocket);

/// Bytes that the other end has not acknowledged; 0 when the kernel can't tell.
[[nodiscard]] std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket);

} // namespace toucanstand
