#include "support/SoakVerdict.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <utility>

#include "http/ConnectionStopTable.h"
#include "support/SoakCaller.h"

namespace toucanstand {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Time after SIGTERM from which a request may only be sent to a server if its answer
/// ends before the drain does.
constexpr auto kExcusedBegin = std::chrono::seconds(3);
/// Share of the stop period after which a drain ends.
constexpr double kDrainShare = 0.9;
constexpr int kSignalExit = 128;

/// Statuses with which the server guarantees that the request did not run.
bool StatusMeansNotRun(int aStatus)
{
  constexpr std::array kStatuses = { 408, 421, 429, 503 };
  return std::ranges::find(kStatuses, aStatus) != kStatuses.end();
}

bool IsDisturbed(const SoakLife& aLife, SoakTime aFrom, SoakTime aTo)
{
  return std::ranges::any_of(aLife.disturbances, [&](const auto& aDisturbance) {
    return aDisturbance.first <= aTo && aDisturbance.second >= aFrom;
  });
}

std::string LifeName(const SoakLife& aLife)
{
  return "process of vm-" + std::to_string(aLife.vm);
}

} // namespace

SoakVerdict::SoakVerdict(Facts aFacts)
  : facts(std::move(aFacts))
  , drain(duration_cast<milliseconds>(kDrainShare * this->facts.stopPeriod))
{
  const StopSchedule schedule(TimePoint{}, this->drain, Duration::zero());
  this->finalAnswersAfter =
    duration_cast<milliseconds>(schedule.FinalAnswersAt() - TimePoint{});
  std::ranges::for_each(this->facts.lives,
                        [this](const auto& aLife) { this->JudgeLife(aLife); });
}

void SoakVerdict::JudgeLife(const SoakLife& aLife)
{
  if (!aLife.endedAt || aLife.exitCode == kSignalExit + SIGKILL) {
    return;
  }
  const auto report = [this, &aLife](const std::string& aText) {
    this->violations.push_back(LifeName(aLife) + " " + aText + ", exit code " +
                               std::to_string(aLife.exitCode));
  };
  const bool hasStarted = aLife.log.find(R"("event":"start")") != std::string::npos;
  if (aLife.terminatedAt && !hasStarted && aLife.exitCode == kSignalExit + SIGTERM) {
    ++this->excused["processes that got SIGTERM before they began"];
    return;
  }
  const bool wasTerminated = aLife.terminatedAt && *aLife.terminatedAt <= *aLife.endedAt;
  if (!wasTerminated || (aLife.exitCode != 0 && aLife.exitCode != 1)) {
    constexpr std::size_t kLogEnd = 1000;
    const auto logBegin = aLife.log.size() - std::min(aLife.log.size(), kLogEnd);
    report("ended without SIGTERM or not in order, end of its log:\n" +
           aLife.log.substr(logBegin));
    return;
  }
  const bool wasPaused = IsDisturbed(aLife, aLife.startedAt, *aLife.endedAt);
  if (!wasPaused && *aLife.endedAt - *aLife.terminatedAt > this->facts.stopPeriod) {
    report("ended later than its stop period" + this->StopTime(aLife, *aLife.endedAt) +
           ", threads then: " + aLife.threadsAtLateEnd);
  }
  if (aLife.exitCode == 1) {
    ++this->excused["processes that cut something at the end of their drain"];
    if (!this->facts.earlierPrograms.contains(aLife.program) &&
        aLife.log.find("without a whole answer") == std::string::npos) {
      report("did not say what it cut");
    }
  }
}

void SoakVerdict::Judge(const SoakRequest& aRequest)
{
  const auto runCount = this->Runs(aRequest);
  if (aRequest.kind == SoakRequestKind::NonIdempotent && runCount > 1) {
    this->Report(aRequest,
                 "a request that must run at most once ran " + std::to_string(runCount) +
                   " times");
  }
  const auto [begin, end] = this->facts.runsInZone.equal_range(aRequest.attemptId);
  std::for_each(
    begin, end, [&](const auto& aRun) { this->JudgeRunInZone(aRequest, aRun.second); });
  if (aRequest.answer.isComplete) {
    this->JudgeAnswer(aRequest);
    return;
  }
  if (!aRequest.firstByteSentAt) {
    return;
  }
  const auto& life = this->LifeOf(aRequest);
  if (IsDisturbed(life, aRequest.connectedAt, aRequest.endedAt)) {
    ++this->excused["requests to a VM that was killed or paused"];
  } else if (aRequest.followsLastAnswer) {
    if (runCount > 0) {
      this->Report(aRequest, "ran behind an answer that did not keep the connection");
    }
  } else if (aRequest.answer.status == 0) {
    this->JudgeMissingAnswer(aRequest, life);
  } else {
    this->JudgeCutAnswer(aRequest, life);
  }
}

