#include "QueueModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/ServiceTimeModel.h"

namespace toucanstand {

namespace {

const PoolId kPool("assistant");
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr double kSecondsPerToken = 0.01;

/// Mean cost in tokens by class; costs are uniform between 0.5 and 1.5 times the mean.
constexpr std::array kMeanCost = { 50.0, 1500.0 };
constexpr std::array kTimeout = { Duration(std::chrono::seconds(5)),
                                  Duration(std::chrono::seconds(60)) };

/// Each request draws one of these values with equal probability. A long request is worth
/// ten times as much as a short one, which is a third of the worth per token.
constexpr std::array kRequestWorths = { 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 5.0, 10.0 };
constexpr std::array kClassWorth = { 1.0, 10.0 };

/// Share of the arrivals by account: a few large accounts and many small ones.
constexpr std::array kAccountShares = { 0.30, 0.20, 0.15, 0.10, 0.05,
                                        0.05, 0.05, 0.04, 0.03, 0.03 };

/// Service time on an otherwise empty server as a fraction of that on a full one.
constexpr double kEmptyServerTimeFactor = 0.7;

std::size_t SampleAccount(Random& aRandom)
{
  double remainingShare = aRandom.Fraction();
  std::size_t account = 0;
  while (account + 1 < kAccountShares.size() &&
         remainingShare >= kAccountShares[account]) {
    remainingShare -= kAccountShares[account++];
  }
  return account;
}

RequestId IdOf(std::size_t aJob)
{
  return RequestId(std::to_string(aJob));
}

} // namespace

QueueModel::QueueModel(ModelSettings aSettings)
  : settings(std::move(aSettings))
  , random(this->settings.seed)
  , servers(static_cast<std::size_t>(this->settings.servers))
{
  for (int node = 0; node < this->settings.nodes; ++node) {
    this->nodes.push_back(
      { AdmissionController(this->settings.admissionSettings,
                            Random(this->random.Below(1U << 30U))),
        Router(this->settings.routing, Random(this->random.Below(1U << 30U))),
        {},
        0,
        {} });
  }
}

ModelResults QueueModel::Run()
{
  this->SendLoadReports();
  this->ScheduleArrivals(WorkClass::Short);
  this->ScheduleArrivals(WorkClass::Long);
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  ModelResults results;
  for (const auto& job : this->jobs) {
    if (!this->IsMeasured(job)) {
      continue;
    }
    ++results.offered[IndexOf(job.workClass)];
    results.offeredByAccount[job.account] += job.cost;
    if (job.answered) {
      ++results.answered[IndexOf(job.workClass)];
      results.worthRate += job.worth;
      results.answeredByAccount[job.account] += job.cost;
      results.firstServerShare += job.server == 0 ? 1 : 0;
      results.latency[IndexOf(job.workClass)].Record(job.answeredAt - job.arrivedAt);
    }
  }
  const double seconds =
    ToSeconds(this->settings.measureUntil - this->settings.measureFrom);
  results.worthRate /= seconds;
  results.worthRateUpperBound = this->ComputeWorthUpperBound() / seconds;
  const auto answers = results.answered[0] + results.answered[1];
  results.firstServerShare /= static_cast<double>(std::max<std::uint64_t>(answers, 1));
  results.timeUntilFirstServerAvoided = this->ComputeTimeUntilFirstServerAvoided();
  return results;
}

void QueueModel::ScheduleAt(TimePoint aWhen, std::function<void()> aRun)
{
  this->events.push({ aWhen, this->nextSequence++, std::move(aRun) });
}

void QueueModel::ScheduleArrivals(WorkClass aClass)
{
  const Duration elapsed = this->now - this->start;
  if (elapsed >= this->settings.length) {
    return;
  }
  const auto& load =
    aClass == WorkClass::Short ? this->settings.shortLoad : this->settings.longLoad;
  const double capacity =
    this->settings.servers * this->settings.slotsPerServer / kSecondsPerToken;
  const double rate = load(elapsed) * capacity / kMeanCost[IndexOf(aClass)];
  // Arrivals form a Poisson process. The step is limited to 0.1 s so that the rate
  // follows a changing load; without load, the load is evaluated again after 0.1 s.
  const double step = rate > 0 ? -std::log(1.0 - this->random.Fraction()) / rate : 0.1;
  const bool isArrival = rate > 0 && step <= 0.1;
  this->ScheduleAt(this->now + FromSeconds(std::min(step, 0.1)),
                   [this, aClass, isArrival] {
                     if (isArrival) {
                       this->HandleArrival(aClass);
                     }
                     this->ScheduleArrivals(aClass);
                   });
}

void QueueModel::HandleArrival(WorkClass aClass)
{
  Job job;
  job.workClass = aClass;
  job.account = SampleAccount(this->random);
  job.worth = kRequestWorths[this->random.Below(kRequestWorths.size())] *
              kClassWorth[IndexOf(aClass)];
  job.cost = kMeanCost[IndexOf(aClass)] * (0.5 + this->random.Fraction());
  job.arrivedAt = this->now;
  job.deadline = this->now + kTimeout[IndexOf(aClass)];
  job.node = this->random.Below(this->nodes.size());
  const std::size_t index = this->jobs.size();
  this->jobs.push_back(job);
  this->ScheduleAt(job.deadline, [this, index] { this->AbandonJob(index); });
  switch (this->settings.admission) {
    case AdmissionPolicy::Controller:
      this->PerformAdmissionActions(
        job.node,
        this->nodes[job.node].controller.Offer({ IdOf(index),
                                                 kPool,
                                                 AccountId(std::to_string(job.account)),
                                                 aClass,
                                                 job.worth,
                                                 job.cost,
                                                 job.deadline },
                                               this->now));
      break;
    case AdmissionPolicy::Fifo:
      this->nodes[job.node].queue.push_back(index);
      this->DispatchFifo(job.node);
      break;
    case AdmissionPolicy::None:
      this->SendToServer(index);
      break;
  }
}

void QueueModel::SendLoadReports()
{
  // A node receives the server state as of the previous report, one interval old.
  WorldView view;
  view.receivedAt = this->now;
  view.mayServe = true;
  ++this->reports;
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    auto& server = this->servers[index];
    Candidate candidate;
    candidate.id = std::to_string(index);
    candidate.pool = kPool;
    candidate.usableUntil = this->now + 4 * kReportInterval;
    candidate.load = server.lastReport;
    candidate.load.receivedAt = this->now;
    candidate.load.capacity = this->settings.slotsPerServer;
    candidate.load.sequence = this->reports;
    server.lastReport.running = server.running;
    server.lastReport.queued = static_cast<double>(server.queue.size());
    view.candidates.push_back(candidate);
  }
  const double slots = this->settings.servers * this->settings.slotsPerServer;
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    this->nodes[node].router.Update(view, this->now);
    this->nodes[node].controller.OnSlotsReported(
      kPool, slots / static_cast<double>(this->nodes.size()), this->now);
  }
  if (this->now - this->start < this->settings.length + kTimeout[1]) {
    this->ScheduleAt(this->now + kReportInterval, [this] { this->SendLoadReports(); });
  }
}

