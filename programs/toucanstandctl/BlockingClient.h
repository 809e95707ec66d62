#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "ControlSettings.h"
#include "change/ConfigurationChange.h"
#include "http/HttpClient.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// Calls to nodes and the store that wait for their answer.
class BlockingClient
{
public:
  explicit BlockingClient(const ControlSettings& aSettings);

  Result<HttpResponse, HttpFailure> SendRequest(const Endpoint& aEndpoint,
                                                const std::string& aMethod,
                                                const std::string& aTarget);

  /// Makes a change in the store.
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
