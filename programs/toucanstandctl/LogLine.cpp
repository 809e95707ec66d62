#include "LogLine.h"

#include <algorithm>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

/// Maximum size and nesting depth of a line; processes write shorter lines.
constexpr DecodeLimits kDecodeLimits = { 64U << 10U, 4 };
constexpr std::size_t kMaxPrintedLength = 160;

} // namespace

std::string LogLine::Text(const char* aField) const
{
  const auto found = this->fields.find(aField);
  if (found == this->fields.end()) {
    return "?";
  }
  return Printable(found->is_string() ? found->get<std::string>() : found->dump());
}

std::int64_t LogLine::IntegerOrZero(const char* aField) const
{
  const auto found = this->fields.find(aField);
  const bool isNumber = found != this->fields.end() && found->is_number();
  return isNumber ? static_cast<std::int64_t>(found->get<double>()) : 0;
}

Result<LogLine, LogLineFailure> ReadLogLine(std::string_view aText)
{
  const auto start = aText.find('{');
  if (start == std::string_view::npos) {
    return LogLineFailure::NotALogLine;
  }
  auto document = DecodeJson(aText.substr(start), kDecodeLimits);
  if (!document || !document->is_object()) {
    return LogLineFailure::Damaged;
  }
  LogLine line;
  const auto time = document->find("unix_ms");
  const auto vm = document->find("vm");
  const auto event = document->find("event");
  const bool isComplete = time != document->end() && time->is_number_integer() &&
                          vm != document->end() && vm->is_string() &&
                          event != document->end() && event->is_string();
  if (!isComplete) {
    return LogLineFailure::Damaged;
  }
  line.unixMs = time->get<std::int64_t>();
  line.vm = vm->get<std::string>();
  line.event = event->get<std::string>();
  line.fields = std::move(*document);
  return line;
}

std::string Printable(std::string_view aText)
{
  std::string printable(aText.substr(0, kMaxPrintedLength));
  std::ranges::replace_if(
    printable, [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~'; }, '?');
  return aText.size() > kMaxPrintedLength ? printable + "..." : printable;
}

} // namespace toucanstand