void QueueModel::PerformAdmissionActions(std::size_t aNode,
                                         const std::vector<AdmissionAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* admit = std::get_if<Admit>(&action)) {
      this->SendToServer(std::stoul(admit->id.Value()));
    } else {
      this->jobs[std::stoul(std::get<Refuse>(action).id.Value())].stage = Stage::Ended;
    }
  }
  auto& node = this->nodes[aNode];
  const auto next = node.controller.NextWake();
  if (next && (!node.scheduledWake || *next < *node.scheduledWake)) {
    node.scheduledWake = next;
    this->ScheduleAt(std::max(*next, this->now),
                     [this, aNode] { this->AdvanceController(aNode); });
  }
}

void QueueModel::AdvanceController(std::size_t aNode)
{
  this->nodes[aNode].scheduledWake.reset();
  this->PerformAdmissionActions(aNode, this->nodes[aNode].controller.Advance(this->now));
}

void QueueModel::DispatchFifo(std::size_t aNode)
{
  auto& node = this->nodes[aNode];
  while (!node.queue.empty() && node.running < this->SlotsPerNode()) {
    const std::size_t job = node.queue.front();
    node.queue.pop_front();
    if (this->jobs[job].stage == Stage::Waiting) {
      ++node.running;
      this->SendToServer(job);
    }
  }
}

void QueueModel::SendToServer(std::size_t aJob)
{
  auto& job = this->jobs[aJob];
  auto& router = this->nodes[job.node].router;
  const auto chosen = router.Choose({ kPool, job.workClass, {}, {} }, this->now);
  job.server = std::stoul(chosen->id);
  job.sentAt = this->now;
  job.stage = Stage::QueuedAtServer;
  const auto elapsedSeconds =
    static_cast<std::size_t>((this->now - this->start) / std::chrono::seconds(1));
  this->firstServerSends.resize(
    std::max(this->firstServerSends.size(), elapsedSeconds + 1));
  this->firstServerSends[elapsedSeconds] += job.server == 0 ? 1 : 0;
  router.OnSent(chosen->id, this->now, job.workClass);
  this->servers[job.server].queue.push_back(aJob);
  this->StartQueuedJobs(job.server);
}

