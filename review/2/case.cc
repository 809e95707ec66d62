// One member of a serving group is partitioned from the store while the leader changes.
#include "../support/standin.hh"

using namespace standin;

namespace {

constexpr int kVms = 3;
constexpr int kCallersPerVm = 8;

} // namespace

int main()
{
  Begin();
  Store store;
  const Streaming streaming{ 60, 100 };
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
  std::vector<std::unique_ptr<Vm>> vms;
  for (int number = 0; number < kVms; ++number) {
    vms.push_back(std::make_unique<Vm>(store, "front-" + std::to_string(number)));
  }
  Await("VMs ready", 15, [&] {
    return std::all_of(vms.begin(), vms.end(), [](const auto& aVm) { return aVm->IsReady(); });
  });
  const auto headOf = [&engines](const std::string& aModel) -> Engine* {
    for (const auto& engine : engines) {
      if (engine->IsOpenHead(aModel)) {
        return engine.get();
      }
    }
    return nullptr;
  };
  Await("a group of each model", 25, [&] {
    return headOf("m0") != nullptr && headOf("m1") != nullptr;
  });
  SleepMs(3500); // the machines are in touch

  Engine* const head = headOf("m1");
  const auto group = head->Group();
  for (const auto& engine : engines) {
    if (Trouble() && engine.get() != head && engine->Group() == group) {
      Log(engine->id + ", a member of " + group + ", is partitioned from the store");
      engine->CutFromStore();
    }
  }
  SleepMs(4600); // its registration is gone, and the group serves on

  Vm* leader = nullptr;
  for (const auto& vm : vms) {
    leader = vm->Leads() ? vm.get() : leader;
  }
  if (leader == nullptr) {
    Finish(2, "could not run: no leader");
  }
  std::mutex mutex;
  std::vector<Result> results;
  std::vector<std::thread> threads;
  for (const auto& vm : vms) {
    for (int number = 0; vm.get() != leader && number < kCallersPerVm; ++number) {
      threads.emplace_back([&, number, at = vm.get()] {
        const auto name = at->id + "-" + std::to_string(number);
        auto connection = Connection::Connect(at->front);
        if (!connection) {
          Finish(2, "could not run: no connection to " + at->id);
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
        call.headers = { { "X-Model", "m1" },
                         { "X-Token-Usage", "700,300" },
                         { "X-Prompt-Prefix", "1f:40,2f:660" } };
        call.body = "{\"n\":\"" + name + "\"}";
        auto result = Send(*connection, call);
        const std::lock_guard lock(mutex);
        results.push_back(std::move(result));
      });
    }
  }
  SleepMs(500);
  leader->Signal(SIGTERM);
  for (auto& thread : threads) {
    thread.join();
  }
  int whole = 0;
  int lost = 0;
  for (const auto& result : results) {
    whole += result.answer.Status() == 200 && result.answer.complete &&
             result.answer.body == streaming.Whole();
    lost += result.answer.Status() == 200 && !result.answer.complete && !result.timedOut;
  }
  std::ostringstream text;
  text << results.size() << " streams of kept connections at VMs that did not stop, " << whole
       << " whole, " << lost << " closed before the end (more than 3 break the rule)";
  const bool broken = lost > 3;
  Finish(broken ? 1 : 0, (broken ? "LOST broken: " : "held: ") + text.str());
}
