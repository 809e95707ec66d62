#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "machines/Vm.h"
#include "messages/MessagePort.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Knows which entry VMs are gone, from the snapshots of the node process of this VM.
class OwnerDirectory
{
public:
  /// A snapshot older than this says nothing.
  static constexpr Duration kFreshness = std::chrono::seconds(5);

  OwnerDirectory(boost::asio::io_context& aLoop, MessagePort& aPort, Endpoint aNode);

  /// Begins to subscribe, once a second.
  void Start();

  /// Takes over what the node sends to its subscribers; false for other types.
  bool OnMessage(const Message& aMessage);

  /// True when a recent snapshot doesn't list the VM.
  [[nodiscard]] bool IsGone(const VmId& aVm, TimePoint aNow) const;

private:
  void Subscribe();
  /// The ledger has no use for the configuration, but a subscription that names the
  /// revision held keeps the node from sending it again.
  void NoteConfiguration(const nlohmann::json& aBody);

  MessagePort& port;
  Endpoint node;
  boost::asio::steady_timer timer;
  std::vector<Vm> live;
  TimePoint receivedAt{};
  TimePoint connectedAt{};
  std::int64_t configurationRevision = 0;
};

} // namespace toucanstand
