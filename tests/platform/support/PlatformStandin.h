#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "metrics/MetricsRegistry.h"
#include "support/AnswerInjector.h"
#include "support/BackendServerStandin.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/ReservedPorts.h"
#include "support/SettingsFile.h"
#include "support/StoreStandin.h"

namespace toucanstand {

/// The users' platform on loopback: its store, engines of one fabric domain and two
/// instances of a plain service. They run on an event loop in a thread of their own.
class PlatformStandin
{
public:
  explicit PlatformStandin(int aEngines);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Runs a function in the thread of the stand-ins and waits until it returns. State of
  /// the stand-ins may only be accessed this way while requests are processed.
  void RunOnLoop(const std::function<void()>& aFunction);

  /// The configuration that is in force when no other has been written.
  [[nodiscard]] static nlohmann::json DefaultConfiguration(std::int64_t aVersion);

  /// Writes a configuration to the store.
  /// @param aChange JSON merge patch for the default configuration
  void WriteConfiguration(std::int64_t aVersion, const nlohmann::json& aChange = {});

  /// Takes the copy that RestoreStore() goes back to.
  void TakeStoreCopy();
  /// Restores the store from its copy. The operator and the live backend servers write
  /// again what they wrote last.
  /// @param aFurtherWrites writes to other keys that follow at once
  void RestoreStore(int aFurtherWrites = 0);
  /// Writes keys that nobody reads.
  void AdvanceStoreRevision(int aWrites);

  [[nodiscard]] BackendServerStandin& BackendServer(const std::string& aId)
  {
    return *this->servers.at(aId);
  }
  [[nodiscard]] std::vector<std::string> ServerIds() const;
  /// Sets the time between two events of the streams of all engines.
  void SetEventInterval(std::chrono::milliseconds aInterval);
  /// Places an AnswerInjector in front of each backend server.
  void AddInjectors();
  /// Sets the answers that the injectors give to the next requests.
  void InjectAnswers(const std::vector<InjectedAnswer>& aAnswers);
  /// Sets the answer that the injector of a server gives to all further requests.
  void SetStandingAnswer(const std::string& aServer, InjectedAnswer aAnswer);
  /// Answers that no request has taken yet.
  [[nodiscard]] std::size_t AnswersDue();
  /// Requests with this attempt id that got an injected answer.
  [[nodiscard]] std::size_t InjectedAnswerCount(const std::string& aAttemptId);
  [[nodiscard]] StoreStandin& Store() { return *this->store; }
  [[nodiscard]] std::vector<RecordedRun> Runs();
  /// Attempt ids of the runs that a server did not answer as it should: it broke off,
  /// stalled or falsified the head of its answer.
  [[nodiscard]] std::set<std::string> FailedRuns();
  /// The head of each open group: server ids by group name.
  [[nodiscard]] std::map<std::string, std::string> OpenGroupHeads();
  /// Number of open groups whose engines are all alive.
  [[nodiscard]] std::size_t CompleteGroupCount();

  void DeleteRegistration(const std::string& aId);
  /// Closes the server's listener and connections; its registration stays in the store.
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
  InjectedAnswers injectedAnswers;
  std::map<std::string, std::unique_ptr<AnswerInjector>> injectors;
  std::string currentConfiguration;
  std::vector<RecordedRun> runs;
  std::set<std::string> failedRuns;
  std::thread thread;
};

/// A toucanstand-server process that uses a platform stand-in.
class ServerUnderTest
{
  ReservedPorts ports;

public:
  static constexpr std::chrono::milliseconds kStopPeriod = std::chrono::seconds(8);

  /// The program of the process.
  struct Program
  {
    std::string name = "toucanstand-server";
    /// Receives its output; the test reads it if empty.
    std::string logFile;
    /// JSON merge patch for the settings.
    nlohmann::json settings = nlohmann::json::object();
  };

  ServerUnderTest(PlatformStandin& aPlatform, const std::string& aId);
  /// @param aStore address of the platform's store, or of a proxy in front of it
  ServerUnderTest(PlatformStandin& aPlatform,
                  const std::string& aId,
                  const Endpoint& aStore,
                  std::chrono::milliseconds aStopPeriod = kStopPeriod);
  ServerUnderTest(PlatformStandin& aPlatform,
                  const std::string& aId,
                  const Endpoint& aStore,
                  std::chrono::milliseconds aStopPeriod,
                  Program aProgram);

  /// Sends the signal to the process, waits until it has exited and starts it again.
  /// @returns the exit code as of ProcessLauncher::Wait()
  int Restart(int aSignal);

  /// Runs another program from the next start on.
  void SetProgram(const std::string& aName) { this->program.name = aName; }
  [[nodiscard]] const std::string& ProgramName() const { return this->program.name; }

  /// Waits until the process knows this many groups and as many group heads are open.
  /// Throws after 15 s.
  void WaitForGroups(std::size_t aCount);

  /// Sends a streaming generation request. The response body is the text of all events.
  Result<HttpResponse, HttpFailure> Generate(const std::string& aAttemptId);
  /// Sends a streaming generation request with these prompt parts and a body of its own.
  Result<HttpResponse, HttpFailure> GenerateFrom(const std::string& aAttemptId,
                                                 const std::string& aPromptParts);
  /// Sends a request to the plain service.
  Result<HttpResponse, HttpFailure> Call(const std::string& aMethod,
                                         const std::string& aPath,
                                         const std::string& aAttemptId,
                                         const std::string& aKey = "key-1");

  [[nodiscard]] static HttpHeaders GenerationHeaders(
    const std::string& aAttemptId,
    const std::string& aPromptParts = "1f:100");

  PlatformStandin& platform;
  HttpCaller caller;
  Endpoint listenEndpoint;
  Endpoint readinessEndpoint;
  Endpoint operatorEndpoint;
  /// Receives the datagrams of other VMs.
  Endpoint peerEndpoint;
  std::unique_ptr<ProcessLauncher> process;

private:
  void Start();

  Program program;
  std::unique_ptr<SettingsFile> settings;
};

} // namespace toucanstand
