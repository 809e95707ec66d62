#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "errors/Result.h"

namespace toucanstand {

/// Why an event stream is rejected.
enum class EventFailure
{
  /// An event exceeds kMaxEventBytes.
  TooLarge,
  /// A numeric event id is not greater than the preceding one.
  OutOfOrder,
};

/// Splits a byte stream into complete server-sent events, whose bytes are unchanged.
///
/// Only complete events are returned, so that an answer that breaks off in the middle of
/// an event can be resumed on another server from the last complete event.
class EventFramer
{
public:
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// @param aLastEventId id of the last event that the caller has received, if it sent
  /// one
  explicit EventFramer(std::optional<std::string> aLastEventId = {});

  /// Appends bytes; returns the events that they complete, or an empty string.
  [[nodiscard]] Result<std::string, EventFailure> Feed(std::string_view aBytes);

  /// Discards an incomplete event. Call before the answer is resumed on a new connection.
  void DropPartialEvent() { this->pending.clear(); }

  /// True when the buffer holds an incomplete event.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

  /// Id of the last complete event; before the first one, the id that the caller sent.
  [[nodiscard]] const std::optional<std::string>& LastEventId() const
  {
    return this->lastEventId;
  }

  /// Number of complete events with an id, including those received before the answer
  /// was resumed.
  [[nodiscard]] std::size_t EventCount() const { return this->eventCount; }

private:
  /// Stores the event's id, if any. False when it is not greater than the last one.
  [[nodiscard]] bool RecordId(std::string_view aEvent);

  std::string pending;
  std::optional<std::string> lastEventId;
  std::size_t eventCount = 0;
};

} // namespace toucanstand
