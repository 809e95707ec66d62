#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace toucanstand {

/// Takes the data of server-sent events out of a byte stream.
class EventStreamReader
{
public:
  static constexpr std::size_t kMaximumEventBytes = 1U << 20U;

  /// Takes bytes and calls back with the data of each event that they complete.
  /// @returns false when an event is larger than the bound.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view)>& aListener);

private:
  std::string pending;
};

} // namespace toucanstand
