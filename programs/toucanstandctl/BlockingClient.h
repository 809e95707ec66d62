#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "ControlSettings.h"
#include "change/ConfigurationChange.h"
#include "http/HttpClient.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// Sends requests to processes and to the store and blocks until they complete.
class BlockingClient
{
public:
  explicit BlockingClient(const ControlSettings& aSettings);

  Result<HttpResponse, HttpFailure> SendRequest(const Endpoint& aEndpoint,
                                                const std::string& aMethod,
                                                const std::string& aTarget);

  /// Commits a configuration change to the store.
  ChangeOutcome CommitChange(ConfigurationChange& aChange);

  void WaitFor(Duration aTime);

private:
  void RunToCompletion(Task<> aTask);
  Task<ChangeAction> PerformAction(ConfigurationChange& aChange, ChangeAction aAction);

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  HttpClient httpClient;
  EtcdStore store;
};

} // namespace toucanstand
