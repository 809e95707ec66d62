#pragma once

#include <memory>

#include "network/Endpoint.h"

namespace toucanstand {

/// Ports of loopback that stay free for the programs of a test.
///
/// Each port stays bound, without listening, until the object goes out of scope. The
/// kernel then gives it to no outgoing connection and to no other test, while a program
/// that sets SO_REUSEADDR can still listen on it.
class ReservedPorts
{
public:
  ReservedPorts();
  ~ReservedPorts();
  ReservedPorts(const ReservedPorts&) = delete;
  ReservedPorts& operator=(const ReservedPorts&) = delete;

  [[nodiscard]] Endpoint Reserve();

private:
  struct Sockets;
  std::unique_ptr<Sockets> sockets;
};

} // namespace toucanstand
