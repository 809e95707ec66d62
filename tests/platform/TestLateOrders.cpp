#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

// Engines leave orders unanswered and carry them out late.

namespace {

/// Three engines, of which two form a group. The head of that group leaves unanswered the
/// first order to join it, the first one to open it and the first one to join another
/// one.
class LateOrders
{
public:
  LateOrders()
    : platform(3)
  {
    this->platform.RunOnLoop([this] {
      for (const auto& id : kEngines) {
        this->platform.BackendServer(id).leavesUnanswered =
          [this, id](const json& aOrder) { return this->IsLeftUnanswered(id, aOrder); };
      }
    });
    this->server = std::make_unique<ServerUnderTest>(this->platform, "vm-1");
    this->server->WaitForGroups(1);
  }

  /// The group loses its member, so that its head leaves and has to join the spare
  /// engine.
  void LoseMember()
  {
    std::string member;
    this->platform.RunOnLoop([&] {
      for (const auto& id : kEngines) {
        const auto& engine = this->platform.BackendServer(id);
        member = id != this->head && engine.Group() == this->group ? id : member;
      }
    });
    this->platform.CrashServer(member);
    this->platform.DeleteRegistration(member);
    this->WaitFor([this] { return this->unanswered.contains({ "join", false }); });
  }

  void WaitFor(const std::function<bool()>& aCondition)
  {
    const auto deadline = std::chrono::steady_clock::now() + 15s;
    bool holds = false;
    while (!holds) {
      if (std::chrono::steady_clock::now() > deadline) {
        throw std::runtime_error("a condition does not hold within 15 s");
      }
      std::this_thread::sleep_for(20ms);
      this->platform.RunOnLoop([&] { holds = aCondition(); });
    }
  }

  [[nodiscard]] BackendServerStandin& Head()
  {
    return this->platform.BackendServer(this->head);
  }

  PlatformStandin platform;
  std::unique_ptr<ServerUnderTest> server;
  std::string group;
  std::string head;
  /// Kinds of the orders that the head left unanswered, and whether each was for `group`.
  std::set<std::pair<std::string, bool>> unanswered;

private:
  static inline const std::vector<std::string> kEngines = { "engine-0",
                                                            "engine-1",
                                                            "engine-2" };

  bool IsLeftUnanswered(const std::string& aEngine, const json& aOrder)
  {
    const auto kind = aOrder.value("Op", "");
    const auto name = aOrder.value("group", "");
    if (this->head.empty() && kind == "join") {
      this->group = name;
      this->head = aOrder.at("Members").at(0);
    }
    if (aEngine != this->head) {
      return false;
    }
    const bool isForGroup = name == this->group;
    const bool isChosen = kind == "join" || (kind == "open" && isForGroup);
    const bool isRepeated = this->unanswered.contains({ kind, isForGroup });
    if (isChosen) {
      this->unanswered.insert({ kind, isForGroup });
    }
    return isChosen && !isRepeated;
  }
};

} // namespace

TEST_CASE("An engine that has left a group does not serve it again by late orders",
          "[orders]")
{
  // Guards against an engine that late orders to join and to open make the head of its
  // former group again, and that takes an order to join another group while it serves.
  LateOrders rig;
  rig.LoseMember();
  rig.platform.RunOnLoop([&] { (void)rig.Head().CarryOutLate("join"); });
  // An engine that has joined takes the order to open once it is ready.
  constexpr int kWrongState = 409;
  rig.WaitFor([&] { return rig.Head().CarryOutLate("open") != kWrongState; });
  const auto formsNext = [&rig] {
    return rig.Head().IsOpenHead() && rig.Head().Group() != rig.group;
  };
  rig.WaitFor(formsNext);
  rig.platform.RunOnLoop([&] { CHECK(rig.Head().joinsWhileOpen == 0); });
}
