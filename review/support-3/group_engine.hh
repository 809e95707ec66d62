// Stand-in for engines that serve a model in groups.
#pragma once

#include "standin.hh"

namespace standin {

constexpr double kStallSeconds = 5.0;
constexpr int kPrefillMs = 60;
constexpr int kEvents = 12;
constexpr int kEventMs = 40;
constexpr int kStageMs = 600;
constexpr int kWarmMs = 300;
constexpr int kFormMs = 200;

class GroupEngine;

/// Which engines live, for the heads of groups.
class Fabric
{
public:
  void Add(const std::string& aId, GroupEngine* aEngine)
  {
    const std::lock_guard lock(this->mutex);
    this->engines[aId] = aEngine;
  }
  /// Whether the engine lives and is a member of the group.
  bool IsMember(const std::string& aId, const std::string& aGroup, std::int64_t aEpoch);

private:
  std::mutex mutex;
  std::map<std::string, GroupEngine*> engines;
};

class GroupEngine
{
public:
  /// Called before a request is served. @returns true if the engine crashes of it
  using CrashTest = std::function<bool(GroupEngine&, const Message&)>;

  GroupEngine(Store& aStore,
              Fabric& aFabric,
              std::string aId,
              std::string aService,
              std::string aDomain,
              CrashTest aCrashesOf)
    : store(aStore)
    , fabric(aFabric)
    , id(std::move(aId))
    , service(std::move(aService))
    , domain(std::move(aDomain))
    , crashesOf(std::move(aCrashesOf))
    , born(UnixMs())
    , server([this](int aFd, const Message& aRequest) { this->Handle(aFd, aRequest); })
  {
    this->fabric.Add(this->id, this);
    this->Beat();
    std::thread([this] {
      while (!this->hasCrashed) {
        SleepMs(1200);
        if (!this->hasCrashed) {
          this->Beat();
        }
      }
      SleepMs(2400);
      this->store.Delete("servers/" + this->id);
    }).detach();
    std::thread([this] {
      while (!this->hasCrashed) {
        SleepMs(50);
        this->CheckMembers();
      }
    }).detach();
  }

  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] bool HasCrashed() const { return this->hasCrashed; }
  void Crash()
  {
    this->hasCrashed = true;
    this->server.Crash();
  }
  [[nodiscard]] bool IsOpen()
  {
    const std::lock_guard lock(this->mutex);
    return !this->hasCrashed && this->state == "open";
  }
  bool IsMember(const std::string& aGroup, std::int64_t aEpoch)
  {
    const std::lock_guard lock(this->mutex);
    return !this->hasCrashed && this->group == aGroup && this->epoch == aEpoch &&
           this->state != "joining";
  }

private:
  void Beat()
  {
    const std::lock_guard lock(this->mutex);
    this->Publish();
  }
  /// With the mutex held.
  void Publish()
  {
    if (this->hasCrashed) {
      return;
    }
    json entry = { { "Service", this->service },
                   { "Address", "127.0.0.1:" + std::to_string(this->server.Port()) },
                   { "Zone", "zone-a" },
                   { "Version", "v1" },
                   { "Slots", 26 },
                   { "State", "ready" },
                   { "ColdRemainingMs", 0 },
                   { "Stage", "both" },
                   { "Domain", this->domain },
                   { "Staged", this->staged },
                   { "born", this->born },
                   { "Seq", ++this->sequence } };
    if (!this->group.empty()) {
      entry["group"] = { { "Name", this->group },
                         { "epoch", this->epoch },
                         { "rank", this->rank },
                         { "State", this->state } };
    }
    this->store.Put("servers/" + this->id, entry);
  }
  /// Changes the state after a time, if the membership is still the same.
  void Later(int aMs, const std::string& aState)
  {
    const auto number = this->change;
    std::thread([this, aMs, aState, number] {
      SleepMs(aMs);
      const std::lock_guard lock(this->mutex);
      if (this->change == number && !this->hasCrashed) {
        this->state = aState;
        this->Publish();
      }
    }).detach();
  }
  /// A head whose group has lost a member stands still, and is broken after StallMs.
  void CheckMembers()
  {
    std::vector<std::string> others;
    std::string name;
    std::int64_t number = 0;
    {
      const std::lock_guard lock(this->mutex);
      if (this->rank != 0 || (this->state != "open" && this->state != "closing")) {
        this->stillSince = -1;
        return;
      }
      others = this->members;
      name = this->group;
      number = this->epoch;
    }
    const bool isWhole = std::ranges::all_of(others, [&](const std::string& aMember) {
      return aMember == this->id || this->fabric.IsMember(aMember, name, number);
    });
    if (isWhole) {
      return;
    }
    if (this->stillSince < 0) {
      this->stillSince = Now();
    } else if (Now() - this->stillSince > kStallSeconds) {
      const std::lock_guard lock(this->mutex);
      if (this->group == name && this->epoch == number) {
        ++this->change;
        this->state = "broken";
        this->Publish();
      }
    }
  }

