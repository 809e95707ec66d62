#include <catch2/catch.hpp>

#include "isolation/IsolationDetector.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const std::vector<VmId> kVms = { VmId("a"), VmId("b"), VmId("c") };
constexpr TimePoint kStart{ 1h };

} // namespace

TEST_CASE("An answer counts from when its question was sent", "[isolation]")
{
  // Guards against a late answer that proves contact at a time when there was none.
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.OnStoreAnswer(kStart, 0);
  CHECK(isolation.MayServe(kStart + 8s));
  CHECK_FALSE(isolation.MayServe(kStart + 9s));
  isolation.OnPeerAnswer(VmId("b"), kStart + 2s, 0, true);
  CHECK(isolation.State(kStart + 10s) == ServingState::Serving);
  CHECK(isolation.State(kStart + 11s) == ServingState::Isolated);
}

TEST_CASE("A contact that names a newer revision counts once that is in force",
          "[isolation]")
{
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.SetRevision(4);
  isolation.OnStoreAnswer(kStart, 4);
  isolation.OnPeerAnswer(VmId("b"), kStart + 5s, 5, true);
  CHECK_FALSE(isolation.MayServe(kStart + 9s));
  isolation.SetRevision(5);
  CHECK(isolation.MayServe(kStart + 9s));
}

TEST_CASE("A restarted node needs the store or a majority of other nodes", "[isolation]")
{
  // Guards against counting the vote of a node that forgot what it confirmed.
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.SetRevision(3);
  isolation.OnPeerAnswer(VmId("b"), kStart + 9s, 3, true);
  isolation.OnPeerAnswer(VmId("c"), kStart + 9s, 3, false);
  CHECK(isolation.State(kStart + 9s) == ServingState::Unsynchronized);
  isolation.OnPeerAnswer(VmId("c"), kStart + 7s, 3, true);
  CHECK_FALSE(isolation.MayServe(kStart + 9s));
  isolation.OnPeerAnswer(VmId("c"), kStart + 9s, 3, true);
  CHECK(isolation.MayServe(kStart + 9s));
}

TEST_CASE("Isolated serving needs the exception", "[isolation]")
{
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.SetPolicy(IsolationPolicy::Continue);
  CHECK_FALSE(isolation.MayServe(kStart));
  isolation.SetRevision(2);
  CHECK(isolation.State(kStart) == ServingState::ServingIsolated);
}

TEST_CASE("Majorities are counted over the larger list", "[isolation]")
{
  const std::vector<VmId> longer = { VmId("c"), VmId("d"), VmId("e"), VmId("f") };
  CHECK(EntryQuorum(kVms, longer).Majority() == 3);
  CHECK(EntryQuorum(longer, kVms).Contains(VmId("f")));
  CHECK(EntryQuorum(kVms, { VmId("x"), VmId("y"), VmId("z") }).Contains(VmId("x")));
}
