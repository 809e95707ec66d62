#pragma once

#include <boost/asio/io_context.hpp>

#include "ClaimService.h"
#include "LedgerSettings.h"
#include "OwnerDirectory.h"
#include "lifecycle/ShutdownSequence.h"
#include "messages/MessagePort.h"
#include "metrics/MetricsRegistry.h"
#include "operators/OperatorEndpoint.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// The toucanstand-ledger program: claims for calls that must not be repeated.
class LedgerProcess
{
public:
  explicit LedgerProcess(LedgerSettings aSettings);

  /// Serves until the process is told to stop. @returns the exit code.
  ExitCode Run();

private:
  bool Listen();
  void OnMessage(const Message& aMessage);
  [[nodiscard]] nlohmann::json DescribeState() const;

  boost::asio::io_context loop;
  LedgerSettings settings;
  ShutdownSequence shutdown;
  MetricsRegistry metrics;
  MessagePort port;
  EtcdStore store;
  OwnerDirectory owners;
  ClaimService claims;
  OperatorEndpoint operators;
};

} // namespace toucanstand
