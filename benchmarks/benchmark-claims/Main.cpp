/// Measures idempotency claims: time per decision, bytes per record and store calls per
/// keyed call. Also compares one create per claim with a segmented log, both in front of
/// a store with 3 ms writes.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

#include "claims/ClaimMachine.h"
#include "random/Random.h"
#include "time/BootClock.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

/// Returns a claim of the key with this number, with a new nonce.
ClaimMessage MakeClaimMessage(std::uint64_t aNumber)
{
  static std::uint64_t claims = 0;
  return { AccountId("kelani-orders"),
           "order-" + std::to_string(aNumber),
           "0123456789abcdef0123456789abcdef",
           "nonce-" + std::to_string(++claims) };
}

double NanosecondsPerCall(std::size_t aCount,
                          const std::function<void(std::size_t)>& aWork)
{
  const TimePoint start = BootClock::now();
  for (std::size_t index = 0; index < aCount; ++index) {
    aWork(index);
  }
  return static_cast<double>((BootClock::now() - start).count()) /
         static_cast<double>(aCount);
}

std::size_t checksum = 0;

ClaimRecord StoredRecord(std::size_t aBodyBytes)
{
  ClaimMachine machine(MakeClaimMessage(1), VmId("vm-colombo-a-1"));
  ClaimRecord record = machine.OnClaimAsked().front().record;
  if (aBodyBytes > 0) {
    record.Finish(201, std::string(aBodyBytes, 'x'));
  }
  return record;
}

void MeasureDecisions()
{
  constexpr std::size_t kRuns = 300'000;
  const double granted = NanosecondsPerCall(kRuns, [](std::size_t aIndex) {
    ClaimMachine machine(MakeClaimMessage(aIndex), VmId("vm-1"));
    checksum += machine.OnClaimAsked().size();
    checksum += machine.OnCreateReply(StoreResult::Done, 7, std::nullopt).size();
    checksum +=
      machine.OnOutcomeKnown({ machine.Nonce(), ClaimOutcome::Answered, 201, "ok" })
        .size();
    checksum += machine.OnReplaceReply(StoreResult::Done).size();
  });
  const StoredClaim existing{ StoredRecord(200), 7, false };
  const double repeated = NanosecondsPerCall(kRuns, [&existing](std::size_t aIndex) {
    ClaimMachine machine(MakeClaimMessage(aIndex), VmId("vm-1"));
    checksum += machine.OnClaimAsked().size();
    checksum += machine.OnCreateReply(StoreResult::ConditionFailed, 0, existing).size();
  });
  std::printf("## Time per decision\n\n");
  std::printf("| what | ns |\n|---|---|\n");
  std::printf("| granted claim with its outcome, 4 decisions | %.0f |\n", granted);
  std::printf("| each of them | %.0f |\n", granted / 4);
  std::printf("| repeated key, 2 decisions | %.0f |\n", repeated);
  for (const std::size_t bytes : { std::size_t{ 200 }, ClaimRecord::kMaximumBodyBytes }) {
    const auto record = StoredRecord(bytes);
    const auto text = FormatClaimRecord(record);
    const double format = NanosecondsPerCall(
      5'000, [&record](std::size_t) { checksum += FormatClaimRecord(record).size(); });
    const double parse = NanosecondsPerCall(5'000, [&text](std::size_t) {
      checksum += ParseClaimRecord(text).has_value() ? 1 : 0;
    });
    std::printf(
      "| write the text of a finished record, %zu-byte body | %.0f |\n", bytes, format);
    std::printf("| read it | %.0f |\n", parse);
  }
}

void MeasureRecords()
{
  std::printf("\n## Bytes per record\n\n| record | bytes |\n|---|---|\n");
  std::printf("| claimed | %zu |\n", FormatClaimRecord(StoredRecord(0)).size());
  for (const std::size_t bytes : { std::size_t{ 200 }, ClaimRecord::kMaximumBodyBytes }) {
    std::printf("| finished, %zu-byte body | %zu |\n",
                bytes,
                FormatClaimRecord(StoredRecord(bytes)).size());
  }
}

