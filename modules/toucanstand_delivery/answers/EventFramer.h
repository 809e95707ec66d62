#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "errors/Result.h"

namespace toucanstand {

/// Why a stream of events can't be passed on.
enum class EventFailure
{
  /// An event is larger than the bound.
  TooLarge,
  /// An event's id is not above that of the event before it.
  OutOfOrder,
};

/// Whole server-sent events out of a byte stream, as they came.
///
/// An event is passed on only when it has arrived whole: a run that breaks within an
/// event can then go on in another run at the next one.
class EventFramer
{
public:
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// @param aLastEventId id of the last event that the caller has, if it named one
  explicit EventFramer(std::optional<std::string> aLastEventId = {});

  /// Takes bytes; returns the whole events that they complete, empty if none.
  [[nodiscard]] Result<std::string, EventFailure> Feed(std::string_view aBytes);

  /// A new run begins: drops what is left of an event that did not arrive whole.
  void DropPartialEvent() { this->pending.clear(); }

  /// True when an event has arrived in part.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

  /// Id of the last whole event, or the caller's own before the first.
  [[nodiscard]] const std::optional<std::string>& LastEventId() const
  {
    return this->lastEventId;
  }

  /// Whole events with an id so far, over all runs.
  [[nodiscard]] std::size_t EventCount() const { return this->eventCount; }

private:
  [[nodiscard]] bool RecordId(std::string_view aEvent);

  std::string pending;
  std::optional<std::string> lastEventId;
  std::size_t eventCount = 0;
};

} // namespace toucanstand
