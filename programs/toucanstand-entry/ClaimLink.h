#pragma once

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "http/Task.h"
#include "messages/ClaimMessages.h"
#include "messages/MessagePort.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Asks the toucanstand-ledger process of this VM for claims.
class ClaimLink
{
public:
  ClaimLink(boost::asio::io_context& aLoop, MessagePort& aPort, Endpoint aLedger);

  /// Waits for the answer to a claim.
  ///
  /// @returns nothing when none came in time. The claim is then given back, and the call
  ///   must not be sent even if a grant arrives later.
  Task<std::optional<ClaimReplyMessage>> Claim(ClaimMessage aClaim, Duration aTimeout);

  /// Reports what a call with a granted claim came to.
  void Report(const OutcomeMessage& aOutcome);

  /// Takes over `claim-reply` and `outcome-reply` messages; false for other types.
  bool OnMessage(const Message& aMessage);

private:
  struct Waiter;

  boost::asio::io_context& loop;
  MessagePort& port;
  Endpoint ledger;
  /// By nonce.
  std::map<std::string, std::shared_ptr<Waiter>> waiters;
};

} // namespace toucanstand
