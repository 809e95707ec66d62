#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "LogLine.h"

namespace toucanstand {

/// Events of one request in order of time, built from the decision log lines of several
/// VMs, which may be added in any order.
class RequestTimeline
{
public:
  /// Lines about servers and groups are included from this long before the first line of
  /// the request until this long after its last one: clocks of VMs differ, and the loss
  /// of a group member is detected within a second.
  static constexpr std::int64_t kContextMarginMs = 3000;
  /// Maximum number of lines about servers and groups that are stored; which of them are
  /// relevant is known only when all lines of the request have been read.
  static constexpr std::size_t kMaxContextLines = 500'000;

  explicit RequestTimeline(std::string aRequest);

  void AddLine(std::string_view aLine);

  struct Entry
  {
    LogLine line;
    /// Description of the event for operators.
    std::string text;
  };

  /// Returns the entries in order of time. Call after the last AddLine().
  [[nodiscard]] std::vector<Entry> Entries() const;

  /// Returns the cause of the request's outcome as far as the lines show it, or an empty
  /// text if there is no line of the request.
  [[nodiscard]] std::string ExplainOutcome() const;

  [[nodiscard]] std::size_t DamagedLines() const { return this->damagedLines; }
  /// Number of lines that processes omitted because their log budget was used up, summed
  /// over all lines read.
  [[nodiscard]] std::int64_t OmittedLines() const { return this->omittedLines; }
  /// Number of lines about servers and groups beyond kMaxContextLines, which are dropped.
  [[nodiscard]] std::size_t DroppedContextLines() const
  {
    return this->droppedContextLines;
  }
  [[nodiscard]] bool IsEmpty() const { return this->requestLines.empty(); }

  [[nodiscard]] nlohmann::json ToJson() const;

private:
  /// Extends the time span and the related groups, servers and VMs by a request line.
  void ExtendScope(const LogLine& aLine);
  [[nodiscard]] bool IsRelated(const LogLine& aLine) const;
  [[nodiscard]] bool HasLostMember(const std::string& aGroup) const;
  [[nodiscard]] const LogLine* FindRequestLine(std::string_view aEvent) const;
  [[nodiscard]] const LogLine* LastGroupPlan() const;

  std::string request;
  std::vector<LogLine> requestLines;
  std::vector<LogLine> contextLines;
  /// Groups, servers and VMs that the lines of the request name.
  std::set<std::string> groups;
  std::set<std::string> servers;
  std::set<std::string> vms;
  std::int64_t firstMs = 0;
  std::int64_t lastMs = 0;
  std::size_t damagedLines = 0;
  std::size_t droppedContextLines = 0;
  std::int64_t omittedLines = 0;
};

/// Returns a description of a log line for operators.
[[nodiscard]] std::string DescribeLogLine(const LogLine& aLine);

} // namespace toucanstand
