#include "logging/DecisionLog.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cmath>

#include <fcntl.h>
#include <unistd.h>

namespace toucanstand {

namespace {

/// Lines that wait for a slow reader; the rest is dropped.
constexpr std::size_t kMostWaitingBytes = 32U << 10U;
/// Longer values, such as an id that fills a caller's header, are cut: a line must not
/// take the place of all others that wait.
constexpr std::size_t kMostValueBytes = 400;

void AppendQuoted(std::string& aOutput, std::string_view aText)
{
  constexpr std::string_view kHexadecimal = "0123456789abcdef";
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kFirstNonAscii = 0x7f;
  aOutput += '"';
  for (const char character : aText.substr(0, kMostValueBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aOutput += '\\';
      aOutput += character;
    } else if (byte < kFirstPrintable || byte >= kFirstNonAscii) {
      aOutput += "\\u00";
      aOutput += kHexadecimal[byte >> 4U];
      aOutput += kHexadecimal[byte & 15U];
    } else {
      aOutput += character;
    }
  }
  aOutput += '"';
}

template<typename Number>
void AppendNumber(std::string& aOutput, Number aNumber)
{
  std::array<char, 40> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), aNumber);
  aOutput.append(text.data(), result.ptr);
}

struct AppendValue
{
  std::string& output;

  void operator()(std::string_view aText) const { AppendQuoted(this->output, aText); }
  void operator()(std::int64_t aNumber) const { AppendNumber(this->output, aNumber); }
  void operator()(bool aFlag) const { this->output += aFlag ? "true" : "false"; }
  void operator()(double aNumber) const
  {
    constexpr double kThousandth = 1000.0;
    AppendNumber(this->output,
                 std::isfinite(aNumber) ? std::round(aNumber * kThousandth) / kThousandth
                                        : 0.0);
  }
};

} // namespace

DecisionLog::DecisionLog(std::string aVm, int aDescriptor, Budget aBudget)
  : vm(std::move(aVm))
  , descriptor(aDescriptor)
  , routine{ aBudget.routine, aBudget.routine, BootClock::now() }
  , notable{ aBudget.notable, aBudget.notable, BootClock::now() }
{
  if (this->descriptor >= 0) {
    const int flags = ::fcntl(this->descriptor, F_GETFL);
    if (flags >= 0) {
      ::fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
    }
  }
}

bool DecisionLog::Take(Credit& aCredit, TimePoint aNow)
{
  aCredit.available =
    std::min(aCredit.perSecond,
             aCredit.available + ToSeconds(aNow - aCredit.updatedAt) * aCredit.perSecond);
  aCredit.updatedAt = aNow;
  if (aCredit.available < 1.0) {
    return false;
  }
  aCredit.available -= 1.0;
  return true;
}

void DecisionLog::Write(LogWeight aWeight,
                        std::string_view aEvent,
                        std::initializer_list<LogField> aFields)
{
  if (this->descriptor < 0) {
    return;
  }
  auto& credit = aWeight == LogWeight::Routine ? this->routine : this->notable;
  if (!Take(credit, BootClock::now()) || this->buffer.size() > kMostWaitingBytes) {
    ++this->leftOut;
    ++this->leftOutTotal;
    return;
  }
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  this->buffer += "{\"unix_ms\":";
  AppendNumber(this->buffer,
               std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
  this->buffer += ",\"vm\":";
  AppendQuoted(this->buffer, this->vm);
  this->buffer += ",\"event\":";
  AppendQuoted(this->buffer, aEvent);
  for (const auto& field : aFields) {
    this->buffer += ',';
    AppendQuoted(this->buffer, field.name);
    this->buffer += ':';
    std::visit(AppendValue{ this->buffer }, field.value);
  }
  if (this->leftOut > 0) {
    this->buffer += ",\"left_out\":";
    AppendNumber(this->buffer, this->leftOut);
    this->leftOut = 0;
  }
  this->buffer += "}\n";
  this->Flush();
}

void DecisionLog::Flush()
{
  while (!this->buffer.empty()) {
    const auto written =
      ::write(this->descriptor, this->buffer.data(), this->buffer.size());
    if (written > 0) {
      this->buffer.erase(0, static_cast<std::size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) {
      continue;
    }
    // EAGAIN: the reader is slow, and the bytes wait. Any other error ends the log.
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      this->descriptor = -1;
      this->buffer.clear();
    }
    return;
  }
}

} // namespace toucanstand
