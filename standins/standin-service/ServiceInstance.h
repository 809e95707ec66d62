#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "common/LaggedLoad.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Speed and limits of one service instance.
struct ServiceSettings
{
  /// Name in `/state`.
  std::string server;
  std::size_t slots = 8;
  std::size_t queueLimit = 256;
  /// Of one request, from its start to its answer.
  Duration latency = std::chrono::milliseconds(5);
  /// Age of the load in `/state`.
  Duration reportLag = std::chrono::milliseconds(0);
};

/// A request as the service takes it.
struct ServiceRequest
{
  std::string id;
  std::string idempotencyKey;
  std::string method;
  std::string path;
  std::string body;
};

/// Faults that POST /fault sets.
struct ServiceFaults
{
  double slowFactor = 1;
  /// Rejects requests as not run.
  bool refuse = false;
  bool leaving = false;
  /// So many of the next runs take effect and get no reply.
  std::uint64_t closeAfterEffect = 0;
};

/// A run that reached its end.
struct ServiceCompletion
{
  std::uint64_t run = 0;
  /// False when the connection is to be closed without a reply.
  bool reply = true;
  std::string answer;
};

/// State machine of one service instance: so many requests run at once, the others wait
/// in order of arrival. A run is logged when it starts, because from then on its effect
/// may have happened. It does no I/O.
class ServiceInstance
{
public:
  explicit ServiceInstance(ServiceSettings aSettings);

  /// Accepts a request; nothing when it is rejected and will not run.
  [[nodiscard]] std::optional<std::uint64_t> Submit(ServiceRequest aRequest,
                                                    TimePoint aNow);

  /// The runs that end by aNow.
  [[nodiscard]] std::vector<ServiceCompletion> Advance(TimePoint aNow);

  /// When Advance() is due; nothing when the service is idle.
  [[nodiscard]] std::optional<TimePoint> NextEvent() const;

  /// Drops everything that waits or runs, as a crash does.
  void Crash();

  [[nodiscard]] ServiceFaults& Faults() { return this->faults; }

  /// The answer to `GET /state`.
  [[nodiscard]] nlohmann::json State(TimePoint aNow);

  /// All runs, for `GET /log`.
  [[nodiscard]] nlohmann::json Log() const;

private:
  struct Run
  {
    std::uint64_t number = 0;
    ServiceRequest request;
    TimePoint due{};
  };
  struct LoggedRun
  {
    std::string id;
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::string bodyHash;
    TimePoint started{};
  };

  void FillSlots(TimePoint aNow);

  ServiceSettings settings;
  ServiceFaults faults;
  std::uint64_t nextRun = 1;
  std::vector<Run> running;
  std::deque<Run> queue;
  std::vector<LoggedRun> log;
  std::map<std::string, std::uint64_t> rejections;
  std::uint64_t reports = 0;
  LaggedLoad load;
};

} // namespace toucanstand
