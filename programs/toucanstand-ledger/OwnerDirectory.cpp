#include "OwnerDirectory.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "observation/WorldViewText.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

constexpr auto kSubscribeInterval = std::chrono::seconds(1);
/// A connection that brings nothing for this long is replaced.
constexpr Duration kSilence = std::chrono::seconds(3);

} // namespace

OwnerDirectory::OwnerDirectory(boost::asio::io_context& aLoop,
                               MessagePort& aPort,
                               Endpoint aNode)
  : port(aPort)
  , node(std::move(aNode))
  , timer(aLoop)
{
}

void OwnerDirectory::Start()
{
  this->connectedAt = BootClock::now();
  this->Subscribe();
}

bool OwnerDirectory::OnMessage(const Message& aMessage)
{
  if (aMessage.type == "suspects") {
    return true;
  }
  if (aMessage.type == "configuration") {
    this->NoteConfiguration(aMessage.body);
    return true;
  }
  if (aMessage.type != "world") {
    return false;
  }
  const auto now = BootClock::now();
  if (auto view = WorldViewFromJson(aMessage.body, now)) {
    this->live = std::move(view->liveEntryVms);
    this->receivedAt = now;
  }
  return true;
}

void OwnerDirectory::NoteConfiguration(const nlohmann::json& aBody)
{
  constexpr std::size_t kMostBytes = std::size_t{ 1 } << 20U;
  const auto text = aBody.find("text");
  if (text == aBody.end() || !text->is_string()) {
    return;
  }
  const auto document = DecodeJson(text->get<std::string>(), { kMostBytes, 32 });
  if (document && document->is_object() && document->contains("revision") &&
      (*document)["revision"].is_number_integer()) {
    this->configurationRevision = (*document)["revision"].get<std::int64_t>();
  }
}

bool OwnerDirectory::IsGone(const VmId& aVm, TimePoint aNow) const
{
  return !this->live.empty() && aNow - this->receivedAt < kFreshness &&
         std::ranges::find(this->live, aVm, &Vm::id) == this->live.end();
}

void OwnerDirectory::Subscribe()
{
  const auto now = BootClock::now();
  if (now - std::max(this->receivedAt, this->connectedAt) > kSilence) {
    this->port.Reconnect(this->node);
    this->connectedAt = now;
  }
  this->port.Send(this->node,
                  "subscribe",
                  { { "configuration_revision", this->configurationRevision } });
  this->timer.expires_after(kSubscribeInterval);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Subscribe();
    }
  });
}

} // namespace toucanstand
