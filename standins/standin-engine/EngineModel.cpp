#include "EngineModel.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "common/TokenFunction.h"

namespace toucanstand {

namespace {

// A process that was stopped has computed nothing meanwhile: after a longer gap the
// missed steps are dropped and not caught up.
constexpr Duration kLongestCatchUp = std::chrono::milliseconds(100);

// Bounds the memory of a long run.
constexpr std::size_t kMostLoggedRuns = 500'000;

const char* Name(RunEnd aEnd)
{
  constexpr std::array kNames = { "running", "finished", "cancelled", "disconnected",
                                  "unread",  "crashed",  "reassigned" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

double Milliseconds(Duration aDuration)
{
  return ToSeconds(aDuration) * 1000;
}

double SinceBoot(TimePoint aTime)
{
  return Milliseconds(aTime.time_since_epoch());
}

} // namespace

EngineModel::EngineModel(EngineSettings aSettings)
  : settings(std::move(aSettings))
  , load(this->settings.reportLag)
{
}

std::optional<std::uint64_t> EngineModel::Submit(const EngineRequest& aRequest,
                                                 TimePoint aNow,
                                                 EngineRejection& aRejection)
{
  const auto reject = [this, &aRejection](EngineRejection aReason, const char* aName) {
    aRejection = aReason;
    ++this->rejections[aName];
    return std::nullopt;
  };
  if (aRequest.group.value_or(this->group) != this->group ||
      aRequest.generation.value_or(this->generation) != this->generation) {
    return reject(EngineRejection::WrongGroup, "wrong_group");
  }
  if (this->leaving && this->refuseWhenLeaving) {
    return reject(EngineRejection::Leaving, "leaving");
  }
  if (this->running.size() >= this->settings.slots &&
      this->queue.size() >= this->settings.queueLimit) {
    return reject(EngineRejection::QueueFull, "queue_full");
  }
  Run run;
  run.request = aRequest;
  run.number = this->nextRun++;
  run.submitted = aNow;
  run.leavingSince = this->leaving ? std::optional(this->leavingSince) : std::nullopt;
  const auto behind = std::ranges::find_if(this->queue, [&aRequest](const Run& aQueued) {
    return aQueued.request.priority < aRequest.priority;
  });
  const auto number = run.number;
  this->queue.insert(behind, std::move(run));
  this->FillSlots(aNow);
  this->RecordLoad(aNow);
  return number;
}

EngineOutput EngineModel::Advance(TimePoint aNow)
{
  EngineOutput output;
  if (this->pendingOrder && this->orderDue <= aNow) {
    this->ApplyOrder(output);
  }
  if (this->nextStep && aNow - *this->nextStep > kLongestCatchUp) {
    this->nextStep = aNow;
  }
  while (this->nextStep && *this->nextStep <= aNow) {
    this->Step(*this->nextStep, output);
  }
  return output;
}

std::optional<TimePoint> EngineModel::NextEvent() const
{
  if (!this->pendingOrder) {
    return this->nextStep;
  }
  return std::min(this->orderDue, this->nextStep.value_or(this->orderDue));
}

std::vector<std::uint64_t> EngineModel::Cancel(const std::string& aRequestId,
                                               TimePoint aNow)
{
  std::vector<std::uint64_t> cancelled;
  for (auto* runs : { &this->running, &this->queue }) {
    for (auto& run : *runs) {
      if (run.request.id == aRequestId) {
        this->End(run, RunEnd::Cancelled, aNow);
        cancelled.push_back(run.number);
      }
    }
  }
  this->RemoveEnded(aNow);
  return cancelled;
}

void EngineModel::Disconnect(std::uint64_t aRun, bool aStop, TimePoint aNow)
{
  for (auto* runs : { &this->running, &this->queue }) {
    for (auto& run : *runs) {
      if (run.number != aRun) {
        continue;
      }
      run.disconnected = aNow;
      if (aStop) {
        this->End(run, RunEnd::Disconnected, aNow);
      }
    }
  }
  this->RemoveEnded(aNow);
}

OrderReply EngineModel::Order(const EngineOrder& aOrder, TimePoint aNow)
{
  const bool stale = aOrder.fence < this->fence && !this->settings.ignoreFence;
  this->orders.emplace_back(aOrder,
                            stale ? OrderReply::StaleFence : OrderReply::Accepted);
  if (stale) {
    return OrderReply::StaleFence;
  }
  // The fence is in force at once; only the load of the model takes time.
  this->fence = aOrder.fence;
  this->pendingOrder = aOrder;
  this->orderDue = aNow + this->settings.load;
  return OrderReply::Accepted;
}

void EngineModel::Crash(TimePoint aNow)
{
  for (auto* runs : { &this->running, &this->queue }) {
    for (auto& run : *runs) {
      this->End(run, RunEnd::Crashed, aNow);
    }
  }
  this->RemoveEnded(aNow);
  this->group.clear();
  this->generation = 0;
  this->fence = 0;
  this->model.clear();
  this->pendingOrder.reset();
  this->prefixes.clear();
  this->load.Clear();
  this->reports = 0;
  this->nextStep.reset();
  ++this->crashes;
}

void EngineModel::SetLeaving(bool aLeaving, bool aRefuse, TimePoint aNow)
{
  if (aLeaving && !this->leaving) {
    this->leavingSince = aNow;
  }
  this->leaving = aLeaving;
  this->refuseWhenLeaving = aRefuse;
}

nlohmann::json EngineModel::State(TimePoint aNow)
{
  const auto reported = this->load.Reported(aNow);
  return {
    { "server", this->settings.server },
    { "group", this->group },
    { "generation", this->generation },
    { "fence", this->fence },
    { "model", this->model },
    { "leaving", this->leaving },
    { "running", reported.running },
    { "queued", reported.queued },
    { "capacity", this->settings.slots },
    { "sequence", ++this->reports },
    { "cached_prefixes", this->prefixes },
  };
}

nlohmann::json EngineModel::Log(TimePoint aNow) const
{
  Duration busy{ 0 };
  Duration abandoned{ 0 };
  Duration afterDisconnect{ 0 };
  auto runs = nlohmann::json::array();
  const auto add = [&](const Run& aRun) {
    runs.push_back(this->DescribeRun(aRun));
    if (!aRun.started) {
      return;
    }
    const TimePoint end = aRun.ended.value_or(aNow);
    const Duration time = end - *aRun.started;
    busy += time;
    abandoned +=
      aRun.end == RunEnd::Cancelled || aRun.disconnected ? time : Duration::zero();
    afterDisconnect += aRun.disconnected
                         ? end - std::max(*aRun.disconnected, *aRun.started)
                         : Duration::zero();
  };
  std::ranges::for_each(this->endedRuns, add);
  std::ranges::for_each(this->running, add);
  std::ranges::for_each(this->queue, add);

  auto orderList = nlohmann::json::array();
  for (const auto& [order, reply] : this->orders) {
    orderList.push_back({ { "fence", order.fence },
                          { "group", order.group },
                          { "generation", order.generation },
                          { "members", order.members },
                          { "model", order.model },
                          { "accepted", reply == OrderReply::Accepted } });
  }
  return {
    { "server", this->settings.server },
    { "runs", std::move(runs) },
    { "orders", std::move(orderList) },
    { "rejections", this->rejections },
    { "crashes", this->crashes },
    { "busy_ms", Milliseconds(busy) },
    { "abandoned_ms", Milliseconds(abandoned) },
    { "after_disconnect_ms", Milliseconds(afterDisconnect) },
  };
}

Duration EngineModel::StepDuration() const
{
  const auto others =
    static_cast<double>(std::max<std::size_t>(this->running.size(), 1) - 1);
  const auto mostOthers =
    static_cast<double>(std::max<std::size_t>(this->settings.slots, 2) - 1);
  const double slowdown = 1 + this->settings.batchSlowdown * others / mostOthers;
  return FromSeconds(slowdown * this->slowFactor / this->settings.tokensPerSecond);
}

void EngineModel::FillSlots(TimePoint aNow)
{
  while (!this->queue.empty() && this->running.size() < this->settings.slots) {
    Run& run = this->queue.front();
    run.started = aNow;
    const bool cached = this->TouchPrefix(run.request.prefix);
    run.promptReady =
      cached ? aNow
             : aNow + FromSeconds(ToSeconds(this->settings.prefill) * this->slowFactor);
    this->running.splice(this->running.end(), this->queue, this->queue.begin());
  }
  if (this->running.empty()) {
    this->nextStep.reset();
  } else if (!this->nextStep) {
    this->nextStep = aNow + this->StepDuration();
  }
}

void EngineModel::Step(TimePoint aNow, EngineOutput& aOutput)
{
  for (auto& run : this->running) {
    const auto index = run.request.resumeOffset + run.produced;
    if (run.promptReady <= aNow && index < run.request.maxTokens) {
      aOutput.tokens.push_back(
        { run.number, index, TokenText(run.request.prompt, index) });
      ++run.produced;
    }
    if (run.promptReady <= aNow && index + 1 >= run.request.maxTokens) {
      aOutput.finished.push_back(run.number);
      this->End(run, run.disconnected ? RunEnd::Unread : RunEnd::Finished, aNow);
    }
  }
  this->nextStep = aNow + this->StepDuration();
  this->RemoveEnded(aNow);
}

void EngineModel::ApplyOrder(EngineOutput& aOutput)
{
  const EngineOrder order = *std::exchange(this->pendingOrder, std::nullopt);
  const bool same = order.group == this->group && order.generation == this->generation &&
                    order.model == this->model;
  if (same) {
    return;
  }
  for (auto* runs : { &this->running, &this->queue }) {
    for (auto& run : *runs) {
      aOutput.aborted.push_back(run.number);
      this->End(run, RunEnd::Reassigned, this->orderDue);
    }
  }
  this->RemoveEnded(this->orderDue);
  if (order.model != this->model) {
    this->prefixes.clear();
  }
  this->group = order.group;
  this->generation = order.generation;
  this->model = order.model;
}

void EngineModel::End(Run& aRun, RunEnd aEnd, TimePoint aNow)
{
  aRun.end = aEnd;
  aRun.ended = aNow;
}

void EngineModel::RemoveEnded(TimePoint aNow)
{
  for (auto* runs : { &this->running, &this->queue }) {
    for (auto run = runs->begin(); run != runs->end();) {
      if (run->end == RunEnd::Running) {
        ++run;
        continue;
      }
      // The log needs no prompt.
      run->request.prompt.clear();
      if (this->endedRuns.size() < kMostLoggedRuns) {
        this->endedRuns.push_back(std::move(*run));
      }
      run = runs->erase(run);
    }
  }
  this->FillSlots(aNow);
  this->RecordLoad(aNow);
}

bool EngineModel::TouchPrefix(std::uint64_t aPrefix)
{
  const auto found = std::ranges::find(this->prefixes, aPrefix);
  const bool cached = found != this->prefixes.end();
  if (cached) {
    this->prefixes.erase(found);
  }
  this->prefixes.push_front(aPrefix);
  if (this->prefixes.size() > this->settings.prefixCapacity) {
    this->prefixes.pop_back();
  }
  return cached;
}

void EngineModel::RecordLoad(TimePoint aNow)
{
  this->load.Record({ this->running.size(), this->queue.size() }, aNow);
}

nlohmann::json EngineModel::DescribeRun(const Run& aRun) const
{
  nlohmann::json run = {
    { "request", aRun.request.id },
    { "priority", aRun.request.priority },
    { "offset", aRun.request.resumeOffset },
    { "max_tokens", aRun.request.maxTokens },
    { "tokens", aRun.produced },
    { "ended", Name(aRun.end) },
    { "submitted_at_ms", SinceBoot(aRun.submitted) },
  };
  if (aRun.started) {
    run["started_at_ms"] = SinceBoot(*aRun.started);
  }
  if (aRun.ended) {
    run["ended_at_ms"] = SinceBoot(*aRun.ended);
  }
  if (aRun.leavingSince) {
    run["after_leaving_ms"] = Milliseconds(aRun.submitted - *aRun.leavingSince);
  }
  return run;
}

} // namespace toucanstand
