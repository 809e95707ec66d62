#pragma once

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "DomainWorker.h"
#include "GroupsSettings.h"
#include "http/HttpClient.h"
#include "lifecycle/ShutdownSequence.h"
#include "operators/OperatorEndpoint.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// The toucanstand-groups program: one worker per fabric domain.
class GroupsProcess
{
public:
  explicit GroupsProcess(GroupsSettings aSettings);

  /// Works until the process is told to stop. @returns the exit code.
  ExitCode Run();

private:
  void Tick();
  void AddWorkers();
  void OnPlatformList(const Result<StoredValue, StoreFailure>& aValue);
  void BeginDrain();
  [[nodiscard]] bool IsBusy() const;
  [[nodiscard]] nlohmann::json DescribeState() const;

  GroupsSettings settings;
  boost::asio::io_context loop;
  ShutdownSequence shutdown;
  MetricsRegistry metrics;
  Random random;
  EtcdStore store;
  HttpClient client;
  OperatorEndpoint operators;
  boost::asio::steady_timer timer;
  PlatformList list;
  std::map<DomainId, std::unique_ptr<DomainWorker>> workers;
};

} // namespace toucanstand
