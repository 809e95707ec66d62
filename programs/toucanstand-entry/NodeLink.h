#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "EntryContext.h"
#include "replica/ConfigurationReplica.h"

namespace toucanstand {

/// Subscribes to the toucanstand-node process of this VM and takes over what it sends.
class NodeLink
{
public:
  /// @param aContext must outlive the link.
  explicit NodeLink(EntryContext& aContext);

  /// Begins to subscribe, once a second.
  void Start();

  void OnMessage(const Message& aMessage);

private:
  void Subscribe();
  void OnConfigurationMessage(const Message& aMessage);

  EntryContext& context;
  ConfigurationReplica configuration;
  boost::asio::steady_timer timer;
  TimePoint lastMessageAt{};
};

} // namespace toucanstand
