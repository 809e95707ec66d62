#include <catch2/catch.hpp>

#include "isolation/IsolationDetector.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const std::vector<VmId> kVms = { VmId("a"), VmId("b"), VmId("c") };
constexpr TimePoint kStart{ 1h };

} // namespace

TEST_CASE("An answer counts as contact at the time when its request was sent",
          "[isolation]")
{
  // Guards against a late answer that counts as contact at its arrival, when the sender
  // may no longer be reachable.
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.OnStoreAnswer(kStart, 0);
  CHECK(isolation.MayServe(kStart + 8s));
  CHECK_FALSE(isolation.MayServe(kStart + 9s));
  isolation.OnPeerAnswer(VmId("b"), kStart + 2s, 0, true);
  CHECK(isolation.State(kStart + 10s) == ServingState::Serving);
  CHECK(isolation.State(kStart + 11s) == ServingState::Isolated);
}

TEST_CASE("A contact that names a newer revision counts once that revision is in force",
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

TEST_CASE(
  "A restarted node stays unsynchronized without the store or a majority of others",
  "[isolation]")
{
  // Guards against counting a node towards a majority that no longer knows, after a
  // restart, which revision it confirmed.
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

TEST_CASE("A node without contact serves only by the policy of a configuration in force",
          "[isolation]")
{
  IsolationDetector isolation(VmId("a"), kStart);
  isolation.SetQuorum({ kVms, {} });
  isolation.SetPolicy(IsolationPolicy::Continue);
  CHECK_FALSE(isolation.MayServe(kStart));
  isolation.SetRevision(2);
  CHECK(isolation.State(kStart) == ServingState::ServingIsolated);
}

TEST_CASE("The quorum consists of the longer list of VMs", "[isolation]")
{
  const std::vector<VmId> longer = { VmId("c"), VmId("d"), VmId("e"), VmId("f") };
  CHECK(EntryQuorum(kVms, longer).Majority() == 3);
  CHECK(EntryQuorum(longer, kVms).Contains(VmId("f")));
  CHECK(EntryQuorum(kVms, { VmId("x"), VmId("y"), VmId("z") }).Contains(VmId("x")));
}
