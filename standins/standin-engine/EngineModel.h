#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "common/LaggedLoad.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Speed and limits of one engine.
struct EngineSettings
{
  /// Name in `/state`.
  std::string server;
  std::size_t slots = 8;
  std::size_t queueLimit = 64;
  /// Of one request that runs alone.
  double tokensPerSecond = 100;
  /// How much longer a step takes with all slots in use than with one; 0.5 is half.
  double batchSlowdown = 0.5;
  /// Time before the first token of a prompt whose prefix is not cached.
  Duration prefill = std::chrono::milliseconds(20);
  /// Between a control order and its effect.
  Duration load = std::chrono::milliseconds(500);
  /// Age of the load in `/state`.
  Duration reportLag = std::chrono::milliseconds(200);
  std::size_t prefixCapacity = 64;
  bool ignoreFence = false;
};

/// A request as the engine takes it.
struct EngineRequest
{
  std::string id;
  std::string prompt;
  std::uint64_t prefix = 0;
  /// Higher runs first.
  std::int64_t priority = 0;
  /// Index of the first token to produce.
  std::uint64_t resumeOffset = 0;
  /// Number of tokens of the whole answer.
  std::uint64_t maxTokens = 0;
  /// Checked against the engine's own when given.
  std::optional<std::string> group;
  std::optional<std::uint64_t> generation;
};

/// Why a request was not accepted; a rejected request has not run.
enum class EngineRejection
{
  QueueFull,
  WrongGroup,
  Leaving,
};

/// How a run ended.
enum class RunEnd
{
  Running,
  Finished,
  /// Cancelled by `DELETE /v1/requests/<id>`.
  Cancelled,
  /// Its connection closed.
  Disconnected,
  /// Its connection closed, and the engine finished it all the same.
  Unread,
  Crashed,
  /// A control order moved the engine to another group or generation.
  Reassigned,
};

/// One token of one run.
struct EngineToken
{
  std::uint64_t run = 0;
  std::uint64_t index = 0;
  std::string text;
};

/// What a step of the engine produced.
struct EngineOutput
{
  std::vector<EngineToken> tokens;
  /// Runs that end after these tokens.
  std::vector<std::uint64_t> finished;
  /// Runs whose connections must be closed without an end mark.
  std::vector<std::uint64_t> aborted;
};

/// Answer to a control order.
enum class OrderReply
{
  Accepted,
  StaleFence,
};

/// A control order, see docs/design.md, section 5.
struct EngineOrder
{
  std::int64_t fence = 0;
  std::string group;
  std::uint64_t generation = 0;
  std::vector<std::string> members;
  std::string model;
};

/// State machine of one engine with continuous batching: each step produces one token of
/// every running request and takes longer the more requests run.
///
/// It does no I/O; the caller passes the time and calls Advance() at NextEvent().
class EngineModel
{
public:
  explicit EngineModel(EngineSettings aSettings);

  /// Accepts a request. On success the number of the run, which is never reused.
  [[nodiscard]] std::optional<std::uint64_t> Submit(const EngineRequest& aRequest,
                                                    TimePoint aNow,
                                                    EngineRejection& aRejection);

  /// Everything that is due by aNow.
  [[nodiscard]] EngineOutput Advance(TimePoint aNow);

  /// When Advance() is due; nothing when the engine is idle.
  [[nodiscard]] std::optional<TimePoint> NextEvent() const;

  /// Cancels all runs of a request. @returns the runs that were ended.
  std::vector<std::uint64_t> Cancel(const std::string& aRequestId, TimePoint aNow);

  /// The connection of a run closed. @param aStop ends the run; otherwise it continues.
  void Disconnect(std::uint64_t aRun, bool aStop, TimePoint aNow);

  OrderReply Order(const EngineOrder& aOrder, TimePoint aNow);

  /// Ends all runs and forgets group, fence and cache, as a restarted process does.
  void Crash(TimePoint aNow);

  /// Multiplies the time of every step; 1 is normal speed.
  void SetSlowFactor(double aFactor) { this->slowFactor = aFactor; }

  /// Announces in `/state` that the engine leaves.
  /// @param aRefuse also rejects new requests; otherwise they are accepted and logged.
  void SetLeaving(bool aLeaving, bool aRefuse, TimePoint aNow);

  /// The answer to `GET /state`, with the load as of the report lag ago.
  [[nodiscard]] nlohmann::json State(TimePoint aNow);

  /// All runs, orders and the time spent, for `GET /log`.
  [[nodiscard]] nlohmann::json Log(TimePoint aNow) const;

private:
  struct Run
  {
    EngineRequest request;
    std::uint64_t number = 0;
    TimePoint submitted{};
    std::optional<TimePoint> started;
    TimePoint promptReady{};
    std::optional<TimePoint> disconnected;
    std::optional<TimePoint> leavingSince;
    std::optional<TimePoint> ended;
    std::uint64_t produced = 0;
    RunEnd end = RunEnd::Running;
  };

  [[nodiscard]] Duration StepDuration() const;
  void FillSlots(TimePoint aNow);
  void Step(TimePoint aNow, EngineOutput& aOutput);
  void ApplyOrder(EngineOutput& aOutput);
  void End(Run& aRun, RunEnd aEnd, TimePoint aNow);
  void RemoveEnded(TimePoint aNow);
  bool TouchPrefix(std::uint64_t aPrefix);
  void RecordLoad(TimePoint aNow);
  [[nodiscard]] nlohmann::json DescribeRun(const Run& aRun) const;

  EngineSettings settings;
  double slowFactor = 1;
  bool leaving = false;
  bool refuseWhenLeaving = false;
  TimePoint leavingSince{};

  std::string group;
  std::uint64_t generation = 0;
  std::int64_t fence = 0;
  std::string model;
  std::optional<EngineOrder> pendingOrder;
  TimePoint orderDue{};

  std::uint64_t nextRun = 1;
  std::list<Run> running;
  /// By priority, the highest first, then by arrival.
  std::list<Run> queue;
  std::optional<TimePoint> nextStep;
  /// Most recently used first.
  std::list<std::uint64_t> prefixes;

  /// Reports given since the engine started.
  std::uint64_t reports = 0;
  LaggedLoad load;

  std::vector<Run> endedRuns;
  std::vector<std::pair<EngineOrder, OrderReply>> orders;
  std::map<std::string, std::uint64_t> rejections;
  std::uint64_t crashes = 0;
};

} // namespace toucanstand
