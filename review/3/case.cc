// A sound engine falls silent for a second in the middle of its streams.
#include "../support/standin.hh"

using namespace standin;

namespace {

constexpr int kCallers = 10;
constexpr double kSilence = 1.0;

struct Outcome
{
  std::string attempt;
  bool isKept = false;
  Result result;
};

} // namespace

int main()
{
  Begin();
  Store store;
  const Streaming streaming{ 30, 100 };
  const auto look = [](Engine& aEngine, Connection& aConnection, const Message& aRequest) {
    SleepMs(20);
    return aConnection.Send(Answer(200,
                                   { { "X-Attempt-Id", aRequest.Header("X-Attempt-Id") },
                                     { "X-Engine-Stamp", "stamp-" + aEngine.id } },
                                   "stock"));
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int number = 0; number < 6; ++number) {
    engines.push_back(std::make_unique<Engine>(
      store, "engine-" + std::to_string(number), "toucan-pool", "domain-1", streaming));
  }
  for (int number = 0; number < 2; ++number) {
    engines.push_back(std::make_unique<Engine>(
      store, "stock-" + std::to_string(number), "counter-api", "", look));
  }
  store.Put("op/config",
            Configuration(7,
                          json::array({ Route("/chat/", "streaming", "toucan-pool", 2),
                                        Route("/looks/", "safe", "counter-api", 2) }),
                          json::array({ EngineService(json::array({ ModelRow("m0", 4, 0.67),
                                                                    ModelRow("m1", 2, 0.33) })),
                                        json{ { "Name", "counter-api" },
                                              { "MaxConnections", 96 } } }))
              .dump());
  Vm stopped(store, "front-1");
  Vm serving(store, "front-2");
  const auto heads = [&engines](const std::string& aModel) {
    std::vector<Engine*> found;
    for (const auto& engine : engines) {
      if (engine->IsOpenHead(aModel)) {
        found.push_back(engine.get());
      }
    }
    return found;
  };
  Await("both VMs ready", 15, [&] { return stopped.IsReady() && serving.IsReady(); });
  Await("a group of each model", 25, [&] {
    return heads("m0").size() == 1 && heads("m1").size() == 1;
  });
  SleepMs(3500); // the machines are in touch

  const Headers generation = { { "X-Model", "m1" },
                               { "X-Token-Usage", "700,150" },
                               { "X-Prompt-Prefix", "1f:40,2f:660" } };
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> threads;
  for (int number = 0; number < kCallers; ++number) {
    for (const Vm* vm : { &stopped, &serving }) {
      threads.emplace_back([&, vm, number] {
        const auto name = vm->id + "-" + std::to_string(number);
        auto connection = Connection::Connect(vm->front);
        if (!connection) {
          Finish(2, "could not run: no connection to " + vm->id);
        }
        Call first;
        first.method = "GET";
        first.path = "/looks/" + std::to_string(number);
        first.attempt = "look-" + name;
        if (Send(*connection, first).answer.Status() != 200) {
          Finish(2, "could not run: the first request of " + name + " failed");
        }
        Call call;
        call.attempt = "chat-" + name;
        call.headers = generation;
        call.body = "{\"n\":\"" + name + "\"}";
        Outcome outcome{ call.attempt, true, Send(*connection, call) };
        const std::lock_guard lock(mutex);
        outcomes.push_back(std::move(outcome));
      });
    }
  }
  SleepMs(700);
  stopped.Signal(SIGTERM);
  const double stoppedAt = Seconds();
  SleepMs(500);
  const auto silent = heads("m1");
  if (Trouble() && silent.size() == 1) {
    Log(silent.front()->id + " falls silent for " + std::to_string(kSilence) + " s");
    silent.front()->FallSilent(kSilence);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const int exit = stopped.Wait(12);
  // A run that is still at work in the last sixth of the 8 s is excused.
  const double excusedFrom = stoppedAt + 8.0 * 5 / 6;
  int lostInStop = 0;
  int lostAtAnyTime = 0;
  int whole = 0;
  for (const auto& outcome : outcomes) {
    const auto& answer = outcome.result.answer;
    const bool isWhole =
      answer.Status() == 200 && answer.complete && answer.body == streaming.Whole();
    whole += isWhole ? 1 : 0;
    const bool closedEarly = !answer.complete && !outcome.result.timedOut &&
                             outcome.result.endedAt < excusedFrom;
    const bool atStopped = outcome.attempt.find("front-1") != std::string::npos;
    lostInStop += closedEarly && atStopped ? 1 : 0;
    lostAtAnyTime += closedEarly && !atStopped ? 1 : 0;
  }
  std::ostringstream text;
  text << outcomes.size() << " streams, " << whole << " whole; connections closed before the end: "
       << lostInStop << " at the VM that got SIGTERM, " << lostAtAnyTime
       << " at the other VM (more than 3 break the rule there); exit status of the stopped VM "
       << exit;
  const bool broken = lostInStop > 0 || lostAtAnyTime > 3;
  Finish(broken ? 1 : 0, (broken ? "LOST broken: " : "held: ") + text.str());
}
