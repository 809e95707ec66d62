#include "ServiceInstance.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "common/ServiceAnswer.h"
#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

// Bounds the memory of a long run.
constexpr std::size_t kMostLoggedRuns = 1'000'000;

} // namespace

ServiceInstance::ServiceInstance(ServiceSettings aSettings)
  : settings(std::move(aSettings))
  , load(this->settings.reportLag)
{
}

std::optional<std::uint64_t> ServiceInstance::Submit(ServiceRequest aRequest,
                                                     TimePoint aNow)
{
  if (this->faults.refuse) {
    ++this->rejections["refused"];
    return std::nullopt;
  }
  if (this->running.size() >= this->settings.slots &&
      this->queue.size() >= this->settings.queueLimit) {
    ++this->rejections["queue_full"];
    return std::nullopt;
  }
  const auto number = this->nextRun++;
  this->queue.push_back({ number, std::move(aRequest), {} });
  this->FillSlots(aNow);
  return number;
}

std::vector<ServiceCompletion> ServiceInstance::Advance(TimePoint aNow)
{
  std::vector<ServiceCompletion> completions;
  const auto isDue = [aNow](const Run& aRun) { return aRun.due <= aNow; };
  for (const auto& run : this->running) {
    if (!isDue(run)) {
      continue;
    }
    const bool lost = this->faults.closeAfterEffect > 0;
    this->faults.closeAfterEffect -= lost ? 1 : 0;
    completions.push_back(
      { run.number, !lost, ServiceAnswer(run.request.path, run.request.body) });
  }
  std::erase_if(this->running, isDue);
  this->FillSlots(aNow);
  return completions;
}

std::optional<TimePoint> ServiceInstance::NextEvent() const
{
  const auto earliest = std::ranges::min_element(this->running, {}, &Run::due);
  return earliest == this->running.end() ? std::nullopt : std::optional(earliest->due);
}

void ServiceInstance::Crash()
{
  this->running.clear();
  this->queue.clear();
  this->load.Clear();
  this->reports = 0;
}

nlohmann::json ServiceInstance::State(TimePoint aNow)
{
  const auto reported = this->load.Reported(aNow);
  return {
    { "server", this->settings.server },
    { "group", "" },
    { "generation", 0 },
    { "fence", 0 },
    { "leaving", this->faults.leaving },
    { "running", reported.running },
    { "queued", reported.queued },
    { "capacity", this->settings.slots },
    { "sequence", ++this->reports },
    { "cached_prefixes", nlohmann::json::array() },
  };
}

nlohmann::json ServiceInstance::Log() const
{
  auto runs = nlohmann::json::array();
  for (const auto& run : this->log) {
    runs.push_back(
      { { "request", run.id },
        { "idempotency_key", run.idempotencyKey },
        { "method", run.method },
        { "path", run.path },
        { "body_hash", run.bodyHash },
        { "started_at_ms", ToMilliseconds(run.started.time_since_epoch()).count() } });
  }
  return { { "server", this->settings.server },
           { "runs", std::move(runs) },
           { "rejections", this->rejections } };
}

void ServiceInstance::FillSlots(TimePoint aNow)
{
  while (!this->queue.empty() && this->running.size() < this->settings.slots) {
    Run run = std::move(this->queue.front());
    this->queue.pop_front();
    run.due =
      aNow + FromSeconds(ToSeconds(this->settings.latency) * this->faults.slowFactor);
    const auto& request = run.request;
    if (this->log.size() < kMostLoggedRuns) {
      this->log.push_back({ request.id,
                            request.idempotencyKey,
                            request.method,
                            request.path,
                            HashHex128(request.body),
                            aNow });
    }
    this->running.push_back(std::move(run));
  }
  this->load.Record({ this->running.size(), this->queue.size() }, aNow);
}

} // namespace toucanstand
