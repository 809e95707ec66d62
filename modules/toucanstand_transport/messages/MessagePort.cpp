#include "messages/MessagePort.h"

#include <map>
#include <span>
#include <utility>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <unistd.h>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

constexpr int kVersion = 1;
/// Above the largest value of the platform's store, one megabyte, plus its envelope.
constexpr std::size_t kMostBytes = 1280U << 10U;
constexpr int kSendBufferMessages = 16;
constexpr nng_duration kReconnectLowest = 50;
constexpr nng_duration kReconnectHighest = 1000;
/// Messages taken from the socket before other handlers of the loop run.
constexpr int kMostPerTurn = 64;

std::string Address(const Endpoint& aEndpoint)
{
  return "tcp://" + aEndpoint.Text();
}

/// Reads the envelope; nothing when a field is missing or of the wrong type.
std::optional<Message> ReadEnvelope(nlohmann::json& aDocument)
{
  const auto text = [&aDocument](const char* aKey) -> const std::string* {
    const auto found = aDocument.find(aKey);
    return found == aDocument.end() ? nullptr
                                    : found->get_ptr<const nlohmann::json::string_t*>();
  };
  if (!aDocument.is_object() ||
      aDocument.value("version", nlohmann::json()) != kVersion) {
    return std::nullopt;
  }
  const auto* type = text("type");
  const auto* from = text("from");
  const auto correlation = aDocument.find("correlation");
  const auto body = aDocument.find("body");
  if (type == nullptr || from == nullptr || correlation == aDocument.end() ||
      !correlation->is_number_unsigned() || body == aDocument.end() ||
      !body->is_object()) {
    return std::nullopt;
  }
  const auto sender = Endpoint::Parse(*from);
  if (!sender) {
    return std::nullopt;
  }
  return Message{ *type, *sender, correlation->get<std::uint64_t>(), std::move(*body) };
}

} // namespace

class MessagePort::Implementation
{
public:
  Implementation(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics)
    : metrics(aMetrics)
    , readable(aLoop)
  {
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation()
  {
    // The descriptor belongs to nng.
    if (this->readable.is_open()) {
      this->readable.release();
    }
    // The receiver is left to the end of the process: closing it while connections of
    // senders are open can block nng's reaper thread for good, and nng_close() of any
    // other socket then never returns (nng 1.5.2).
    for (const auto& [endpoint, sender] : this->senders) {
      nng_close(sender);
    }
  }

  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint, Listener aListener)
  {
    if (nng_pull0_open(&this->receiver) != 0) {
      return ListenFailure::NotPermitted;
    }
    nng_socket_set_size(this->receiver, NNG_OPT_RECVMAXSZ, kMostBytes);
    nng_listener listener{};
    const int error =
      nng_listen(this->receiver, toucanstand::Address(aEndpoint).c_str(), &listener, 0);
    if (error != 0) {
      nng_close(this->receiver);
      return error == NNG_EADDRINUSE ? ListenFailure::AddressInUse
                                     : ListenFailure::BadAddress;
    }
    int port = aEndpoint.port;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    this->address = { aEndpoint.address, static_cast<std::uint16_t>(port) };
    this->handler = std::move(aListener);

    int descriptor = -1;
    nng_socket_get_int(this->receiver, NNG_OPT_RECVFD, &descriptor);
    this->readable.assign(descriptor);
    this->WaitReadable();
    return this->address;
  }

  void Advertise(Endpoint aEndpoint) { this->address = std::move(aEndpoint); }

  void Send(const Endpoint& aTo,
            const std::string& aType,
            const nlohmann::json& aBody,
            std::uint64_t aCorrelation)
  {
    const auto bytes = nlohmann::json::to_msgpack({ { "version", kVersion },
                                                    { "type", aType },
                                                    { "from", this->address.Text() },
                                                    { "correlation", aCorrelation },
                                                    { "body", aBody } });
    if (bytes.size() > kMostBytes) {
      this->metrics.Count("messages_dropped_total{reason=\"too_large\"}");
      return;
    }
    const auto sender = this->SenderFor(aTo);
    const int error = nng_send(sender,
                               const_cast<std::uint8_t*>(bytes.data()), // NOLINT
                               bytes.size(),
                               NNG_FLAG_NONBLOCK);
    if (error != 0) {
      this->metrics.Count("messages_dropped_total{reason=\"not_sent\"}");
      return;
    }
    this->metrics.Count("messages_sent_total{type=\"" + aType + "\"}");
    this->metrics.Count("message_bytes_sent_total", bytes.size());
  }

