#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "ControlSettings.h"
#include "change/ConfigurationChange.h"
#include "http/HttpClient.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// Calls to nodes and the store that wait for their answer.
class Connections
{
public:
  explicit Connections(const ControlSettings& aSettings);

  Result<HttpResponse, HttpFailure> Call(const Endpoint& aEndpoint,
                                         const std::string& aMethod,
                                         const std::string& aTarget);

  /// Makes a change in the store.
  ChangeOutcome Change(ConfigurationChange& aChange);

  void Pause(Duration aTime);

private:
  void Run(Task<> aTask);
  Task<ChangeAction> Perform(ConfigurationChange& aChange, ChangeAction aAction);

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  HttpClient client;
  EtcdStore store;
};

} // namespace toucanstand
