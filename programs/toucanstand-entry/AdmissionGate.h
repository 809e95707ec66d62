#pragma once

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "EntrySettings.h"
#include "admission/AdmissionController.h"
#include "http/Task.h"

namespace toucanstand {

/// Lets coroutines wait for the decisions of an AdmissionController.
class AdmissionGate
{
public:
  enum class Verdict
  {
    Admitted,
    Refused,
    Abandoned,
  };

  /// What a waiting request is told.
  struct Entry
  {
    Verdict verdict = Verdict::Abandoned;
    Refusal refusal;
  };

  AdmissionGate(boost::asio::io_context& aLoop,
                AdmissionMode aMode,
                AdmissionController aController);

  /// Waits until the request is admitted, refused or abandoned.
  Task<Entry> Enter(Arrival aArrival);

  /// Gives the slot of an admitted request back.
  void Leave(const RequestId& aId, AttemptOutcome aOutcome, Duration aService);

  /// The caller left: ends the waiting, or gives the slot back.
  void Abandon(const RequestId& aId);

  /// Takes over the requests that a pool runs at once, as this VM's equal part.
  void UpdateSlots(const PoolId& aPool, double aSlots);

  void Configure(AdmissionSettings aSettings);
  void StartDrain();

  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Waiter;

  void Apply(const std::vector<AdmissionAction>& aActions);
  void Decide(const RequestId& aId, Entry aEntry);
  void ArmWake();

  boost::asio::io_context& loop;
  AdmissionMode mode;
  AdmissionController controller;
  boost::asio::steady_timer wakeTimer;
  std::map<RequestId, std::shared_ptr<Waiter>> waiters;
};

} // namespace toucanstand
