#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "metrics/MetricsRegistry.h"
#include "support/BackendServerStandin.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/ReservedPorts.h"
#include "support/SettingsFile.h"
#include "support/StoreStandin.h"

namespace toucanstand {

/// The users' platform on loopback: its store, engines of one fabric domain and two
/// instances of a plain service, on a loop and thread of their own.
class PlatformStandin
{
public:
  explicit PlatformStandin(int aEngines);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Runs a function on the loop of the stand-ins and waits for it.
  void RunOnLoop(const std::function<void()>& aFunction);

  /// Writes a configuration. @param aChange is merged into the usual one
  void WriteConfiguration(std::int64_t aVersion, const nlohmann::json& aChange = {});

  [[nodiscard]] BackendServerStandin& BackendServer(const std::string& aId)
  {
    return *this->servers.at(aId);
  }
  [[nodiscard]] StoreStandin& Store() { return *this->store; }
  [[nodiscard]] std::vector<RecordedRun> Runs();
  /// The open heads, by group.
  [[nodiscard]] std::map<std::string, std::string> OpenGroupHeads();

  void DeleteRegistration(const std::string& aId);
  /// Ends a server without a word; its registration stays.
  void CrashServer(const std::string& aId);

private:
  void AddServer(const std::string& aId,
                 const std::string& aService,
                 const std::string& aDomain);
  [[nodiscard]] bool IsGroupComplete(const std::string& aGroup) const;

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  std::unique_ptr<StoreStandin> store;
  std::map<std::string, std::unique_ptr<BackendServerStandin>> servers;
  std::vector<RecordedRun> runs;
  std::thread thread;
};

/// A toucanstand-server process on a platform stand-in.
class ServerUnderTest
{
  ReservedPorts ports;

public:
  ServerUnderTest(PlatformStandin& aPlatform, const std::string& aId);
  /// @param aStore where it finds the platform's store, such as a proxy before it
  ServerUnderTest(PlatformStandin& aPlatform,
                  const std::string& aId,
                  const Endpoint& aStore);

  /// Ends the process with a signal, waits for its end and starts it again.
  void Restart(int aSignal);

  /// Waits until it is ready and the platform has that many open groups.
  void WaitForGroups(std::size_t aCount);

  /// A generation request; the events of the answer as the caller gets them.
  Result<HttpResponse, HttpFailure> Generate(const std::string& aAttemptId);
  /// A call of the plain service.
  Result<HttpResponse, HttpFailure> Call(const std::string& aMethod,
                                         const std::string& aPath,
                                         const std::string& aAttemptId,
                                         const std::string& aKey = "key-1");

  [[nodiscard]] static HttpHeaders GenerationHeaders(const std::string& aAttemptId);

  PlatformStandin& platform;
  HttpCaller caller;
  Endpoint listenEndpoint;
  Endpoint readinessEndpoint;
  Endpoint operatorEndpoint;
  /// For datagrams of its peers.
  Endpoint peerEndpoint;
  std::unique_ptr<ProcessLauncher> process;

private:
  void Start();

  std::unique_ptr<SettingsFile> settings;
};

} // namespace toucanstand
