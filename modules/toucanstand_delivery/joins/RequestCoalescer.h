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

/// How the answer is passed on to the caller.
enum class AnswerForm
{
  /// In one piece, when it is complete.
  Whole,
  /// Event by event.
  Streamed,
};

/// Decision for an arriving request.
struct JoinDecision
{
  /// The request whose run is joined; nothing when the request runs by itself.
  std::optional<RequestId> run;
  /// Streamed answers: events already passed on, which the joining caller gets first.
  std::vector<std::string> backlog;
};

/// Lets identical idempotent requests of one account share one run.
///
/// A run ends for the servers only when its last caller has left. A streamed run can be
/// joined while all its events are held; a run whose events exceed the limit is closed to
/// further callers, and the next identical request starts a run of its own.
class RequestCoalescer
{
public:
  static constexpr std::size_t kMaximumRuns = 10'000;
  static constexpr std::size_t kMaximumCallersPerRun = 64;
  /// Held events of one run and of all runs, in bytes.
  static constexpr std::size_t kMaxHeldBytesPerRun = std::size_t{ 64 } * 1024;
  static constexpr std::size_t kMaxHeldBytes = std::size_t{ 32 } * 1024 * 1024;

  /// Joins the request to a run or opens a run named by the request itself.
  [[nodiscard]] JoinDecision OnArrival(const RequestId& aRequest,
                                       const AccountId& aAccount,
                                       std::uint64_t aFingerprint,
                                       Repeatability aRepeatability,
                                       AnswerForm aForm);

  /// Records an event that was passed on to the callers of a streamed run.
  void OnEvent(const RequestId& aRun, const std::string& aEvent);

  /// Callers of the run, to pass events or the whole answer on to.
  [[nodiscard]] std::vector<RequestId> CallersOf(const RequestId& aRun) const;

  /// A caller left. True when it was the last one of its run: cancel the run.
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
  void StopJoining(const RequestId& aRun, Run& aEntry);
  void Erase(const RequestId& aRun);

  std::unordered_map<RequestId, Run> runs;
  std::unordered_map<RequestId, RequestId> runOfCaller;
  std::map<Key, RequestId> joinableRuns;
  std::size_t totalHeldBytes = 0;
  std::uint64_t joinedCount = 0;
};

} // namespace toucanstand