  void Handle(int aFd, const Message& aRequest)
  {
    const auto expected = aRequest.Header("x-expect-instance");
    if (!expected.empty() && expected != this->id) {
      SendAll(aFd, Answer(421, "", "X-Instance-Id: " + this->id + "\r\n"));
      return;
    }
    if (aRequest.Target() == "/order") {
      SendAll(aFd, Answer(this->Order(json::parse(aRequest.body)), "{}"));
      return;
    }
    if (aRequest.Header("x-attempt-id").empty()) {
      const std::lock_guard lock(this->mutex);
      const json report = { { "Stage", "both" }, { "Busy", false },  { "Seq", this->orders },
                            { "Queued", 0 },     { "Running", 0 },   { "KvUsed", 0 },
                            { "KvTotal", 100000 }, { "Handles", 0 }, { "pace", 1.0 },
                            { "born", this->born } };
      SendAll(aFd, Answer(200, report.dump(), "X-Instance-Id: " + this->id + "\r\n"));
      return;
    }
    this->Serve(aFd, aRequest);
  }

  int Order(const json& aOrder)
  {
    const std::lock_guard lock(this->mutex);
    const auto fence = aOrder.value("Fence", std::int64_t{ 0 });
    if (fence < this->fence) {
      return 412;
    }
    this->fence = fence;
    const auto operation = aOrder["Op"].get<std::string>();
    if (operation == "Stage") {
      const auto model = aOrder["Model"].get<std::string>();
      if (this->staged == std::vector<std::string>{ model }) {
        return 200;
      }
      ++this->orders;
      std::thread([this, model] {
        SleepMs(kStageMs);
        const std::lock_guard inner(this->mutex);
        this->staged = { model };
        this->Publish();
      }).detach();
      return 202;
    }
    const auto name = aOrder["group"].get<std::string>();
    const auto number = aOrder["epoch"].get<std::int64_t>();
    if (operation == "join") {
      if (number < this->epochSeen) {
        return 412;
      }
      if (this->group == name && this->epoch == number) {
        return 200;
      }
      this->epochSeen = number;
      this->group = name;
      this->epoch = number;
      this->members = aOrder["Members"].get<std::vector<std::string>>();
      this->rank = std::ranges::find(this->members, this->id) - this->members.begin();
      this->state = "joining";
      ++this->change;
      ++this->orders;
      const auto model = aOrder["Model"].get<std::string>();
      const bool isStaged = this->staged == std::vector<std::string>{ model };
      this->staged = { model };
      this->Later(isStaged ? kWarmMs : kWarmMs + kStageMs, "ready");
      this->Publish();
      return 202;
    }
    if (this->group != name || this->epoch != number) {
      return 409;
    }
    if (operation == "leave") {
      this->group.clear();
      this->state.clear();
      ++this->change;
      ++this->orders;
      this->Publish();
      return 202;
    }
    if (operation == "open") {
      if (this->state == "open") {
        return 200;
      }
      if (this->state != "ready" || this->rank != 0) {
        return 409;
      }
      ++this->orders;
      this->Later(kFormMs, "open");
      return 202;
    }
    if (operation == "close") {
      if (this->state == "ready") {
        return 200;
      }
      if (this->state != "open") {
        return 409;
      }
      ++this->orders;
      ++this->change;
      this->state = "closing";
      this->Later(kEvents * kEventMs * 2, "ready");
      this->Publish();
      return 202;
    }
    return 400;
  }

