#include "logging/DecisionLog.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <climits>
#include <cmath>

#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

namespace toucanstand {

namespace {

/// Lines that wait for a slow reader; the rest is dropped.
constexpr std::size_t kMostWaitingBytes = 32U << 10U;
/// A pipe that is ready takes a line up to this size whole, without blocking.
constexpr std::size_t kMostWarningBytes = PIPE_BUF;
/// Part of a pipe that warnings may fill. Other parts of the program write to it as well,
/// and would block.
constexpr std::size_t kWarningShareDivisor = 2;
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

/// False for a pipe whose reader has left too much in it.
bool HasRoomFor(int aDescriptor, std::size_t aBytes)
{
  const int capacity = ::fcntl(aDescriptor, F_GETPIPE_SZ);
  int waiting = 0;
  if (capacity < 0 || ::ioctl(aDescriptor, FIONREAD, &waiting) != 0) {
    return true;
  }
  return static_cast<std::size_t>(waiting) + aBytes <=
         static_cast<std::size_t>(capacity) / kWarningShareDivisor;
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

DecisionLog::DecisionLog(std::string aVm, Descriptors aDescriptors, Budget aBudget)
  : vm(std::move(aVm))
  , descriptors(aDescriptors)
  , routine{ aBudget.routine, aBudget.routine, BootClock::now() }
  , notable{ aBudget.notable, aBudget.notable, BootClock::now() }
{
  if (this->descriptors.decisions >= 0) {
    const int flags = ::fcntl(this->descriptors.decisions, F_GETFL);
    if (flags >= 0) {
      ::fcntl(this->descriptors.decisions, F_SETFL, flags | O_NONBLOCK);
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
  if (aWeight == LogWeight::Warning) {
    this->WriteWarning(aEvent, aFields);
    return;
  }
  if (this->descriptors.decisions < 0) {
    return;
  }
  auto& credit = aWeight == LogWeight::Routine ? this->routine : this->notable;
  if (!Take(credit, BootClock::now()) || this->buffer.size() > kMostWaitingBytes) {
    ++this->leftOut;
    ++this->leftOutTotal;
    return;
  }
  this->AppendLine(this->buffer, aEvent, aFields, this->leftOut);
  this->Flush();
}

void DecisionLog::AppendLine(std::string& aOutput,
                             std::string_view aEvent,
                             std::initializer_list<LogField> aFields,
                             std::uint64_t& aLeftOut)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  aOutput += "{\"unix_ms\":";
  AppendNumber(aOutput,
               std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
  aOutput += ",\"vm\":";
  AppendQuoted(aOutput, this->vm);
  aOutput += ",\"event\":";
  AppendQuoted(aOutput, aEvent);
  for (const auto& field : aFields) {
    aOutput += ',';
    AppendQuoted(aOutput, field.name);
    aOutput += ':';
    std::visit(AppendValue{ aOutput }, field.value);
  }
  if (aLeftOut > 0) {
    aOutput += ",\"left_out\":";
    AppendNumber(aOutput, aLeftOut);
    aLeftOut = 0;
  }
  aOutput += "}\n";
}

void DecisionLog::WriteWarning(std::string_view aEvent,
                               std::initializer_list<LogField> aFields)
{
  if (this->descriptors.warnings < 0) {
    return;
  }
  // Lines that were left out of the decisions are stated there as well.
  auto leftOutOfBoth = this->leftOut + this->warningsLeftOut;
  std::string line;
  this->AppendLine(line, aEvent, aFields, leftOutOfBoth);
  pollfd writable{ this->descriptors.warnings, POLLOUT, 0 };
  const bool isTaken = line.size() <= kMostWarningBytes &&
                       HasRoomFor(this->descriptors.warnings, line.size()) &&
                       ::poll(&writable, 1, 0) == 1 &&
                       (writable.revents & POLLOUT) != 0 &&
                       ::write(this->descriptors.warnings, line.data(), line.size()) > 0;
  if (isTaken) {
    this->warningsLeftOut = 0;
    return;
  }
  ++this->warningsLeftOut;
  ++this->leftOutTotal;
}

void DecisionLog::Flush()
{
  while (!this->buffer.empty()) {
    const auto written =
      ::write(this->descriptors.decisions, this->buffer.data(), this->buffer.size());
    if (written > 0) {
      this->buffer.erase(0, static_cast<std::size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) {
      continue;
    }
    // EAGAIN: the reader is slow, and the bytes wait. Any other error ends the log.
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      this->descriptors.decisions = -1;
      this->buffer.clear();
    }
    return;
  }
}

} // namespace toucanstand
