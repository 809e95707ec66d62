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
  /// Bytes that are no event: a line does not begin with a field name, or an event names
  /// two ids.
  NotAnEvent,
  /// An event id does not come after the preceding one.
  OutOfOrder,
  /// Consecutive event ids have a gap.
  Gap,
  /// An event with data has no id, although it must have one or those before it have one.
  WithoutId,
};

/// Whether events with data must have an id.
enum class EventIds
{
  Optional,
  /// The answer may have to be resumed, which takes the id of its last event.
  Required,
};

/// Splits a byte stream into complete server-sent events, whose bytes are unchanged.
///
/// Only complete events are returned, so that an answer that breaks off in the middle of
/// an event can be resumed on another server from the last complete event. Everything
/// else that a server sends in place of events is rejected. Comments before the first
/// event of an attempt are omitted: it is not an answer yet.
class EventFramer
{
public:
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// @param aLastEventId id of the last event that the caller has received, if it sent
  /// one
  explicit EventFramer(std::optional<std::string> aLastEventId = {},
                       EventIds aIds = EventIds::Optional);

  /// Appends bytes; returns the events that they complete, or an empty string. After a
  /// failure, none of these events count as received.
  [[nodiscard]] Result<std::string, EventFailure> Feed(std::string_view aBytes);

  /// Discards an incomplete event. Call before the answer is resumed on a new connection.
  void BeginAttempt();

  /// Bytes of an incomplete event in the buffer.
  [[nodiscard]] std::size_t PendingBytes() const { return this->pending.size(); }
  /// True when the buffer holds an incomplete event.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

  /// Id of the last complete event; before the first one, the id that the caller sent.
  [[nodiscard]] const std::optional<std::string>& LastEventId() const
  {
    return this->position.lastEventId;
  }

  /// Number of complete events with an id, including those received before the answer
  /// was resumed.
  [[nodiscard]] std::size_t EventCount() const { return this->position.eventCount; }

  /// True when events with data and without an id have been received. No server can tell
  /// where such an answer has to be resumed.
  [[nodiscard]] bool HasEventsWithoutId() const
  {
    return this->position.hasEventsWithoutId;
  }

  /// True when the current attempt has sent the mark that follows the last event.
  [[nodiscard]] bool HasEndMark() const { return this->position.hasEndMark; }

private:
  /// What the events say that have been received.
  struct Position
  {
    std::optional<std::string> lastEventId;
    std::size_t eventCount = 0;
    /// The ids of all events are consecutive numbers.
    bool isConsecutive = true;
    bool hasEventsWithoutId = false;
    bool hasEndMark = false;
    /// The current attempt has sent an event.
    bool hasAttemptEvents = false;

    /// Records an event. @returns why it is rejected, if it is
    [[nodiscard]] std::optional<EventFailure> Record(std::string_view aEvent,
                                                     EventIds aIds);
    [[nodiscard]] std::optional<EventFailure> RecordId(std::string_view aId);
  };

  EventIds ids;
  std::string pending;
  Position position;
};

} // namespace toucanstand
