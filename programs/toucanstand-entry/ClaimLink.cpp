#include "ClaimLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

struct ClaimLink::Waiter
{
  explicit Waiter(boost::asio::io_context& aLoop)
    : timer(aLoop)
  {
  }
  boost::asio::steady_timer timer;
  std::optional<ClaimReplyMessage> reply;
};

ClaimLink::ClaimLink(boost::asio::io_context& aLoop, MessagePort& aPort, Endpoint aLedger)
  : loop(aLoop)
  , port(aPort)
  , ledger(std::move(aLedger))
{
}

Task<std::optional<ClaimReplyMessage>> ClaimLink::Claim(ClaimMessage aClaim,
                                                        Duration aTimeout)
{
  const auto waiter = std::make_shared<Waiter>(this->loop);
  this->waiters[aClaim.nonce] = waiter;
  this->port.Send(this->ledger, "claim", ToJson(aClaim));
  waiter->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(aTimeout));
  co_await waiter->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  this->waiters.erase(aClaim.nonce);
  if (!waiter->reply) {
    OutcomeMessage giveBack;
    giveBack.nonce = aClaim.nonce;
    giveBack.outcome = ClaimOutcome::NotRun;
    giveBack.account = aClaim.account;
    giveBack.key = aClaim.key;
    this->Report(giveBack);
  }
  co_return waiter->reply;
}

void ClaimLink::Report(const OutcomeMessage& aOutcome)
{
  this->port.Send(this->ledger, "outcome", ToJson(aOutcome));
}

bool ClaimLink::OnMessage(const Message& aMessage)
{
  if (aMessage.type == "outcome-reply") {
    return true;
  }
  if (aMessage.type != "claim-reply") {
    return false;
  }
  auto reply = ClaimReplyFromJson(aMessage.body);
  if (!reply) {
    return true;
  }
  const auto found = this->waiters.find(reply->nonce);
  if (found != this->waiters.end()) {
    found->second->reply = std::move(*reply);
    found->second->timer.cancel();
  }
  return true;
}

} // namespace toucanstand
