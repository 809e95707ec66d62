#pragma once

#include <array>
#include <cstddef>

namespace toucanstand {

/// What a caller's connection is doing.
enum class ConnectionState
{
  /// No byte of the next request has been read.
  AwaitingRequest,
  /// A part of a request has been read.
  ReceivingRequest,
  /// The request is complete; no byte of its answer has been written.
  AwaitingAnswer,
  /// The head of the answer has been written. Tunnels stay in this state.
  SendingAnswer,
  /// The last answer has been written; the caller has not closed the connection yet.
  AwaitingClose,
};

constexpr std::size_t kConnectionStateCount = 5;

/// Name of a state for metrics and logs.
[[nodiscard]] const char* Name(ConnectionState aState);

/// Number of connections in each state.
class ConnectionCounts
{
public:
  void Add(ConnectionState aState) { ++this->At(aState); }
  void Remove(ConnectionState aState) { --this->At(aState); }
  [[nodiscard]] std::size_t Of(ConnectionState aState) const
  {
    return this->counts.at(static_cast<std::size_t>(aState));
  }

private:
  std::size_t& At(ConnectionState aState)
  {
    return this->counts.at(static_cast<std::size_t>(aState));
  }

  std::array<std::size_t, kConnectionStateCount> counts{};
};

} // namespace toucanstand
