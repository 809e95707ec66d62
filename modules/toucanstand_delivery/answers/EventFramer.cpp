#include "answers/EventFramer.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace toucanstand {

namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isNumber = error == std::errc{} && end == aText.data() + aText.size();
  return isNumber ? std::optional(number) : std::nullopt;
}

/// Length of the first event including the empty line that ends it; npos if the event is
/// incomplete.
std::size_t EndOfEvent(std::string_view aBytes)
{
  std::size_t start = 0;
  while (true) {
    const auto newline = aBytes.find('\n', start);
    if (newline == std::string_view::npos) {
      return std::string_view::npos;
    }
    const bool emptyLine =
      newline == start || (newline == start + 1 && aBytes[start] == '\r');
    // An empty line at the beginning of the bytes does not end an event.
    if (emptyLine && newline > 1) {
      return newline + 1;
    }
    start = newline + 1;
  }
}

/// The fields of one event that matter here.
struct EventFields
{
  std::size_t ids = 0;
  std::string_view id;
  std::size_t dataLines = 0;
  std::string_view lastData;
  bool hasInvalidField = false;
};

/// Data of the event without an id that ends an answer.
constexpr std::string_view kEndMark = "[DONE]";

/// A server may add fields of its own, which readers of event streams ignore.
bool IsFieldName(std::string_view aName)
{
  return std::ranges::all_of(aName, [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-';
  });
}

/// A line whose field name has other characters than those of servers is taken for a part
/// of an error message or of another response's head.
EventFields ParseEvent(std::string_view aEvent)
{
  EventFields fields;
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const auto end = std::min(aEvent.find('\n', start), aEvent.size());
    auto line = aEvent.substr(start, end - start);
    start = end + 1;
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    const auto colon = std::min(line.find(':'), line.size());
    const auto name = line.substr(0, colon);
    line.remove_prefix(std::min(colon + 1, line.size()));
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    if (name == "id") {
      ++fields.ids;
      fields.id = line;
    } else if (name == "data") {
      ++fields.dataLines;
      fields.lastData = line;
    } else if (!IsFieldName(name)) {
      fields.hasInvalidField = true;
    }
  }
  return fields;
}

} // namespace

EventFramer::EventFramer(std::optional<std::string> aLastEventId, EventIds aIds)
  : ids(aIds)
{
  this->position.lastEventId = std::move(aLastEventId);
}

void EventFramer::BeginAttempt()
{
  this->pending.clear();
  this->position.hasEndMark = false;
  this->position.hasAttemptEvents = false;
}

Result<std::string, EventFailure> EventFramer::Feed(std::string_view aBytes)
{
  this->pending += aBytes;
  // The caller gets none of the events of a rejected piece, so the answer has to be
  // resumed before them.
  Position reached = this->position;
  std::string events;
  std::size_t completeBytes = 0;
  const std::string_view bytes = this->pending;
  for (auto end = EndOfEvent(bytes); end != std::string_view::npos;
       end = EndOfEvent(bytes.substr(completeBytes))) {
    const auto event = bytes.substr(completeBytes, end);
    if (const auto failure = reached.Record(event, this->ids)) {
      return *failure;
    }
    if (reached.hasAttemptEvents) {
      events += event;
    }
    completeBytes += end;
  }
  if (this->pending.size() - completeBytes > kMaxEventBytes) {
    return EventFailure::TooLarge;
  }
  this->pending.erase(0, completeBytes);
  this->position = std::move(reached);
  return events;
}

std::optional<EventFailure> EventFramer::Position::Record(std::string_view aEvent,
                                                          EventIds aIds)
{
  const auto fields = ParseEvent(aEvent);
  if (fields.hasInvalidField || fields.ids > 1) {
    return EventFailure::NotAnEvent;
  }
  if (!fields.id.empty()) {
    return this->RecordId(fields.id);
  }
  if (fields.dataLines == 0) {
    // A comment or a setting, which is not part of the answer.
    return std::nullopt;
  }
  this->hasAttemptEvents = true;
  if (fields.dataLines == 1 && fields.lastData == kEndMark) {
    this->hasEndMark = true;
    return std::nullopt;
  }
  if (aIds == EventIds::Required || this->lastEventId) {
    return EventFailure::WithoutId;
  }
  this->hasEventsWithoutId = true;
  return std::nullopt;
}

std::optional<EventFailure> EventFramer::Position::RecordId(std::string_view aId)
{
  const auto number = ParseNumber(aId);
  const auto previous =
    this->lastEventId ? ParseNumber(*this->lastEventId) : std::nullopt;
  const bool isRepeated = this->lastEventId == aId;
  if (isRepeated || (previous && (!number || *number <= *previous))) {
    return EventFailure::OutOfOrder;
  }
  if (!previous) {
    // A server that numbers events in another way need not number them without gaps.
    this->isConsecutive = number && *number <= 1;
  } else if (this->isConsecutive && *number - *previous > 1) {
    return EventFailure::Gap;
  }
  this->lastEventId = std::string(aId);
  this->hasAttemptEvents = true;
  ++this->eventCount;
  return std::nullopt;
}

} // namespace toucanstand
