#include "LedgerProcess.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

Random MakeRandom(const LedgerSettings& aSettings)
{
  return Random(aSettings.seed == 0 ? SystemSeed()
                                    : static_cast<std::uint64_t>(aSettings.seed));
}

} // namespace

LedgerProcess::LedgerProcess(LedgerSettings aSettings)
  : loop(1)
  , settings(std::move(aSettings))
  , shutdown(this->loop, { this->settings.drainPeriod, Duration::zero() })
  , port(this->loop, this->metrics)
  , store(this->loop, this->settings.store, this->metrics, MakeRandom(this->settings))
  , owners(this->loop, this->port, this->settings.node)
  , claims(
      this->loop,
      this->store,
      this->metrics,
      this->settings,
      MakeRandom(this->settings),
      ClaimServiceHooks{
        [this](const Endpoint& aTo,
               const std::string& aType,
               const nlohmann::json& aBody) { this->port.Send(aTo, aType, aBody); },
        [this](const VmId& aVm) { return this->owners.IsGone(aVm, BootClock::now()); },
        [this] { this->shutdown.NoteProgress(); } })
  , operators(this->loop,
              "toucanstand-ledger",
              this->metrics,
              OperatorHooks{ [this] { return !this->shutdown.IsDraining(); },
                             [this] { return this->DescribeState(); },
                             [this] { this->shutdown.Begin(); },
                             nullptr })
{
}

ExitCode LedgerProcess::Run()
{
  if (!this->Listen()) {
    return ExitCode::Failure;
  }
  this->shutdown.SetHooks(ShutdownHooks{ [this] { this->claims.StopGranting(); },
                                         nullptr,
                                         [this] { return this->claims.Open() > 0; },
                                         [this] {
                                           UnfinishedWork unfinished;
                                           unfinished.cutOff = this->claims.Open();
                                           return unfinished;
                                         } });
  this->owners.Start();
  this->claims.Start();
  this->loop.run();
  return this->shutdown.Outcome();
}

bool LedgerProcess::Listen()
{
  const auto messages =
    this->port.Listen(this->settings.messages,
                      [this](const Message& aMessage) { this->OnMessage(aMessage); });
  const auto operatorEndpoint = this->operators.Listen(this->settings.operatorEndpoint);
  if (!messages || !operatorEndpoint) {
    spdlog::error("cannot listen: messages {}, operator {}",
                  messages ? "ok" : this->settings.messages.Text(),
                  operatorEndpoint ? "ok" : this->settings.operatorEndpoint.Text());
    return false;
  }
  std::cout << "messages " << messages->Text() << "\noperator "
            << operatorEndpoint->Text() << std::endl;
  return true;
}

void LedgerProcess::OnMessage(const Message& aMessage)
{
  if (!this->claims.OnMessage(aMessage) && !this->owners.OnMessage(aMessage)) {
    this->metrics.Count("messages_rejected_total{reason=\"type\"}");
  }
}

nlohmann::json LedgerProcess::DescribeState() const
{
  const auto sinceReply = BootClock::now() - this->store.LastReply();
  return { { "id", this->settings.id.Value() },
           { "draining", this->shutdown.IsDraining() },
           { "store_reply_age_ms", ToMilliseconds(sinceReply).count() },
           { "claims", this->claims.Describe() } };
}

} // namespace toucanstand
