// A request that crashes each engine that begins to run it comes again at one entry VM
// after the other.
#include "standin.hh"

using namespace standin;

namespace {

constexpr int kVms = 9;
constexpr int kEngines = 3;
constexpr int kComings = 12;
constexpr int kComingIntervalMs = 4500;
constexpr int kEngineDownMs = 3000;
/// StableWindowMs of the small deployments.
constexpr double kStableWindow = 3.0;
constexpr int kMostRetries = 3;
constexpr const char* kCrashingBody = "{\"item\":\"a body that no engine survives\"}";

} // namespace

int main(int, char** aArguments)
{
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
  std::vector<std::shared_ptr<Engine>> engines(kEngines);
  std::atomic<int> starts = 0;
  std::function<void(int)> start = [&](int aPlace) {
    const auto id = "i-engine" + std::to_string(++starts);
    auto self = std::make_shared<std::weak_ptr<Engine>>();
    auto engine = std::make_shared<Engine>(
      store, id, "counter", [&, aPlace, id, self](int aFd, const Message& aRequest) {
        const auto request = aRequest.Header("x-attempt-id");
        const bool isCrashing = aRequest.body == kCrashingBody;
        if (isCrashing) {
          const std::lock_guard lock(mutex);
          reached.push_back(Now());
          record.Line("the request reaches " + id + " as " + request);
        }
        const auto engine = self->lock();
        if (isCrashing && HasTrouble() && engine) {
          SleepMs(20);
          {
            const std::lock_guard lock(mutex);
            crashes.push_back(Now());
            record.Line(id + " crashes, crash " + std::to_string(crashes.size()));
          }
          engine->Crash();
          std::thread([&, aPlace] {
            SleepMs(kEngineDownMs);
            start(aPlace);
          }).detach();
          return;
        }
        SleepMs(20);
        SendAll(aFd, Engine::Success(aRequest, std::string(800, 'b')));
      });
    *self = engine;
    {
      const std::lock_guard lock(mutex);
      // Crashed ones stay in memory: their threads may still run.
      static std::vector<std::shared_ptr<Engine>> ended;
      ended.push_back(engines[static_cast<std::size_t>(aPlace)]);
      engines[static_cast<std::size_t>(aPlace)] = engine;
    }
    record.Line(id + " has started");
  };
  for (int place = 0; place < kEngines; ++place) {
    start(place);
  }
  std::vector<std::unique_ptr<EntryVm>> vms;
  for (int vm = 0; vm < kVms; ++vm) {
    vms.push_back(std::make_unique<EntryVm>("vm" + std::to_string(vm), folder, store.Port()));
  }
  for (const auto& vm : vms) {
    vm->AwaitReady();
  }
  // The entry VMs find one another.
  SleepMs(5000);

  std::atomic<bool> isOver = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> threads;
  for (const auto& vm : vms) {
    threads.emplace_back([&, port = vm->Port()] {
      while (!isOver) {
        const int fd = Connect(port, 1000);
        SendAll(fd, Request("GET", "/stock/7", NewId(), 4000));
        const auto answer = Reader(fd).Read(4000);
        ::close(fd);
        ++sent;
        served += answer && answer->Status() == 200 ? 1 : 0;
        SleepMs(200);
      }
    });
  }
  for (int coming = 0; coming < kComings; ++coming) {
    const auto& vm = *vms[static_cast<std::size_t>(coming % kVms)];
    const auto id = NewId();
    record.Line("the request comes at vm" + std::to_string(coming % kVms) + " as " + id);
    const int fd = Connect(vm.Port(), 1000);
    SendAll(fd, Request("POST", "/orders/new", id, 4000, kCrashingBody));
    const auto answer = Reader(fd).Read(4000);
    ::close(fd);
    record.Line("answer to " + id + ": " +
                (answer ? std::to_string(answer->Status()) : "none"));
    SleepMs(kComingIntervalMs);
  }
  isOver = true;
  for (auto& thread : threads) {
    thread.join();
  }
  for (const auto& vm : vms) {
    vm->Kill();
  }

  const std::lock_guard lock(mutex);
  const auto retries =
    crashes.size() < 3 ? 0 : std::ranges::count_if(reached, [&](double aAt) {
      return aAt > crashes[2] + kStableWindow;
    });
  char text[240];
  std::snprintf(text,
                sizeof(text),
                "%zu crashes; the request reached engines %td times later than %.0f s "
                "after the third (bound %d); %d of %d other requests served",
                crashes.size(),
                retries,
                kStableWindow,
                kMostRetries,
                served.load(),
                sent.load());
  record.Line(text);
  std::printf("%s\n", text);
  std::fflush(stdout);
  if (reached.empty() || served < sent * 9 / 10) {
    std::_Exit(2);
  }
  const bool isBroken = retries > kMostRetries;
  record.Line(isBroken ? "BUDGET is broken" : "the rule held");
  std::_Exit(isBroken ? 1 : 0);
}
