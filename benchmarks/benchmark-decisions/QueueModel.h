#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "admission/AdmissionController.h"
#include "metrics/LatencyHistogram.h"
#include "random/Random.h"
#include "routing/Router.h"

namespace toucanstand {

/// Admission policy under comparison.
enum class AdmissionPolicy
{
  /// Admission by AdmissionController.
  Controller,
  /// One unbounded FIFO queue per node in front of the node's share of the slots.
  Fifo,
  /// No admission control: requests are sent immediately and queue at the server.
  None,
};

/// Offered load, servers and policy of one run.
struct ModelSettings
{
  AdmissionPolicy admission = AdmissionPolicy::Controller;
  RouterSettings routing;
  AdmissionSettings admissionSettings;
  std::uint64_t seed = 1;
  int nodes = 6;
  int servers = 12;
  int slotsPerServer = 8;
  /// Factor by which the service time of the first server is multiplied.
  double slowServerFactor = 1.0;
  /// Time after the start from which slowServerFactor applies.
  Duration slowFrom{ 0 };
  /// Offered load of each class as a multiple of the capacity, as a function of time.
  std::function<double(Duration)> shortLoad;
  std::function<double(Duration)> longLoad;
  /// Arrivals end at `length`; requests that arrive in [measureFrom, measureUntil) are
  /// measured.
  Duration length = std::chrono::seconds(150);
  Duration measureFrom = std::chrono::seconds(30);
  Duration measureUntil = std::chrono::seconds(90);
};

/// Results of one run.
struct ModelResults
{
  /// Worth of the requests answered before their deadline, per second.
  double worthRate = 0;
  /// Upper bound of worthRate: the maximum worth per second if all arrivals were known in
  /// advance and requests could be served in part.
  double worthRateUpperBound = 0;
  std::array<std::uint64_t, 2> offered{};
  std::array<std::uint64_t, 2> answered{};
  /// Tokens of the offered and of the answered requests by account, largest account
  /// first.
  std::array<double, 10> offeredByAccount{};
  std::array<double, 10> answeredByAccount{};
  /// Latency of answered requests by class, from arrival to answer.
  std::array<LatencyHistogram, 2> latency;
  /// Share of the measured answers that came from the first server.
  double firstServerShare = 0;
  /// Time from `slowFrom` to the start of the first second in which the first server
  /// received at most one request; the rest of the run if there is no such second.
  Duration timeUntilFirstServerAvoided{ 0 };
};

/// Discrete-event simulation of nodes, each with its own controller and router, in front
/// of servers that run a fixed number of requests concurrently and queue the others in
/// order of arrival. A request that is not answered by its deadline is cancelled.
class QueueModel
{
public:
  explicit QueueModel(ModelSettings aSettings);

  [[nodiscard]] ModelResults Run();

private:
  enum class Stage
  {
    Waiting,
    QueuedAtServer,
    Running,
    Ended,
  };
  struct Job
  {
    WorkClass workClass = WorkClass::Short;
    std::size_t account = 0;
    double worth = 1;
    double cost = 1;
    TimePoint arrivedAt{};
    TimePoint sentAt{};
    TimePoint deadline{};
    TimePoint answeredAt{};
    std::size_t node = 0;
    std::size_t server = 0;
    Stage stage = Stage::Waiting;
    bool answered = false;
  };
  struct Server
  {
    int running = 0;
    std::deque<std::size_t> queue;
    LoadReport lastReport;
  };
  struct Node
  {
    AdmissionController controller;
    Router router;
    std::deque<std::size_t> queue;
    int running = 0;
    std::optional<TimePoint> scheduledWake;
  };
  struct Event
  {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : sequence > aOther.sequence;
    }
  };

  void ScheduleAt(TimePoint aWhen, std::function<void()> aRun);
  void ScheduleArrivals(WorkClass aClass);
  void HandleArrival(WorkClass aClass);
  void SendLoadReports();
  void PerformAdmissionActions(std::size_t aNode,
                               const std::vector<AdmissionAction>& aActions);
  void AdvanceController(std::size_t aNode);
  void DispatchFifo(std::size_t aNode);
  void SendToServer(std::size_t aJob);
  void StartQueuedJobs(std::size_t aServer);
  void CompleteJob(std::size_t aJob);
  void AbandonJob(std::size_t aJob);
  void ReleaseNodeSlot(std::size_t aJob, RouteOutcome aEnd);
  [[nodiscard]] int SlotsPerNode() const;
  [[nodiscard]] double ComputeWorthUpperBound() const;
  [[nodiscard]] Duration ComputeTimeUntilFirstServerAvoided() const;
  [[nodiscard]] bool IsMeasured(const Job& aJob) const;

  ModelSettings settings;
  Random random;
  TimePoint now{ std::chrono::seconds(1000) };
  TimePoint start = now;
  std::vector<Job> jobs;
  std::vector<Server> servers;
  std::vector<Node> nodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t nextSequence = 0;
  std::uint64_t reports = 0;
  std::vector<std::uint64_t> firstServerSends;
};

} // namespace toucanstand
