#pragma once

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "crashes/CrashQuarantine.h"
#include "crashes/SuspectArbiter.h"
#include "http/Task.h"
#include "messages/MessagePort.h"

namespace toucanstand {

/// Shares what is known about crashing requests with the other entry VMs, and asks the
/// arbiter of the fleet for permission to run a suspect.
class SuspectLink
{
public:
  SuspectLink(boost::asio::io_context& aLoop, MessagePort& aPort, Endpoint aNode);

  /// Sends what is new in the quarantine to the node, which passes it on.
  void Publish(CrashQuarantine& aQuarantine, TimePoint aNow);

  /// Asks the node on the arbiter's VM. @returns RunGrant::Wait when no answer came.
  Task<RunGrant> Ask(const RequestId& aRequest,
                     const SuspectDelta& aKnown,
                     const ServerId& aServer,
                     Duration aLongest,
                     const Endpoint& aArbiter);

  /// Tells the arbiter that a granted run ended.
  void ReportRunEnded(const RequestId& aRequest,
                      const SuspectDelta& aKnown,
                      const Endpoint& aArbiter);

  /// Takes over `suspects` and `run-grant` messages; false for other types.
  bool OnMessage(const Message& aMessage, CrashQuarantine& aQuarantine, TimePoint aNow);

private:
  struct Waiter;

  boost::asio::io_context& loop;
  MessagePort& port;
  Endpoint node;
  std::uint64_t nextCorrelation = 1;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

} // namespace toucanstand