  void Serve(int aFd, const Message& aRequest)
  {
    {
      const std::lock_guard lock(this->mutex);
      if (this->group.empty() || this->rank != 0) {
        SendAll(aFd, Answer(421, "", "At-Server: " + this->id + "\r\n"));
        return;
      }
      if (this->state != "open") {
        SendAll(aFd,
                Answer(503, "", "X-Not-Run: 1\r\nAt-Server: " + this->id + "\r\n"));
        return;
      }
    }
    const auto attempt = aRequest.Header("x-attempt-id");
    SleepMs(kPrefillMs);
    if (this->crashesOf(*this, aRequest)) {
      return;
    }
    const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\nX-Engine-Stamp: stamp\r\n"
                      "X-Weight-Versions: 1\r\nX-Attempt-Id: " + attempt + "\r\n\r\n";
    if (!SendAll(aFd, head)) {
      return;
    }
    for (int event = 1; event <= kEvents; ++event) {
      SleepMs(kEventMs);
      while (this->stillSince >= 0 && !this->hasCrashed && this->IsOpen()) {
        SleepMs(50);
      }
      if (this->hasCrashed || !this->IsOpenOrClosing()) {
        ::shutdown(aFd, SHUT_RDWR);
        return;
      }
      const auto text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!SendAll(aFd, size + text + "\r\n")) {
        return;
      }
    }
    SendAll(aFd, "0\r\n\r\n");
  }
  bool IsOpenOrClosing()
  {
    const std::lock_guard lock(this->mutex);
    return this->state == "open" || this->state == "closing" || this->state == "ready";
  }

  Store& store;
  Fabric& fabric;
  std::string id;
  std::string service;
  std::string domain;
  CrashTest crashesOf;
  std::int64_t born;
  std::mutex mutex;
  std::string group;
  std::string state;
  std::int64_t epoch = 0;
  std::int64_t rank = 0;
  std::vector<std::string> members;
  std::vector<std::string> staged;
  std::int64_t epochSeen = 0;
  std::int64_t fence = 0;
  std::int64_t orders = 0;
  std::int64_t sequence = 0;
  std::uint64_t change = 0;
  std::atomic<double> stillSince = -1;
  std::atomic<bool> hasCrashed = false;
  HttpServer server;
};

inline bool Fabric::IsMember(const std::string& aId,
                             const std::string& aGroup,
                             std::int64_t aEpoch)
{
  GroupEngine* engine = nullptr;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->engines.find(aId);
    engine = found == this->engines.end() ? nullptr : found->second;
  }
  return engine != nullptr && engine->IsMember(aGroup, aEpoch);
}

/// Adds the terms of a model of groups of two to the only service of a configuration.
inline json WithModel(json aConfiguration, const std::string& aModel)
{
  aConfiguration["Services"][0]["Engine"] = {
    { "Slots", 26 },
    { "KvCapacity", 1400000 },
    { "Stride", 5 },
    { "Models",
      { { { "Name", aModel },
          { "size", 2 },
          { "Share", 1.0 },
          { "pace", 1.0 },
          { "LoadS", 1.0 },
          { "WarmS", 0.3 } } } },
    { "step_ms", 6.07 },
    { "per_seq_ms", 0.241 },
    { "context_per_k", 0.00488 },
    { "read_per_s", 46000.0 },
    { "pairs_per_m", 0.7 },
    { "chunk", 2048 },
    { "report_lag_ms", 200.0 },
    { "LoadsPerS", 20.0 },
    { "loads_at_once", 12 },
    { "usual", { { "prompt", 1076 }, { "answer", 60 } } },
    { "CachedPrefixes", 1 },
    { "far_x", 3.0 },
    { "FormMs", kFormMs }
  };
  return aConfiguration;
}

inline json StreamRoute(const std::string& aName,
                        const std::string& aPrefix,
                        const std::string& aService,
                        bool aCanResume)
{
  auto route = Route(aName, aPrefix, aService, "streaming", 6000, 2);
  route["Sticky"] = true;
  route["CanResume"] = aCanResume;
  route["GapTargetMs"] = 200;
  return route;
}

} // namespace standin
