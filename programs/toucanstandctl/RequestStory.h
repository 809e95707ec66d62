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
class RequestStory
{
public:
  /// Lines on servers and groups count this long before the request was first seen and
  /// after it ended: clocks of VMs differ, and a lost member is found within a second.
  static constexpr std::int64_t kAroundMs = 3000;
  /// Lines on servers and groups that are kept until the request's time is known.
  static constexpr std::size_t kMostContext = 500'000;

  explicit RequestStory(std::string aRequest);

  void Add(std::string_view aLine);

  struct Entry
  {
    LogLine line;
    /// In plain words.
    std::string text;
  };

  /// Entries in the order of their times. Call after the last Add().
  [[nodiscard]] std::vector<Entry> Entries() const;

  /// Why the request ended as it did, as far as the lines tell; empty without any line.
  [[nodiscard]] std::string Cause() const;

  [[nodiscard]] std::size_t Damaged() const { return this->damaged; }
  /// Lines that processes left out for want of budget, over all lines read.
  [[nodiscard]] std::int64_t LeftOut() const { return this->leftOut; }
  /// Context lines that were not kept.
  [[nodiscard]] std::size_t Dropped() const { return this->dropped; }
  [[nodiscard]] bool IsEmpty() const { return this->own.empty(); }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  void Remember(const LogLine& aLine);
  [[nodiscard]] bool IsRelated(const LogLine& aLine) const;
  [[nodiscard]] bool LostMemberOf(const std::string& aGroup) const;
  [[nodiscard]] const LogLine* Find(std::string_view aEvent) const;
  [[nodiscard]] const LogLine* LastPlan() const;

  std::string request;
  std::vector<LogLine> own;
  std::vector<LogLine> context;
  /// What the request's lines name.
  std::set<std::string> groups;
  std::set<std::string> servers;
  std::set<std::string> vms;
  std::int64_t firstMs = 0;
  std::int64_t lastMs = 0;
  std::size_t damaged = 0;
  std::size_t dropped = 0;
  std::int64_t leftOut = 0;
};

/// A line in plain words.
[[nodiscard]] std::string Sentence(const LogLine& aLine);

} // namespace toucanstand