void SoakVerdict::JudgeRunInZone(const SoakRequest& aRequest, SoakTime aBegan)
{
  for (const auto& [written, withdrawn] : this->facts.evacuations) {
    if (aBegan - written <= kEvacuationBound || aBegan >= withdrawn) {
      continue;
    }
    if (!this->MustKnowOrder(aRequest.vm, written, aBegan)) {
      ++this->excused["runs in an evacuated zone from a VM that was paused or without "
                      "the store"];
      continue;
    }
    const auto age = duration_cast<milliseconds>(aBegan - written);
    this->Report(aRequest,
                 "a run began in an evacuated zone " + std::to_string(age.count()) +
                   " ms after the order");
  }
}

bool SoakVerdict::MustKnowOrder(std::size_t aVm, SoakTime aWritten, SoakTime aAt) const
{
  const auto& life = this->LifeAt(aVm, aAt);
  if (life.startedAt > aWritten) {
    return true;
  }
  auto disturbances = life.disturbances;
  const auto outages = this->facts.storeOutages.find(aVm);
  if (outages != this->facts.storeOutages.end()) {
    std::ranges::copy(outages->second, std::back_inserter(disturbances));
  }
  disturbances.emplace_back(aAt, aAt);
  std::ranges::sort(disturbances);
  auto calmSince = aWritten;
  for (const auto& [from, to] : disturbances) {
    if (std::min(from, aAt) - calmSince > kEvacuationBound) {
      return true;
    }
    calmSince = std::max(calmSince, to);
  }
  return false;
}

void SoakVerdict::JudgeAnswer(const SoakRequest& aRequest)
{
  const auto& answer = aRequest.answer;
  const auto runCount = this->Runs(aRequest);
  if (StatusMeansNotRun(answer.status) && runCount > 0) {
    this->Report(aRequest,
                 "status " + std::to_string(answer.status) +
                   " says that the request did not run, but it ran");
  }
  constexpr std::array kUnexpectedStatuses = { 400, 401, 403, 404 };
  if (std::ranges::find(kUnexpectedStatuses, answer.status) !=
      kUnexpectedStatuses.end()) {
    this->Report(aRequest,
                 "an allowed request got status " + std::to_string(answer.status) + " " +
                   answer.body);
  }
  if (answer.status != 200) {
    return;
  }
  if (runCount == 0) {
    this->Report(aRequest, "a successful response to a request that did not run");
  }
  if (!answer.headers.Has("X-Engine-Stamp") ||
      answer.headers.Find("X-Attempt-Id") != aRequest.attemptId) {
    this->Report(
      aRequest,
      "a response without a signature or with the attempt id of another request");
  }
  const bool isWhole = aRequest.kind == SoakRequestKind::Generation
                         ? answer.body == this->facts.wholeStream
                         : answer.body.starts_with("answer of stock-");
  if (!isWhole) {
    this->Report(aRequest, "an incomplete response: " + answer.body);
  }
}

void SoakVerdict::JudgeMissingAnswer(const SoakRequest& aRequest, const SoakLife& aLife)
{
  const auto sentAt = *aRequest.firstByteSentAt;
  if (aLife.terminatedAt && sentAt - *aLife.terminatedAt >= this->finalAnswersAfter) {
    ++this->excused["requests sent after final answers were due"];
    return;
  }
  const bool wasQuiet = sentAt - aRequest.quietSince >= kQuietTime;
  if (aLife.terminatedAt && wasQuiet && sentAt >= *aLife.terminatedAt) {
    ++this->excused["requests on a connection that was quiet for 1 s"];
    return;
  }
  constexpr std::array kEnds = { "open", "closed", "reset", "refused" };
  const bool isReused = aRequest.quietSince != aRequest.connectedAt;
  this->ReportLoss(aRequest,
                   aLife,
                   std::string("no answer, connection ") +
                     kEnds.at(static_cast<std::size_t>(aRequest.answer.end)) +
                     (isReused ? ", kept by the answer before" : ", first request") +
                     (aRequest.wholeSentAt ? "" : ", not yet whole") + "; first byte" +
                     this->StopTime(aLife, sentAt) + "; end" +
                     this->StopTime(aLife, aRequest.endedAt));
}