void QueueModel::StartQueuedJobs(std::size_t aServer)
{
  auto& server = this->servers[aServer];
  while (!server.queue.empty() && server.running < this->settings.slotsPerServer) {
    const std::size_t index = server.queue.front();
    server.queue.pop_front();
    auto& job = this->jobs[index];
    job.stage = Stage::Running;
    ++server.running;
    const double utilization =
      static_cast<double>(server.running) / this->settings.slotsPerServer;
    const bool slow = aServer == 0 && this->now - this->start >= this->settings.slowFrom;
    const double seconds =
      job.cost * kSecondsPerToken *
      (kEmptyServerTimeFactor + (1.0 - kEmptyServerTimeFactor) * utilization) *
      (0.9 + 0.2 * this->random.Fraction()) *
      (slow ? this->settings.slowServerFactor : 1.0);
    this->ScheduleAt(this->now + FromSeconds(seconds),
                     [this, index] { this->CompleteJob(index); });
  }
}

void QueueModel::CompleteJob(std::size_t aJob)
{
  auto& job = this->jobs[aJob];
  if (job.stage != Stage::Running) {
    return; // Cancelled at its deadline.
  }
  job.answered = true;
  job.stage = Stage::Ended;
  job.answeredAt = this->now;
  --this->servers[job.server].running;
  this->StartQueuedJobs(job.server);
  this->ReleaseNodeSlot(aJob, RouteOutcome::Answered);
}

void QueueModel::AbandonJob(std::size_t aJob)
{
  auto& job = this->jobs[aJob];
  const Stage stage = job.stage;
  if (stage == Stage::Ended) {
    return;
  }
  job.stage = Stage::Ended;
  auto& server = this->servers[job.server];
  if (stage == Stage::QueuedAtServer) {
    std::erase(server.queue, aJob);
  } else if (stage == Stage::Running) {
    --server.running;
    this->StartQueuedJobs(job.server);
  }
  if (stage == Stage::Waiting && this->settings.admission == AdmissionPolicy::Fifo) {
    return; // DispatchFifo() skips ended jobs.
  }
  if (stage == Stage::Waiting) {
    this->PerformAdmissionActions(
      job.node, this->nodes[job.node].controller.OnAbandoned(IdOf(aJob), this->now));
    return;
  }
  this->ReleaseNodeSlot(aJob, RouteOutcome::Abandoned);
}

void QueueModel::ReleaseNodeSlot(std::size_t aJob, RouteOutcome aEnd)
{
  const Job job = this->jobs[aJob];
  auto& node = this->nodes[job.node];
  node.router.OnFinished(
    std::to_string(job.server), aEnd, this->now - job.sentAt, this->now, job.workClass);
  if (this->settings.admission == AdmissionPolicy::Fifo) {
    --node.running;
    this->DispatchFifo(job.node);
  } else if (this->settings.admission == AdmissionPolicy::Controller) {
    this->PerformAdmissionActions(
      job.node,
      aEnd == RouteOutcome::Answered
        ? node.controller.OnFinished(
            IdOf(aJob), AttemptOutcome::Answered, this->now - job.sentAt, this->now)
        : node.controller.OnAbandoned(IdOf(aJob), this->now));
  }
}

int QueueModel::SlotsPerNode() const
{
  return this->settings.servers * this->settings.slotsPerServer / this->settings.nodes;
}

double QueueModel::ComputeWorthUpperBound() const
{
  std::vector<const Job*> measured;
  for (const auto& job : this->jobs) {
    if (this->IsMeasured(job)) {
      measured.push_back(&job);
    }
  }
  std::ranges::sort(measured, [](const Job* aLeft, const Job* aRight) {
    return aLeft->worth * aRight->cost > aRight->worth * aLeft->cost;
  });
  double remainingTokens =
    this->settings.servers * this->settings.slotsPerServer / kSecondsPerToken *
    ToSeconds(this->settings.measureUntil - this->settings.measureFrom);
  double worth = 0;
  for (const auto* job : measured) {
    const double servedFraction = std::min(1.0, remainingTokens / job->cost);
    worth += servedFraction * job->worth;
    remainingTokens -= servedFraction * job->cost;
  }
  return worth;
}

Duration QueueModel::ComputeTimeUntilFirstServerAvoided() const
{
  const auto from = this->settings.slowFrom / std::chrono::seconds(1);
  const auto left =
    std::find_if(this->firstServerSends.begin() +
                   std::min<std::ptrdiff_t>(from, std::ssize(this->firstServerSends)),
                 this->firstServerSends.end(),
                 [](std::uint64_t aSends) { return aSends <= 1; });
  return std::chrono::seconds(left - this->firstServerSends.begin() - from);
}

bool QueueModel::IsMeasured(const Job& aJob) const
{
  const Duration elapsed = aJob.arrivedAt - this->start;
  return elapsed >= this->settings.measureFrom && elapsed < this->settings.measureUntil;
}

} // namespace toucanstand