  void Reconnect(const Endpoint& aTo)
  {
    const auto found = this->senders.find(aTo);
    if (found != this->senders.end()) {
      nng_close(found->second);
      this->senders.erase(found);
      this->metrics.Count("message_reconnects_total");
    }
  }

  Endpoint address;

private:
  nng_socket SenderFor(const Endpoint& aTo)
  {
    const auto found = this->senders.find(aTo);
    if (found != this->senders.end()) {
      return found->second;
    }
    nng_socket sender{};
    nng_push0_open(&sender);
    nng_socket_set_int(sender, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_socket_set_ms(sender, NNG_OPT_RECONNMINT, kReconnectLowest);
    nng_socket_set_ms(sender, NNG_OPT_RECONNMAXT, kReconnectHighest);
    nng_socket_set_bool(sender, NNG_OPT_TCP_KEEPALIVE, true);
    nng_dial(sender, toucanstand::Address(aTo).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    this->senders.emplace(aTo, sender);
    return sender;
  }

  void WaitReadable()
  {
    this->readable.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [this](const boost::system::error_code& aError) {
                                if (!aError) {
                                  this->ReceiveAvailable();
                                  this->WaitReadable();
                                }
                              });
  }

  void ReceiveAvailable()
  {
    for (int count = 0; count < kMostPerTurn; ++count) {
      void* data = nullptr;
      std::size_t size = 0;
      if (nng_recv(this->receiver,
                   static_cast<void*>(&data),
                   &size,
                   NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK) != 0) {
        return;
      }
      this->Dispatch({ static_cast<const std::uint8_t*>(data), size });
      nng_free(data, size);
    }
  }

  void Dispatch(std::span<const std::uint8_t> aBytes)
  {
    this->metrics.Count("message_bytes_received_total", aBytes.size());
    auto decoded = DecodeMessagePack(aBytes, { kMostBytes, 32 });
    if (!decoded) {
      this->metrics.Count(std::string("messages_rejected_total{reason=\"") +
                          Name(decoded.LastReason()) + "\"}");
      return;
    }
    const auto message = ReadEnvelope(*decoded);
    if (!message) {
      this->metrics.Count("messages_rejected_total{reason=\"envelope\"}");
      return;
    }
    this->metrics.Count("messages_received_total");
    this->handler(*message);
  }

  MetricsRegistry& metrics;
  boost::asio::posix::stream_descriptor readable;
  nng_socket receiver{};
  std::map<Endpoint, nng_socket> senders;
  Listener handler;
};

MessagePort::MessagePort(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics)
  : implementation(std::make_unique<Implementation>(aLoop, aMetrics))
{
}

MessagePort::~MessagePort() = default;

Result<Endpoint, ListenFailure> MessagePort::Listen(const Endpoint& aEndpoint,
                                                    Listener aListener)
{
  return this->implementation->Listen(aEndpoint, std::move(aListener));
}

void MessagePort::Advertise(Endpoint aEndpoint)
{
  this->implementation->Advertise(std::move(aEndpoint));
}

void MessagePort::Send(const Endpoint& aTo,
                       const std::string& aType,
                       const nlohmann::json& aBody,
                       std::uint64_t aCorrelation)
{
  this->implementation->Send(aTo, aType, aBody, aCorrelation);
}

void MessagePort::Reconnect(const Endpoint& aTo)
{
  this->implementation->Reconnect(aTo);
}

const Endpoint& MessagePort::Address() const
{
  return this->implementation->address;
}

} // namespace toucanstand
