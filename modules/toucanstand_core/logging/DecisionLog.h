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
  /// A request that this process lost. Has no budget, and goes to standard error, where
  /// the warnings of the program are.
  Warning,
};

/// One named value of a log line.
struct LogField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Structured log of decisions: one JSON object a line on standard output, and on
/// standard error for warnings.
///
/// It never blocks: a line that the reader of a full pipe does not take is dropped. The
/// number of lines a second is bounded; what was left out is counted and stated in the
/// next decision and in the next warning.
class DecisionLog
{
public:
  /// Lines a second for each weight; a burst may have as many.
  struct Budget
  {
    double routine = 50;
    double notable = 100;
  };

  /// Where the lines go; -1 writes nothing.
  struct Descriptors
  {
    /// Is set to non-blocking.
    int decisions = -1;
    /// Other parts of the program may write to it, so its flags are left alone.
    int warnings = -1;
  };

  DecisionLog(std::string aVm, Descriptors aDescriptors, Budget aBudget);

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
  void AppendLine(std::string& aOutput,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields,
                  std::uint64_t& aLeftOut);
  void WriteWarning(std::string_view aEvent, std::initializer_list<LogField> aFields);
  void Flush();

  std::string vm;
  Descriptors descriptors;
  Credit routine;
  Credit notable;
  std::string buffer;
  std::uint64_t leftOut = 0;
  std::uint64_t warningsLeftOut = 0;
  std::uint64_t leftOutTotal = 0;
};

} // namespace toucanstand