void SoakVerdict::JudgeCutAnswer(const SoakRequest& aRequest, const SoakLife& aLife)
{
  if (this->facts.failedRuns.contains(aRequest.attemptId)) {
    ++this->excused["answers that a backend server broke off"];
    return;
  }
  if (aRequest.wholeSentAt &&
      aRequest.endedAt - *aRequest.wholeSentAt >= SoakCaller::kDeadline) {
    ++this->excused["answers whose deadline passed"];
    return;
  }
  const bool isDrainOver =
    aLife.terminatedAt && aRequest.endedAt - *aLife.terminatedAt >= this->drain;
  const bool isStream = aRequest.kind == SoakRequestKind::Generation;
  const bool beganTooLate = aLife.terminatedAt && aRequest.wholeSentAt &&
                            *aRequest.wholeSentAt - *aLife.terminatedAt > kExcusedBegin;
  if (isDrainOver && isStream && aLife.exitCode == 1 && !beganTooLate) {
    const bool beganInDrain =
      aRequest.wholeSentAt && *aRequest.wholeSentAt > *aLife.terminatedAt;
    ++this->excused[beganInDrain ? "streams that began in a drain and ran over its end"
                                 : "streams that ran over the end of a drain"];
    return;
  }
  this->ReportLoss(aRequest,
                   aLife,
                   "an answer was cut, status " + std::to_string(aRequest.answer.status) +
                     " and " + std::to_string(aRequest.answer.body.size()) +
                     " bytes; end" + this->StopTime(aLife, aRequest.endedAt) +
                     ", exit code " + std::to_string(aLife.exitCode));
}

void SoakVerdict::ReportLoss(const SoakRequest& aRequest,
                             const SoakLife& aLife,
                             const std::string& aViolation)
{
  const bool isInStop = aLife.terminatedAt && aRequest.endedAt >= *aLife.terminatedAt;
  if (isInStop && this->facts.earlierPrograms.contains(aLife.program)) {
    ++this->excused["answers that an earlier build lost in its planned stop"];
    return;
  }
  this->Report(aRequest, aViolation);
}

void SoakVerdict::Report(const SoakRequest& aRequest, const std::string& aViolation)
{
  const bool isEarlier =
    this->facts.earlierPrograms.contains(this->LifeOf(aRequest).program);
  this->violations.push_back(aRequest.attemptId + " at vm-" +
                             std::to_string(aRequest.vm) +
                             (isEarlier ? " of the earlier build: " : ": ") + aViolation);
}

std::size_t SoakVerdict::Runs(const SoakRequest& aRequest) const
{
  const auto found = this->facts.runs.find(aRequest.attemptId);
  return found == this->facts.runs.end() ? 0 : found->second;
}

const SoakLife& SoakVerdict::LifeOf(const SoakRequest& aRequest) const
{
  return this->LifeAt(aRequest.vm, aRequest.connectedAt);
}

const SoakLife& SoakVerdict::LifeAt(std::size_t aVm, SoakTime aTime) const
{
  const SoakLife* latest = &this->facts.lives.front();
  for (const auto& life : this->facts.lives) {
    if (life.vm == aVm && life.startedAt <= aTime) {
      latest = &life;
    }
  }
  return *latest;
}

std::string SoakVerdict::StopTime(const SoakLife& aLife, SoakTime aTime) const
{
  if (!aLife.terminatedAt) {
    return " without SIGTERM";
  }
  const auto time = duration_cast<milliseconds>(aTime - *aLife.terminatedAt);
  return " " + std::to_string(time.count()) + " ms after SIGTERM (stop period " +
         std::to_string(this->facts.stopPeriod.count()) + " ms)";
}

} // namespace toucanstand
