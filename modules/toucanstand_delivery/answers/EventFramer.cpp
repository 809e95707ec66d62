#include "answers/EventFramer.h"

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

std::string_view EventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const auto end = std::min(aEvent.find('\n', start), aEvent.size());
    auto line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    return line;
  }
  return {};
}

} // namespace

EventFramer::EventFramer(std::optional<std::string> aLastEventId)
  : lastEventId(std::move(aLastEventId))
{
}

Result<std::string, EventFailure> EventFramer::Feed(std::string_view aBytes)
{
  this->pending += aBytes;
  std::size_t completeBytes = 0;
  const std::string_view bytes = this->pending;
  for (auto end = EndOfEvent(bytes); end != std::string_view::npos;
       end = EndOfEvent(bytes.substr(completeBytes))) {
    const auto event = bytes.substr(completeBytes, end);
    if (!this->RecordId(event)) {
      return EventFailure::OutOfOrder;
    }
    completeBytes += end;
    // Events without an id, such as keep-alive comments, are not part of the answer.
    this->eventCount += EventId(event).empty() ? 0 : 1;
  }
  if (this->pending.size() - completeBytes > kMaxEventBytes) {
    return EventFailure::TooLarge;
  }
  std::string events = this->pending.substr(0, completeBytes);
  this->pending.erase(0, completeBytes);
  return events;
}

bool EventFramer::RecordId(std::string_view aEvent)
{
  const auto id = EventId(aEvent);
  if (id.empty()) {
    return true;
  }
  const auto number = ParseNumber(id);
  const auto previous =
    this->lastEventId ? ParseNumber(*this->lastEventId) : std::nullopt;
  if (number && previous && *number <= *previous) {
    return false;
  }
  this->lastEventId = std::string(id);
  return true;
}

} // namespace toucanstand
