#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "memory/RequestPrecedence.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLarge = RequestPrecedence::kOrdinaryBytes + 1;
constexpr std::size_t kLimit = 16 * kLarge;
constexpr TimePoint kNow{ 1h };

/// An arriving request that gives its bytes back at once, as a reader does.
struct Request
{
  Request(const MemoryBudget& aBudget, const std::string& aClient, Duration aSilence)
    : holding(
        aBudget,
        [this] {
          this->gaveWay = true;
          this->holding.Release();
        },
        aClient)
  {
    this->holding.NoteProgress(kNow - aSilence);
  }

  bool gaveWay = false;
  MemoryBudget::Holding holding;
};

/// A budget that requests fill one after the other.
struct Rig
{
  Request& Add(const std::string& aClient, Duration aSilence, std::size_t aBytes = kLarge)
  {
    this->requests.push_back(std::make_unique<Request>(this->budget, aClient, aSilence));
    this->wasTaken = this->requests.back()->holding.Resize(aBytes);
    return *this->requests.back();
  }

  MemoryBudget budget{ RequestPrecedence::RulesFor(kLimit) };
  std::vector<std::unique_ptr<Request>> requests;
  bool wasTaken = false;
};

/// As many requests of this size as fit into the part of the budget for all.
constexpr int kFull = 12;

} // namespace

TEST_CASE("Nobody gives way while there is room", "[memory]")
{
  // Guards against refusals of large or stopped requests that harm nobody.
  Rig rig;
  for (int number = 0; number < kFull; ++number) {
    rig.Add("a", 10s);
    CHECK(rig.wasTaken);
  }
  for (const auto& request : rig.requests) {
    CHECK_FALSE(request->gaveWay);
  }
}

TEST_CASE("The stopped request that came last gives way first", "[memory]")
{
  // Guards against sound requests that are refused for the sake of stopped ones.
  Rig rig;
  auto& early = rig.Add("a", 10s);
  auto& late = rig.Add("b", 1s);
  for (int number = 2; number < kFull; ++number) {
    rig.Add("c", 0s);
  }
  rig.Add("d", 0s);
  CHECK(rig.wasTaken);
  CHECK(late.gaveWay);
  CHECK_FALSE(early.gaveWay);
  rig.Add("d", 0s);
  CHECK(rig.wasTaken);
  CHECK(early.gaveWay);
  rig.Add("c", 0s);
  CHECK_FALSE(rig.wasTaken);
}

TEST_CASE("A client's many requests give way before one of another", "[memory]")
{
  // Guards against a client that displaces others by sending more.
  Rig rig;
  auto& single = rig.Add("single", 0s);
  for (int number = 1; number < kFull; ++number) {
    rig.Add("many", 0s);
  }
  rig.Add("many", 0s);
  CHECK_FALSE(rig.wasTaken);
  auto& other = rig.Add("other", 0s);
  CHECK(rig.wasTaken);
  CHECK(rig.requests[kFull - 1]->gaveWay);
  CHECK_FALSE(other.gaveWay);
  CHECK_FALSE(single.gaveWay);
}

TEST_CASE("Ordinary requests keep a reserve and displace larger ones", "[memory]")
{
  // Guards against small requests that are refused while large bodies fill the memory.
  Rig rig;
  for (int number = 0; number < kFull; ++number) {
    rig.Add("many", 0s).holding.Protect();
  }
  rig.Add("many", 0s);
  CHECK_FALSE(rig.wasTaken);
  rig.Add("many", 0s, kLarge - 1);
  CHECK(rig.wasTaken);
  Rig other;
  auto& large = other.Add("many", 0s, kFull * kLarge);
  for (int number = 0; number < 5; ++number) {
    other.Add("many", 0s, kLarge - 1);
    CHECK(other.wasTaken);
  }
  CHECK(large.gaveWay);
}

TEST_CASE("A request that was read completely never gives way", "[memory]")
{
  // Guards against calls at a server or answers that are broken off.
  Rig rig;
  for (int number = 0; number < kFull; ++number) {
    rig.Add("many", 10s).holding.Protect();
  }
  rig.Add("other", 0s);
  CHECK_FALSE(rig.wasTaken);
  for (int number = 0; number < kFull; ++number) {
    CHECK_FALSE(rig.requests[static_cast<std::size_t>(number)]->gaveWay);
  }
}

TEST_CASE("A request that exceeds the whole budget displaces nobody", "[memory]")
{
  // Guards against one hopeless request at the cost of all others.
  Rig rig;
  auto& stopped = rig.Add("a", 10s);
  rig.Add("b", 0s, kLimit);
  CHECK_FALSE(rig.wasTaken);
  CHECK_FALSE(rig.budget.FitsAlone(kLimit));
  CHECK_FALSE(stopped.gaveWay);
}
