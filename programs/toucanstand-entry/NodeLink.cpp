#include "NodeLink.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "observation/WorldViewText.h"

namespace toucanstand {

namespace {

constexpr auto kSubscribeInterval = std::chrono::seconds(1);
/// A connection that brings nothing for this long is replaced.
constexpr Duration kSilence = std::chrono::seconds(3);

} // namespace

NodeLink::NodeLink(EntryContext& aContext)
  : context(aContext)
  , timer(aContext.loop)
{
  this->configuration.AddListener([this](const ConfigurationDocument& aDocument) {
    const auto& settings = this->context.settings;
    this->context.OnConfiguration(
      EffectiveConfiguration(aDocument, settings.id, settings.zone));
    spdlog::info("configuration revision {} is in force", aDocument.revision);
  });
}

void NodeLink::Start()
{
  this->lastMessageAt = BootClock::now();
  this->Subscribe();
}

void NodeLink::OnMessage(const Message& aMessage)
{
  const auto now = BootClock::now();
  if (aMessage.type == "world") {
    auto view = WorldViewFromJson(aMessage.body, now);
    if (!view) {
      this->context.metrics.Count("messages_rejected_total{reason=\"world\"}");
      return;
    }
    this->lastMessageAt = now;
    this->context.OnWorldView(std::move(*view), now);
    return;
  }
  if (aMessage.type == "configuration") {
    this->OnConfigurationMessage(aMessage);
    return;
  }
  if (this->context.suspects.OnMessage(aMessage, this->context.quarantine, now) ||
      this->context.claims.OnMessage(aMessage)) {
    return;
  }
  this->context.metrics.Count("messages_rejected_total{reason=\"type\"}");
}

void NodeLink::OnConfigurationMessage(const Message& aMessage)
{
  const auto text = aMessage.body.find("text");
  const bool isText = text != aMessage.body.end() && text->is_string();
  if (!isText || this->configuration.Offer(text->get_ref<const std::string&>(),
                                           BootClock::now()) == OfferOutcome::Invalid) {
    this->context.metrics.Count("messages_rejected_total{reason=\"configuration\"}");
  }
}

void NodeLink::Subscribe()
{
  const auto now = BootClock::now();
  if (now - this->lastMessageAt > kSilence) {
    this->context.port.Reconnect(this->context.settings.node);
    this->lastMessageAt = now;
  }
  this->context.port.Send(
    this->context.settings.node,
    "subscribe",
    { { "configuration_revision", this->context.configuration.Revision() } });
  this->context.quarantine.OnTime(now);
  this->timer.expires_after(kSubscribeInterval);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Subscribe();
    }
  });
}

} // namespace toucanstand
