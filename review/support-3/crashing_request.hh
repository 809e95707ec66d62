// A request that crashes each engine that begins to run it comes again and again.
#pragma once

#include "standin.hh"

namespace standin {

enum class CrashForm
{
  /// Connections are reset, and nothing listens.
  Ends,
  /// Connections stay open, and nothing comes on them.
  GoesDark,
};

struct CrashingRequestPlay
{
  int vms = 2;
  int engines = 3;
  int comings = 9;
  int intervalMs = 4500;
  int engineDownMs = 3000;
  CrashForm form = CrashForm::Ends;
  /// The VM at which the request comes, and its target.
  std::function<int(int aComing)> vmOf = [](int) { return 0; };
  std::function<std::string(int aComing)> targetOf = [](int) { return "/orders/new"; };
};

/// Plays it beside ordinary lookups and orders at all VMs, and ends with the exit status of
/// the script.
[[noreturn]] inline void Play(const CrashingRequestPlay& aPlay, char** aArguments)
{
  /// StableWindowMs of the small deployments.
  constexpr double kStableWindow = 3.0;
  constexpr int kMostRetries = 3;
  constexpr int kOrderWorkMs = 400;
  const std::string crashingBody = "{\"item\":\"a body that no engine survives\"}";
  const std::string folder = aArguments[1];
  Record record(std::string(aArguments[2]) + "/record.txt");
  Store store;
  store.Put("op/config",
            Configuration({ Route("look", "/stock/", "counter", "safe", 2000, 2),
                            Route("order", "/orders/", "counter", "unsafe", 2000, 1) },
                          "counter"));

  std::mutex mutex;
  std::vector<double> reached;
  std::vector<double> crashes;
  // Crashed ones stay in memory: their threads may still run.
  std::vector<std::shared_ptr<Engine>> engines;
  std::atomic<int> starts = 0;
  std::function<void()> start = [&] {
    const auto id = "i-engine" + std::to_string(++starts);
    auto self = std::make_shared<std::weak_ptr<Engine>>();
    auto engine = std::make_shared<Engine>(
      store, id, "counter", [&, id, self](int aFd, const Message& aRequest) {
        const auto request = aRequest.Header("x-attempt-id");
        const bool isCrashing = aRequest.body == crashingBody;
        const auto own = self->lock();
        if (isCrashing) {
          const std::lock_guard lock(mutex);
          reached.push_back(Now());
          record.Line("the request reaches " + id + " as " + request);
        }
        if (isCrashing && HasTrouble() && own) {
          SleepMs(20);
          {
            const std::lock_guard lock(mutex);
            crashes.push_back(Now());
            record.Line(id + (aPlay.form == CrashForm::Ends ? " crashes" : " goes dark") +
                        ", crash " + std::to_string(crashes.size()));
          }
          if (aPlay.form == CrashForm::Ends) {
            own->Crash();
          } else {
            own->GoDark();
          }
          std::thread([&, own] {
            SleepMs(aPlay.engineDownMs);
            // Its machine is back and knows nothing of the connections.
            own->Crash();
            start();
          }).detach();
          return;
        }
        SleepMs(aRequest.Method() == "POST" ? kOrderWorkMs : 20);
        if (own && own->HasCrashed()) {
          return;
        }
        SendAll(aFd, Engine::Success(aRequest, std::string(800, 'b')));
      });
    *self = engine;
    const std::lock_guard lock(mutex);
    engines.push_back(engine);
    record.Line(id + " has started");
  };
  for (int count = 0; count < aPlay.engines; ++count) {
    start();
  }
  std::vector<std::unique_ptr<EntryVm>> vms;
  for (int vm = 0; vm < aPlay.vms; ++vm) {
    vms.push_back(std::make_unique<EntryVm>("vm" + std::to_string(vm), folder, store.Port()));
  }
  for (const auto& vm : vms) {
    vm->AwaitReady();
  }
  // The entry VMs find one another.
  SleepMs(5000);

  std::atomic<bool> isOver = false;
  std::atomic<int> lookups = 0;
  std::atomic<int> lookupsServed = 0;
  std::atomic<int> orders = 0;
  std::vector<double> lostOrders;
  const auto send = [](int aPort, const std::string& aRequest) {
    const int fd = Connect(aPort, 1000);
    SendAll(fd, aRequest);
    const auto answer = Reader(fd).Read(4000);
    ::close(fd);
    return answer ? answer->Status() : 0;
  };
  std::vector<std::thread> threads;
  for (const auto& vm : vms) {
    threads.emplace_back([&, port = vm->Port()] {
      while (!isOver) {
        ++lookups;
        lookupsServed += send(port, Request("GET", "/stock/7", NewId(), 4000)) == 200 ? 1 : 0;
        SleepMs(200);
      }
    });
    threads.emplace_back([&, port = vm->Port()] {
      while (!isOver) {
        const auto id = NewId();
        ++orders;
        const int status =
          send(port, Request("POST", "/orders/new", id, 4000, "{\"order\":\"" + id + "\"}"));
        // A 503 says that the order has not run; the caller may send it again.
        if (status != 200 && status != 503) {
          const std::lock_guard lock(mutex);
          lostOrders.push_back(Now());
          record.Line("order " + id + " of another caller is lost: " +
                      std::to_string(status));
        }
        SleepMs(50);
      }
    });
  }
  for (int coming = 0; coming < aPlay.comings; ++coming) {
    const int place = aPlay.vmOf(coming);
    const auto id = NewId();
    record.Line("the request comes at vm" + std::to_string(place) + " as " + id + ", " +
                aPlay.targetOf(coming));
    const int status =
      send(vms[static_cast<std::size_t>(place)]->Port(),
           Request("POST", aPlay.targetOf(coming), id, 4000, crashingBody));
    record.Line("answer to " + id + ": " + std::to_string(status));
    SleepMs(aPlay.intervalMs);
  }
  isOver = true;
  for (auto& thread : threads) {
    thread.join();
  }
  for (const auto& vm : vms) {
    vm->Kill();
  }

  const std::lock_guard lock(mutex);
  const double boundFrom = crashes.size() < 3 ? 1e9 : crashes[2] + kStableWindow;
  const auto isLate = [boundFrom](double aAt) { return aAt > boundFrom; };
  const auto retries = std::ranges::count_if(reached, isLate);
  char text[320];
  std::snprintf(text,
                sizeof(text),
                "%zu crashes; the request reached engines %td times later than %.0f s after "
                "the third (bound %d); %zu of %d orders of other callers lost, %td of them "
                "in that time; %d of %d lookups served",
                crashes.size(),
                retries,
                kStableWindow,
                kMostRetries,
                lostOrders.size(),
                orders.load(),
                std::ranges::count_if(lostOrders, isLate),
                lookupsServed.load(),
                lookups.load());
  record.Line(text);
  std::printf("%s\n", text);
  std::fflush(stdout);
  if (reached.empty() || lookupsServed < lookups * 9 / 10) {
    std::_Exit(2);
  }
  const bool isBroken = retries > kMostRetries;
  record.Line(isBroken ? "BUDGET is broken" : "the rule held");
  // Threads of the stand-ins still run.
  std::_Exit(isBroken ? 1 : 0);
}

} // namespace standin
