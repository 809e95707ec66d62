// Orders are carried out late. The leader orders engines into another group while their former
// one, which it has dissolved, serves again.
#include "../support-2/platform.hh"

using namespace review;

namespace {

constexpr int kSlots = 26;
constexpr int kEngines = 8;
constexpr int kVms = 2;
constexpr int kCallers = 12;
/// Streams of 7 s.
constexpr int kEvents = 70;
constexpr int kRounds = 1;
/// Of the first answer on each connection.
constexpr int kFewEvents = 3;
/// "A sound engine may fall silent for a second or so and go on."
constexpr milliseconds kSilence{ 1500 };
/// Late orders are carried out within these times.
constexpr double kLeastLate = 2;
constexpr double kMostLate = 12;

std::atomic<int> whole{ 0 };
std::atomic<int> refused{ 0 };
std::atomic<int> lost{ 0 };

std::optional<Message> Exchange(Connection& aConnection, const std::string& aAttempt, int aEvents)
{
  const std::string body = "prompt of " + aAttempt;
  aConnection.Send("POST /chat/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: " + aAttempt +
                   "\r\nX-Model: large\r\nX-Token-Usage: 100," + std::to_string(aEvents * 5) +
                   "\r\nX-Prompt-Prefix: 1f:40," + aAttempt +
                   ":60\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n"
                   "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  auto answer = aConnection.Read(14'000, true);
  RECORD("caller: %s gets %d, %s, %zu bytes",
         aAttempt.c_str(),
         answer ? answer->Status() : 0,
         answer && answer->isWhole ? "whole" : "not whole",
         answer ? answer->body.size() : 0);
  return answer;
}

/// A short request and then a long one on the same connection.
void Call(int aPort, const std::string& aAttempt)
{
  const auto connection = Connect(aPort);
  if (!connection) {
    return;
  }
  const auto first = Exchange(*connection, aAttempt + "00", kFewEvents);
  if (!first || first->Status() != 200 || !first->isWhole) {
    return;
  }
  const auto second = Exchange(*connection, aAttempt + "01", kEvents);
  if (!second || !second->isWhole) {
    ++lost;
  } else {
    ++(second->Status() == 200 ? whole : refused);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const std::string program = aArguments[1];
  const std::string folder = aArguments[2];
  Record::Get().Open(aArguments[3]);
  const char* const trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);

  Store store;
  auto configuration = Configuration(kSlots);
  // A stream that may not be resumed.
  configuration["Routes"][0]["CanResume"] = false;
  configuration["Routes"][0]["TimeoutMs"] = 12'000;
  store.Put("op/config", configuration.dump());
  Fleet fleet;
  for (int number = 0; number < kEngines; ++number) {
    fleet.engines.push_back(
      std::make_unique<Engine>(fleet, store, "i-" + std::to_string(number), kSlots));
    
  }
  // Orders for the head of the first group that is formed are left unanswered and carried out late:
  // the first one to join it, the first one to open it, and the first one to join the next group.
  struct Plan
  {
    std::mutex mutex;
    std::string group;
    std::string head;
    std::optional<double> joinAt;
    std::optional<double> openAt;
    std::optional<double> nextAt;
    int orders = 0;
    int late = 0;
  };
  static Plan plan;
  const auto carryOut = [&fleet] {
    std::thread([&fleet] {
      Sleep(50);
      auto* head = fleet.Find(plan.head);
      const auto isWithin = [](double aSentAt) {
        const double late = Now() - aSentAt;
        RECORD("an order is carried out %.1f s late", late);
        return late >= kLeastLate && late <= kMostLate;
      };
      if (!isWithin(*plan.joinAt)) {
        return;
      }
      head->CarryOutLate("join", plan.group);
      // The head is ready by then.
      Sleep(205);
      if (isWithin(*plan.openAt)) {
        head->CarryOutLate("open", plan.group);
      }
    }).detach();
  };
  for (const auto& engine : fleet.engines) {
    engine->isLate = [&, id = engine->id, hasTrouble](const json& aOrder) {
      const auto kind = aOrder.value("Op", "");
      const auto group = aOrder.value("group", "");
      const std::scoped_lock lock(plan.mutex);
      ++plan.orders;
      if (plan.head.empty() && kind == "join") {
        plan.group = group;
        plan.head = aOrder["Members"][0];
      }
      if (!hasTrouble || id != plan.head) {
        return false;
      }
      auto* sentAt = kind == "join" && group == plan.group   ? &plan.joinAt
                     : kind == "open" && group == plan.group ? &plan.openAt
                     : kind == "join"                        ? &plan.nextAt
                                                             : nullptr;
      if (sentAt == nullptr || *sentAt) {
        return false;
      }
      *sentAt = Now();
      ++plan.late;
      if (sentAt == &plan.nextAt) {
        carryOut();
      }
      return true;
    };
  }
  for (const auto& engine : fleet.engines) {
    engine->Start();
  }
  std::vector<std::unique_ptr<Vm>> vms;
  for (int number = 0; number < kVms; ++number) {
    vms.push_back(
      std::make_unique<Vm>(program, folder, "vm-" + std::to_string(number + 1), store.Port()));
    vms.back()->Start();
  }
  const auto due = Clock::now() + std::chrono::seconds(25);
  const auto areReady = [&] {
    return std::all_of(vms.begin(), vms.end(), [](const auto& aVm) { return aVm->IsReady(); });
  };
  while (!(areReady() && fleet.OpenHeads() >= kEngines / 2)) {
    if (Clock::now() > due) {
      RECORD("the groups were not formed in time");
      return 2;
    }
    Sleep(50);
  }
  // Until the machines know the groups.
  for (const auto& vm : vms) {
    for (int number = 0; number < 30; ++number) {
      const auto connection = Connect(vm->Front());
      const auto answer =
        connection ? Exchange(*connection, "ee" + std::to_string(number), 1) : std::nullopt;
      if (answer && answer->Status() == 200) {
        break;
      }
      Sleep(50);
    }
  }
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%02x%04x", round + 1, caller + 1);
        Call(vms[static_cast<std::size_t>(caller % kVms)]->Front(), attempt);
      });
    }
    // The short requests have ended, and the long ones run.
    Sleep(700);
    {
      Engine* silent = nullptr;
      {
        const std::scoped_lock lock(fleet.mutex);
        for (const auto& engine : fleet.engines) {
          silent = engine->state == "open" && engine->group == plan.group ? engine.get() : silent;
        }
      }
      if (silent == nullptr) {
        return 2;
      }
      RECORD("engine %s falls silent for 1.5 s", silent->Id().c_str());
      silent->FallSilent(kSilence);
    }
    for (auto& caller : callers) {
      caller.join();
    }
    Sleep(3000);
  }
  vms.clear();
  const std::scoped_lock lock(fleet.mutex, plan.mutex);
  RECORD("%d of %d orders late; joins of engines whose head serves: %d",
         plan.late,
         plan.orders,
         fleet.joinsOfHeldEngines);
  std::printf("%d of %d orders late; joins of held engines %d; whole %d lost %d\n",
              plan.late,
              plan.orders,
              fleet.joinsOfHeldEngines,
              whole.load(),
              lost.load());
  std::fflush(stdout);
  std::_Exit(fleet.joinsOfHeldEngines > 0 ? 1 : 0);
}
