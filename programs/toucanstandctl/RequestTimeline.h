#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "LogLine.h"

namespace toucanstand {

/// The story of one request, put together from log lines of several VMs in any order.
class RequestTimeline
{
public:
  /// Lines on servers and groups count this long before the request was first seen and
  /// after it ended: clocks of VMs differ, and a lost member is found within a second.
  static constexpr std::int64_t kContextMarginMs = 3000;
  /// Lines on servers and groups that are kept until the request's time is known.
  static constexpr std::size_t kMaxContextLines = 500'000;

  explicit RequestTimeline(std::string aRequest);

  void AddLine(std::string_view aLine);

  struct Entry
  {
    LogLine line;
    /// In plain words.
    std::string text;
  };

  /// Entries in the order of their times. Call after the last AddLine().
  [[nodiscard]] std::vector<Entry> Entries() const;

  /// Why the request ended as it did, as far as the lines tell; empty without any line.
  [[nodiscard]] std::string ExplainOutcome() const;

  [[nodiscard]] std::size_t DamagedLines() const { return this->damagedLines; }
  /// Lines that processes left out for want of budget, over all lines read.
  [[nodiscard]] std::int64_t OmittedLines() const { return this->omittedLines; }
  /// Context lines that were not kept.
  [[nodiscard]] std::size_t DroppedContextLines() const
  {
    return this->droppedContextLines;
  }
  [[nodiscard]] bool IsEmpty() const { return this->requestLines.empty(); }

  [[nodiscard]] nlohmann::json ToJson() const;

private:
  void ExtendScope(const LogLine& aLine);
  [[nodiscard]] bool IsRelated(const LogLine& aLine) const;
  [[nodiscard]] bool HasLostMember(const std::string& aGroup) const;
  [[nodiscard]] const LogLine* FindRequestLine(std::string_view aEvent) const;
  [[nodiscard]] const LogLine* LastGroupPlan() const;

  std::string request;
  std::vector<LogLine> requestLines;
  std::vector<LogLine> contextLines;
  /// What the request's lines name.
  std::set<std::string> groups;
  std::set<std::string> servers;
  std::set<std::string> vms;
  std::int64_t firstMs = 0;
  std::int64_t lastMs = 0;
  std::size_t damagedLines = 0;
  std::size_t droppedContextLines = 0;
  std::int64_t omittedLines = 0;
};

/// A line in plain words.
[[nodiscard]] std::string DescribeLogLine(const LogLine& aLine);

} // namespace toucanstand