/// In-memory store that answers the calls of a ClaimMachine and counts them.
class CountingStore
{
public:
  /// @param aLostCreates number of creates that take effect but whose reply is lost
  void RunKeyedCall(const ClaimMessage& aMessage,
                    ClaimOutcome aOutcome,
                    int aLostCreates = 0)
  {
    this->calls = 0;
    ClaimMachine machine(aMessage, VmId("vm-1"));
    this->PerformActions(machine, machine.OnClaimAsked(), aLostCreates);
    if (machine.IsGranted()) {
      this->PerformActions(
        machine, machine.OnOutcomeKnown({ machine.Nonce(), aOutcome, 201, "ok" }), 0);
    }
  }
  [[nodiscard]] int Calls() const { return this->calls; }

private:
  void PerformActions(ClaimMachine& aMachine,
                      const ClaimActions& aActions,
                      int aLostCreates)
  {
    for (const auto& action : aActions) {
      if (action.kind == ClaimActionKind::CreateIfAbsent) {
        const auto existing = this->claim;
        this->claim = existing ? existing : StoredClaim{ action.record, 1, false };
        ++this->calls;
        const auto result = existing ? StoreResult::ConditionFailed : StoreResult::Done;
        this->PerformActions(
          aMachine,
          aMachine.OnCreateReply(
            aLostCreates > 0 ? StoreResult::NoReply : result, 1, existing),
          aLostCreates - 1);
      } else if (action.kind == ClaimActionKind::ReadRecord) {
        ++this->calls;
        this->PerformActions(
          aMachine, aMachine.OnReadReply(StoreResult::Done, this->claim), aLostCreates);
      } else if (action.kind == ClaimActionKind::ReplaceIfRevision ||
                 action.kind == ClaimActionKind::DeleteIfRevision) {
        ++this->calls;
        const bool replace = action.kind == ClaimActionKind::ReplaceIfRevision;
        this->claim =
          replace ? std::optional(StoredClaim{ action.record, 1, false }) : std::nullopt;
        this->PerformActions(
          aMachine, aMachine.OnReplaceReply(StoreResult::Done), aLostCreates);
      }
    }
  }

  std::optional<StoredClaim> claim;
  int calls = 0;
};

void MeasureStoreCalls()
{
  std::printf("\n## Store calls per keyed call\n\n| call | store calls |\n|---|---|\n");
  CountingStore store;
  store.RunKeyedCall(MakeClaimMessage(1), ClaimOutcome::NotRun);
  std::printf("| first, proven not run | %d |\n", store.Calls());
  store.RunKeyedCall(MakeClaimMessage(1), ClaimOutcome::Answered);
  std::printf("| first, answered | %d |\n", store.Calls());
  store.RunKeyedCall(MakeClaimMessage(1), ClaimOutcome::Answered);
  std::printf("| repeated | %d |\n", store.Calls());
  CountingStore storeWithLostReply;
  storeWithLostReply.RunKeyedCall(MakeClaimMessage(1), ClaimOutcome::Answered, 1);
  std::printf("| first, answered, reply of the create lost | %d |\n",
              storeWithLostReply.Calls());
}

/// Store on virtual time: a write takes 3 ms, and writes above the sustained rate wait.
class VirtualTimeStore
{
public:
  static constexpr Duration kWriteTime = 3ms;
  static constexpr int kWritesPerSecond = 400;

  /// Adds a write at aNow and returns the time at which it is durable.
  Duration CompletionTimeOfWrite(Duration aNow)
  {
    ++this->writes;
    this->nextStart = std::max(this->nextStart, aNow);
    const Duration start = this->nextStart;
    this->nextStart += Duration(std::chrono::seconds(1)) / kWritesPerSecond;
    return start + kWriteTime;
  }
  [[nodiscard]] std::size_t Writes() const { return this->writes; }

private:
  Duration nextStart{ 0 };
  std::size_t writes = 0;
};

struct Load
{
  double callsPerSecond = 0;
  Duration length = 20s;
  std::uint64_t seed = 0;
};

struct ReplayResult
{
  double writesPerSecond = 0;
  Duration mean{ 0 };
  Duration p99{ 0 };
  /// Added latency of the last claim; beyond saturation it grows with the length of the
  /// run.
  Duration lastClaim{ 0 };
};

constexpr std::size_t kShards = 6;
constexpr Duration kHopLatency = 1500us;
constexpr Duration kServiceTime = 30ms;

/// Replays the writes of a load in order of time: a claim when a call arrives and its
/// outcome after the service time. The handler appends the added latency of each claim.
ReplayResult Replay(
  const Load& aLoad,
  VirtualTimeStore& aStore,
  const std::function<void(Duration, bool, std::vector<Duration>&)>& aHandle,
  const std::function<void()>& aFinish)
{
  Random random(aLoad.seed);
  std::exponential_distribution<double> gap(aLoad.callsPerSecond);
  std::vector<std::pair<Duration, bool>> writes;
  for (Duration at = FromSeconds(gap(random.Engine())); at < aLoad.length;
       at += FromSeconds(gap(random.Engine()))) {
    writes.emplace_back(at, true);
    writes.emplace_back(at + VirtualTimeStore::kWriteTime + kServiceTime, false);
  }
  std::ranges::sort(writes);
  std::vector<Duration> addedLatencies;
  for (const auto& [at, isClaim] : writes) {
    aHandle(at, isClaim, addedLatencies);
  }
  aFinish();
  ReplayResult replayResult;
  replayResult.writesPerSecond =
    static_cast<double>(aStore.Writes()) / ToSeconds(aLoad.length);
  replayResult.lastClaim = addedLatencies.back();
  std::ranges::sort(addedLatencies);
  replayResult.mean =
    std::accumulate(addedLatencies.begin(), addedLatencies.end(), Duration(0)) /
    static_cast<std::int64_t>(addedLatencies.size());
  replayResult.p99 = addedLatencies[addedLatencies.size() * 99 / 100];
  return replayResult;
}

