#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "commandline/CommandLine.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// Control calls that every stand-in has: `GET /log` and `POST /fault`.
struct StandinControl
{
  std::function<nlohmann::json()> log;
  /// Reads the fault. The result, which puts it into force, is called only when the
  /// reader found no error.
  std::function<std::function<void()>(SettingsReader&)> fault;

  /// Answers a control call, and any other with 404.
  Task<> Serve(HttpExchange& aExchange) const;
};

/// With option `control`, listens there and writes a line `control ADDRESS:PORT`.
/// @returns false when the address cannot be listened on
[[nodiscard]] bool AnnounceControl(HttpServer& aServer,
                                   const CommandLine& aCommandLine,
                                   const Endpoint& aEndpoint);

} // namespace toucanstand
