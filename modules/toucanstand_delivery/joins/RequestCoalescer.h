#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// How the answer is delivered to the caller.
enum class AnswerForm
{
  /// As one body, when it is complete.
  Whole,
  /// Event by event.
  Streamed,
};

/// Whether an arriving request joins the run of an identical one.
struct JoinDecision
{
  /// The request whose run is joined; empty when the arriving request joins no run and is
  /// executed.
  std::optional<RequestId> run;
  /// For streamed answers: the events sent so far, to be sent to the joining caller
  /// first.
  std::vector<std::string> backlog;
};

/// Coalesces identical idempotent requests of one account into one run, that is, one
/// execution whose answer all of their callers get.
///
/// A run is cancelled only when its last caller has left. A streamed run can be joined as
/// long as all its events are buffered; when they exceed the limit, no more callers can
/// join it, and the next identical request starts a new run.
class RequestCoalescer
{
public:
  static constexpr std::size_t kMaximumRuns = 10'000;
  static constexpr std::size_t kMaximumCallersPerRun = 64;
  /// Maximum size of the buffered events of one run and of all runs, in bytes.
  static constexpr std::size_t kMaxHeldBytesPerRun = std::size_t{ 64 } * 1024;
  static constexpr std::size_t kMaxHeldBytes = std::size_t{ 32 } * 1024 * 1024;

  /// Joins the request to an existing run or starts a new run with the request's id.
  [[nodiscard]] JoinDecision OnArrival(const RequestId& aRequest,
                                       const AccountId& aAccount,
                                       std::uint64_t aFingerprint,
                                       Repeatability aRepeatability,
                                       AnswerForm aForm);

  /// Buffers an event that was sent to the callers of a streamed run.
  void OnEvent(const RequestId& aRun, const std::string& aEvent);

  /// Callers of the run, to which events or the complete answer are sent.
  [[nodiscard]] std::vector<RequestId> CallersOf(const RequestId& aRun) const;

  /// A caller disconnected. True when it was the last one of its run, which must then be
  /// cancelled.
  [[nodiscard]] bool OnCallerLeft(const RequestId& aRequest);

  /// The run ended, with or without an answer. Returns its callers.
  std::vector<RequestId> OnRunEnded(const RequestId& aRun);

  [[nodiscard]] std::size_t RunCount() const { return this->runs.size(); }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  using Key = std::tuple<AccountId, std::uint64_t, AnswerForm>;

  struct Run
  {
    Key key;
    std::set<RequestId> callers;
    std::vector<std::string> events;
    std::size_t heldBytes = 0;
  };

  [[nodiscard]] Run* FindJoinableRun(const Key& aKey);
  /// Admits no more callers to the run and frees its buffered events.
  void StopJoining(const RequestId& aRun, Run& aEntry);
  void Erase(const RequestId& aRun);

  std::unordered_map<RequestId, Run> runs;
  std::unordered_map<RequestId, RequestId> runOfCaller;
  std::map<Key, RequestId> joinableRuns;
  std::size_t totalHeldBytes = 0;
  std::uint64_t joinedCount = 0;
};

} // namespace toucanstand
