#include "EntryProcess.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

std::uint64_t SeedOf(const EntrySettings& aSettings)
{
  return aSettings.seed == 0 ? SystemSeed() : static_cast<std::uint64_t>(aSettings.seed);
}

} // namespace

EntryProcess::EntryProcess(EntrySettings aSettings)
  : loop(1)
  , shutdown(this->loop, { aSettings.drainPeriod, aSettings.listenerWait })
  , context(this->loop, aSettings, this->metrics, Random(SeedOf(aSettings)))
  , handler(this->context)
  , nodeLink(this->context)
  , server(
      this->loop,
      aSettings.limits,
      [this](HttpExchange& aExchange) { return this->handler.Handle(aExchange); },
      this->metrics)
  , operators(this->loop,
              "toucanstand-entry",
              this->metrics,
              OperatorHooks{ [this] { return this->IsReady(); },
                             [this] { return this->DescribeState(); },
                             [this] { this->shutdown.Begin(); },
                             nullptr })
{
}

ExitCode EntryProcess::Run()
{
  if (!this->Listen()) {
    return ExitCode::Failure;
  }
  this->shutdown.SetHooks(ShutdownHooks{
    [this] { this->context.stopSchedule = this->shutdown.Schedule(); },
    [this](StopPhase aPhase, TimePoint aNow) { this->AdvanceStop(aPhase, aNow); },
    [this] { return this->server.IsBusy(); },
    [this] {
      const auto connections = this->server.CountUnfinished();
      UnfinishedWork unfinished;
      unfinished.cutOff = connections.withoutAnswer;
      unfinished.answeredWithError = this->context.callsEndedByStop;
      unfinished.notReceived = connections.notReceived;
      return unfinished;
    } });
  this->nodeLink.Start();
  this->loop.run();
  return this->shutdown.Outcome();
}

bool EntryProcess::Listen()
{
  const auto& settings = this->context.settings;
  const auto messages =
    this->context.port.Listen(settings.messages, [this](const Message& aMessage) {
      this->nodeLink.OnMessage(aMessage);
    });
  const auto operatorEndpoint = this->operators.Listen(settings.operatorEndpoint);
  const auto callers = this->server.Listen(settings.listen);
  if (!messages || !operatorEndpoint || !callers) {
    spdlog::error("cannot listen: messages {}, operator {}, callers {}",
                  messages ? "ok" : settings.messages.Text(),
                  operatorEndpoint ? "ok" : settings.operatorEndpoint.Text(),
                  callers ? "ok" : settings.listen.Text());
    return false;
  }
  std::cout << "listening " << callers->Text() << "\noperator "
            << operatorEndpoint->Text() << "\nmessages " << messages->Text() << std::endl;
  return true;
}

void EntryProcess::AdvanceStop(StopPhase aPhase, TimePoint aNow)
{
  if (aPhase >= StopPhase::Draining && !this->context.draining) {
    this->context.draining = true;
    this->context.gate.StartDrain();
  }
  this->server.AdvanceStop(aPhase, aNow);
}

bool EntryProcess::IsReady() const
{
  return !this->shutdown.IsDraining() && this->context.MayServe(BootClock::now());
}

nlohmann::json EntryProcess::DescribeState() const
{
  const auto now = BootClock::now();
  nlohmann::json routers = nlohmann::json::object();
  for (const auto& [pool, router] : this->context.routers) {
    routers[pool.Value()] = router.Describe(now);
  }
  const auto& view = this->context.view;
  return {
    { "id", this->context.settings.id.Value() },
    { "zone", this->context.settings.zone.Value() },
    { "draining", this->shutdown.IsDraining() },
    { "in_flight", this->handler.InFlight() },
    { "open_connections", this->server.OpenConnections() },
    { "configuration_revision", this->context.configuration.Revision() },
    { "view_age_ms", ToMilliseconds(now - view.receivedAt).count() },
    { "candidates", view.candidates.size() },
    { "admission", this->context.gate.Describe() },
    { "routers", std::move(routers) },
    { "retry_budget", this->context.budget.Describe() },
    { "quarantine", this->context.quarantine.Describe(now) },
  };
}

} // namespace toucanstand
