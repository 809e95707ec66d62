#include "AdmissionGate.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

struct AdmissionGate::Waiter
{
  explicit Waiter(boost::asio::io_context& aLoop)
    : decided(aLoop, boost::asio::steady_timer::time_point::max())
  {
  }
  boost::asio::steady_timer decided;
  std::optional<Entry> entry;
};

AdmissionGate::AdmissionGate(boost::asio::io_context& aLoop,
                             AdmissionMode aMode,
                             AdmissionController aController)
  : loop(aLoop)
  , mode(aMode)
  , controller(std::move(aController))
  , wakeTimer(aLoop)
{
}

Task<AdmissionGate::Entry> AdmissionGate::Enter(Arrival aArrival)
{
  if (this->mode == AdmissionMode::Open) {
    co_return Entry{ Verdict::Admitted, {} };
  }
  const RequestId id = aArrival.id;
  const auto waiter = std::make_shared<Waiter>(this->loop);
  this->waiters[id] = waiter;
  this->Apply(this->controller.Offer(std::move(aArrival), BootClock::now()));
  while (!waiter->entry) {
    co_await waiter->decided.async_wait(kAwait);
  }
  co_return *waiter->entry;
}

void AdmissionGate::Leave(const RequestId& aId,
                          AttemptOutcome aOutcome,
                          Duration aService)
{
  if (this->mode == AdmissionMode::Open) {
    return;
  }
  this->Apply(this->controller.OnFinished(aId, aOutcome, aService, BootClock::now()));
}

void AdmissionGate::Abandon(const RequestId& aId)
{
  this->Decide(aId, Entry{ Verdict::Abandoned, {} });
  this->Apply(this->controller.OnAbandoned(aId, BootClock::now()));
}

void AdmissionGate::UpdateSlots(const PoolId& aPool, double aSlots)
{
  const auto now = BootClock::now();
  this->controller.OnSlotsReported(aPool, aSlots, now);
  this->Apply(this->controller.Advance(now));
}

void AdmissionGate::Configure(AdmissionSettings aSettings)
{
  this->controller.Configure(std::move(aSettings));
}

void AdmissionGate::StartDrain()
{
  this->controller.StartDrain();
}

nlohmann::json AdmissionGate::Describe() const
{
  return this->controller.Describe(BootClock::now());
}

void AdmissionGate::Apply(const std::vector<AdmissionAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* admit = std::get_if<Admit>(&action)) {
      this->Decide(admit->id, Entry{ Verdict::Admitted, {} });
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      this->Decide(refuse->id, Entry{ Verdict::Refused, refuse->refusal });
    }
  }
  this->ArmWake();
}

void AdmissionGate::Decide(const RequestId& aId, Entry aEntry)
{
  const auto found = this->waiters.find(aId);
  if (found == this->waiters.end()) {
    return;
  }
  found->second->entry = aEntry;
  found->second->decided.cancel();
  this->waiters.erase(found);
}

void AdmissionGate::ArmWake()
{
  const auto wake = this->controller.NextWake();
  if (!wake) {
    this->wakeTimer.cancel();
    return;
  }
  const auto pause = std::max(*wake - BootClock::now(), Duration::zero());
  this->wakeTimer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(pause));
  this->wakeTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Apply(this->controller.Advance(BootClock::now()));
    }
  });
}

} // namespace toucanstand