ReplayResult CreatePerClaim(const Load& aLoad)
{
  VirtualTimeStore store;
  return Replay(
    aLoad,
    store,
    [&store](Duration aAt, bool aIsClaim, std::vector<Duration>& aAddedLatencies) {
      const Duration done = store.CompletionTimeOfWrite(aAt);
      if (aIsClaim) {
        aAddedLatencies.push_back(done - aAt);
      }
    },
    [] {});
}

/// One log per shard. A shard writes its next segment when the previous one is durable;
/// the segment contains all claims and outcomes received until then. A call that arrives
/// at a VM other than that of the shard takes one network hop in each direction.
class SegmentedLog
{
public:
  explicit SegmentedLog(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  void Append(Duration aAt, bool aIsClaim, std::vector<Duration>& aAddedLatencies)
  {
    Shard& shard = this->shards[this->random.Below(kShards)];
    const Duration hop = this->random.Below(kShards) == 0 ? 0ms : kHopLatency;
    const Duration arrival = aAt + hop;
    this->StartDueSegments(arrival);
    shard.pendingEntries.push_back({ aAt, hop, aIsClaim });
    shard.addedLatencies = &aAddedLatencies;
    if (shard.durableAt <= arrival) {
      this->StartSegment(shard, arrival);
    }
  }

  void Finish() { this->StartDueSegments(Duration::max()); }

  VirtualTimeStore store;

private:
  struct Entry
  {
    Duration asked;
    Duration hop;
    bool isClaim;
  };
  struct Shard
  {
    std::vector<Entry> pendingEntries;
    Duration durableAt{ 0 };
    std::vector<Duration>* addedLatencies = nullptr;
  };

  /// Starts, in order of time, the segments whose predecessors are durable by aUntil.
  void StartDueSegments(Duration aUntil)
  {
    while (true) {
      Shard* next = nullptr;
      for (auto& shard : this->shards) {
        const bool ready = !shard.pendingEntries.empty() && shard.durableAt <= aUntil;
        if (ready && (next == nullptr || shard.durableAt < next->durableAt)) {
          next = &shard;
        }
      }
      if (next == nullptr) {
        return;
      }
      this->StartSegment(*next, next->durableAt);
    }
  }

  void StartSegment(Shard& aShard, Duration aNow)
  {
    aShard.durableAt = this->store.CompletionTimeOfWrite(aNow);
    for (const auto& entry : aShard.pendingEntries) {
      if (entry.isClaim) {
        aShard.addedLatencies->push_back(aShard.durableAt + entry.hop - entry.asked);
      }
    }
    aShard.pendingEntries.clear();
  }

  Random random;
  std::vector<Shard> shards = std::vector<Shard>(kShards);
};

ReplayResult LogPerShard(const Load& aLoad)
{
  SegmentedLog log(aLoad.seed + 1);
  return Replay(
    aLoad,
    log.store,
    [&log](Duration aAt, bool aIsClaim, std::vector<Duration>& aAddedLatencies) {
      log.Append(aAt, aIsClaim, aAddedLatencies);
    },
    [&log] { log.Finish(); });
}

void CompareStorage()
{
  std::printf("\n## One create per claim against a segmented log\n\n");
  std::printf("Store: 3 ms per write, %d writes/s; log: %zu shards, 1.5 ms per hop. "
              "Virtual time, 20 s per row.\n\n",
              VirtualTimeStore::kWritesPerSecond,
              kShards);
  std::printf("| keyed calls/s | seed | create: writes/s | mean ms | p99 ms | last ms "
              "| log: writes/s | mean ms | p99 ms | last ms |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
  const auto print = [](const ReplayResult& aOutcome) {
    std::printf(" %.0f | %.1f | %.1f | %.1f |",
                aOutcome.writesPerSecond,
                1e3 * ToSeconds(aOutcome.mean),
                1e3 * ToSeconds(aOutcome.p99),
                1e3 * ToSeconds(aOutcome.lastClaim));
  };
  for (const double rate : { 10.0, 50.0, 100.0, 150.0, 190.0, 250.0, 1000.0, 5000.0 }) {
    for (const std::uint64_t seed : { 1, 2 }) {
      const Load load{ rate, 20s, seed };
      std::printf("| %.0f | %llu |", rate, static_cast<unsigned long long>(seed));
      print(CreatePerClaim(load));
      print(LogPerShard(load));
      std::printf("\n");
    }
  }
}

} // namespace

int main()
{
  MeasureDecisions();
  MeasureRecords();
  MeasureStoreCalls();
  CompareStorage();
  return checksum == 0 ? 1 : 0;
}
