#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "time/BootClock.h"

namespace toucanstand {

/// How much a log line matters when the budget runs short.
enum class LogWeight
{
  /// Left out first, for example a request that was answered.
  Routine,
  /// A failure, a refusal or a change of belief.
  Notable,
};

/// One named value of a log line.
struct LogField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Structured log of decisions: one JSON object a line on standard output.
///
/// It never blocks: a line that the reader of a full pipe does not take is dropped. The
/// number of lines a second is bounded; what was left out is counted and stated in the
/// next line that is written.
class DecisionLog
{
public:
  /// Lines a second for each weight; a burst may have as many.
  struct Budget
  {
    double routine = 50;
    double notable = 100;
  };

  /// @param aDescriptor is set to non-blocking; -1 writes nothing
  DecisionLog(std::string aVm, int aDescriptor, Budget aBudget);

  void Write(LogWeight aWeight,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields);

  /// Lines that were left out since the start.
  [[nodiscard]] std::uint64_t LeftOut() const { return this->leftOutTotal; }

private:
  struct Credit
  {
    double perSecond = 0;
    double available = 0;
    TimePoint updatedAt{};
  };

  static bool Take(Credit& aCredit, TimePoint aNow);
  void Flush();

  std::string vm;
  int descriptor;
  Credit routine;
  Credit notable;
  std::string buffer;
  std::uint64_t leftOut = 0;
  std::uint64_t leftOutTotal = 0;
};

} // namespace toucanstand
