// Stand-ins for the users' platform: its store, engines of a plain service, callers, and
// the entry VM's program as a separate process. Loopback addresses only.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void SleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Lines of record.txt.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", Now());
    this->file << time << aText << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

/// Ends the case: it could not run.
[[noreturn]] inline void CannotRun(const std::string& aWhy)
{
  std::fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  std::exit(2);
}

// --- sockets -----------------------------------------------------------------------

inline sockaddr_in AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& aIp, int aPort, int& aBound)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = AddressOf(aIp, aPort);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aBound = ntohs(address.sin_port);
  return fd;
}

/// A port that was free a moment ago, below those that the kernel gives to connections.
inline int FreePort()
{
  constexpr int kFirst = 15000;
  constexpr int kCount = 17000;
  static int next = static_cast<int>(::getpid()) % 10000 * 37;
  for (int tries = 0; tries < kCount; ++tries) {
    int port = 0;
    const int fd = Listen("127.0.0.1", kFirst + ++next % kCount, port);
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
  }
  CannotRun("no free port");
}

/// Connects from a loopback address. @returns -1 if that fails
inline int Connect(int aPort, int aTimeoutMs, const std::string& aFrom = "127.0.0.1")
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  auto own = AddressOf(aFrom, 0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof(own));
  auto address = AddressOf("127.0.0.1", aPort);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&wait, 1, aTimeoutMs) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      ::send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// True once the peer has closed or reset the connection.
inline bool IsClosed(int aFd)
{
  char byte = 0;
  const auto count = ::recv(aFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// --- HTTP --------------------------------------------------------------------------

struct Message
{
  std::string first;
  std::map<std::string, std::string> headers; // names in lower case
  std::string body;
  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto found = this->headers.find(aName);
    return found == this->headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string Method() const
  {
    return this->first.substr(0, this->first.find(' '));
  }
  [[nodiscard]] std::string Target() const
  {
    const auto begin = this->first.find(' ') + 1;
    return this->first.substr(begin, this->first.find(' ', begin) - begin);
  }
  [[nodiscard]] int Status() const
  {
    return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
  }
};

/// Reads messages of one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd(aFd)
  {
  }
  /// @returns nothing if the connection ends or the time is up before a whole message
  std::optional<Message> Read(int aTimeoutMs)
  {
    const auto due = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
    std::size_t headEnd = 0;
    while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More(due)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(this->buffer.substr(0, headEnd));
    std::getline(head, message.first);
    for (std::string line; std::getline(head, line);) {
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
        return static_cast<char>(std::tolower(aCharacter));
      });
      auto value = line.substr(colon + 1);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
        value.pop_back();
      }
      message.headers[name] = value.substr(std::min(value.find_first_not_of(' '),
                                                    value.size()));
    }
    this->buffer.erase(0, headEnd + 4);
    const auto length =
      static_cast<std::size_t>(std::atoll(message.Header("content-length").c_str()));
    while (this->buffer.size() < length) {
      if (!this->More(due)) {
        return std::nullopt;
      }
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return message;
  }

  /// Takes the bytes that were read beyond the last message.
  std::string Rest() { return std::exchange(this->buffer, {}); }

private:
  bool More(Clock::time_point aDue)
  {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aDue - Clock::now()).count();
    pollfd wait{ this->fd, POLLIN, 0 };
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[16384];
    const auto count = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int fd;
  std::string buffer;
};

inline std::string Answer(int aStatus,
                          const std::string& aBody,
                          const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" + aBody;
}

/// A server with a thread for each connection.
class HttpServer
{
public:
  using Handler = std::function<void(int aFd, const Message& aRequest)>;

  explicit HttpServer(Handler aHandler)
    : handler(std::move(aHandler))
  {
    this->listener = Listen("127.0.0.1", 0, this->port);
    if (this->listener < 0) {
      CannotRun("stand-in cannot listen");
    }
    std::thread([this] { this->Accept(); }).detach();
  }
  [[nodiscard]] int Port() const { return this->port; }

  /// What others see of a machine that has no power: connections stay open, and nothing
  /// comes on them. Ended by Crash().
  void GoDark() { this->isDark = true; }

  /// What the kernel does when the process of a server is killed: nothing listens any
  /// more, and the connections are reset.
  void Crash()
  {
    const std::lock_guard lock(this->mutex);
    this->hasCrashed = true;
    ::shutdown(this->listener, SHUT_RDWR);
    for (const int fd : this->connections) {
      const linger reset{ 1, 0 };
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      // Its thread wakes and closes it.
      ::shutdown(fd, SHUT_RD);
    }
  }

private:
  void Accept()
  {
    while (!this->hasCrashed) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(1);
        continue;
      }
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::lock_guard lock(this->mutex);
        this->connections.insert(fd);
      }
      std::thread([this, fd] {
        Reader reader(fd);
        while (auto request = reader.Read(60'000)) {
          if (!this->isDark) {
            this->handler(fd, *request);
          }
        }
        const std::lock_guard lock(this->mutex);
        this->connections.erase(fd);
        ::close(fd);
      }).detach();
    }
    ::close(this->listener);
  }

  Handler handler;
  int listener = -1;
  int port = 0;
  std::mutex mutex;
  std::set<int> connections;
  std::atomic<bool> hasCrashed = false;
  std::atomic<bool> isDark = false;
};

// --- the platform's store ----------------------------------------------------------

inline std::string ToBase64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < aBytes.size(); index += 3) {
    std::uint32_t group = 0;
    for (std::size_t part = 0; part < 3; ++part) {
      const auto at = index + part;
      group = group << 8U | (at < aBytes.size() ? static_cast<unsigned char>(aBytes[at]) : 0U);
    }
    for (int digit = 0; digit < 4; ++digit) {
      const bool pads = index + static_cast<std::size_t>(digit) > aBytes.size();
      text += pads ? '=' : kDigits[group >> (18 - 6 * digit) & 63U];
    }
  }
  return text;
}

inline std::string UrlDecode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      decoded += static_cast<char>(std::stoi(aText.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

class Store
{
public:
  Store()
    : server([this](int aFd, const Message& aRequest) {
      SendAll(aFd, this->Handle(aRequest));
    })
  {
    std::thread([this] {
      while (true) {
        SleepMs(50);
        this->EndLeases();
      }
    }).detach();
  }
  [[nodiscard]] int Port() const { return this->server.Port(); }

  /// What engines and the operator write.
  void Put(const std::string& aKey, const json& aValue)
  {
    const std::lock_guard lock(this->mutex);
    this->Write(aKey, ToBase64(aValue.dump()), 0);
    this->changed.notify_all();
  }
  void Delete(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    this->Erase(aKey);
    this->changed.notify_all();
  }

private:
  struct Item
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease
  {
    std::int64_t ttl = 0;
    Clock::time_point until;
  };

  void Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
  {
    auto& item = this->items[aKey];
    item.value = aValue;
    item.revision = this->revision + 1;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = aLease;
    ++this->revision;
    this->events.push_back({ aKey, Describe(aKey, item) });
  }
  void Erase(const std::string& aKey)
  {
    if (this->items.erase(aKey) > 0) {
      ++this->revision;
      this->events.push_back(
        { aKey, { { "Key", aKey }, { "Revision", this->revision }, { "Deleted", true } } });
    }
  }
  static json Describe(const std::string& aKey, const Item& aItem)
  {
    return { { "Key", aKey },
             { "Value", aItem.value },
             { "Revision", aItem.revision },
             { "Created", aItem.created },
             { "Lease", aItem.lease } };
  }
  void EndLeases()
  {
    const std::lock_guard lock(this->mutex);
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      if (lease->second.until > Clock::now()) {
        ++lease;
        continue;
      }
      this->EraseOf(lease->first);
      lease = this->leases.erase(lease);
    }
  }
  void EraseOf(std::int64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      this->Erase(key);
    }
    this->changed.notify_all();
  }

  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> fields;
    std::istringstream text(aTarget.substr(std::min(aTarget.find('?'), aTarget.size() - 1) + 1));
    for (std::string part; std::getline(text, part, '&');) {
      const auto equals = part.find('=');
      if (equals != std::string::npos) {
        fields[part.substr(0, equals)] = UrlDecode(part.substr(equals + 1));
      }
    }
    return fields;
  }
  static std::string Json(int aStatus, const json& aBody)
  {
    return Answer(aStatus, aBody.dump(), "Content-Type: application/json\r\n");
  }

  std::string Handle(const Message& aRequest)
  {
    SleepMs(2);
    const auto target = aRequest.Target();
    const auto path = target.substr(0, target.find('?'));
    auto query = Query(target);
    std::unique_lock lock(this->mutex);
    if (path == "/kv-key") {
      const auto found = this->items.find(query["Key"]);
      if (found == this->items.end()) {
        return Json(404, { { "At", this->revision } });
      }
      auto body = Describe(found->first, found->second);
      body["At"] = this->revision;
      return Json(200, body);
    }
    if (path == "/kv-range") {
      json list = json::array();
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(query["PathPrefix"]) && key > query["After"]) {
          list.push_back(Describe(key, item));
        }
      }
      return Json(200, { { "Items", list }, { "HasMore", false }, { "At", this->revision } });
    }
    if (path == "/kv-watch") {
      const auto after = std::atoll(query["After"].c_str());
      const auto due =
        Clock::now() + std::chrono::milliseconds(std::atoll(query["WaitMs"].c_str()));
      json list = json::array();
      while (true) {
        for (const auto& [key, event] : this->events) {
          if (event["Revision"].get<std::int64_t>() > after &&
              key.starts_with(query["PathPrefix"])) {
            list.push_back(event);
          }
        }
        if (!list.empty() || this->changed.wait_until(lock, due) == std::cv_status::timeout) {
          break;
        }
      }
      return Json(200, { { "events", list }, { "At", this->revision } });
    }
    if (path == "/kv-txn") {
      return this->Transaction(json::parse(aRequest.body));
    }
    if (path == "/kv-lease") {
      const auto ttl = json::parse(aRequest.body)["TtlMs"].get<std::int64_t>();
      const auto id = ++this->lastLease;
      this->leases[id] = { ttl, Clock::now() + std::chrono::milliseconds(ttl) };
      return Json(200, { { "Lease", id }, { "TtlMs", ttl } });
    }
    const auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end()) {
      return Json(404, json::object());
    }
    if (path.starts_with("/kv-keep/")) {
      lease->second.until = Clock::now() + std::chrono::milliseconds(lease->second.ttl);
      return Json(200, { { "TtlMs", lease->second.ttl } });
    }
    this->leases.erase(lease);
    this->EraseOf(id);
    return Json(200, json::object());
  }

  std::string Transaction(const json& aBody)
  {
    json present = json::array();
    bool holds = true;
    for (const auto& row : aBody.value("Expected", json::array())) {
      const auto key = row["Key"].get<std::string>();
      const auto found = this->items.find(key);
      const auto revision = found == this->items.end() ? 0 : found->second.revision;
      holds = holds && revision == row["Revision"].get<std::int64_t>();
      if (found != this->items.end()) {
        present.push_back(Describe(key, found->second));
      }
    }
    if (!holds) {
      return Json(412, { { "Items", present } });
    }
    for (const auto& write : aBody.value("Writes", json::array())) {
      const auto lease = write.value("Lease", std::int64_t{ 0 });
      if (lease != 0 && !this->leases.contains(lease)) {
        return Json(404, json::object());
      }
    }
    for (const auto& write : aBody.value("Writes", json::array())) {
      this->Write(write["Key"], write["Value"], write.value("Lease", std::int64_t{ 0 }));
    }
    for (const auto& key : aBody.value("Deletes", json::array())) {
      this->Erase(key);
    }
    this->changed.notify_all();
    return Json(200, { { "Revision", this->revision } });
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<std::pair<std::string, json>> events;
  std::map<std::int64_t, Lease> leases;
  std::int64_t lastLease = 1000;
  std::int64_t revision = 100;
  HttpServer server;
};

// --- engines of a plain service ----------------------------------------------------

/// Registers itself and serves requests as its handler says. Answers health checks and
/// requests for another engine by itself.
class Engine
{
public:
  Engine(Store& aStore,
         std::string aId,
         std::string aService,
         HttpServer::Handler aHandler)
    : store(aStore)
    , id(std::move(aId))
    , service(std::move(aService))
    , handler(std::move(aHandler))
    , server([this](int aFd, const Message& aRequest) { this->Handle(aFd, aRequest); })
    , born(UnixMs())
  {
    this->Beat();
    std::thread([this] {
      while (!this->hasCrashed) {
        SleepMs(1200);
        if (!this->hasCrashed) {
          this->Beat();
        }
      }
      // The registration expires after three heartbeat intervals of silence.
      SleepMs(2400);
      this->store.Delete("servers/" + this->id);
    }).detach();
  }
  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] bool HasCrashed() const { return this->hasCrashed; }
  void Crash()
  {
    this->hasCrashed = true;
    this->server.Crash();
  }
  /// Sends nothing any more, until Crash().
  void GoDark()
  {
    this->hasCrashed = true;
    this->server.GoDark();
  }

  static std::string Success(const Message& aRequest, const std::string& aBody)
  {
    return Answer(200,
                  aBody,
                  "X-Attempt-Id: " + aRequest.Header("x-attempt-id") +
                    "\r\nX-Engine-Stamp: stamp-" + aRequest.Header("x-attempt-id") +
                    "\r\n");
  }

private:
  void Beat()
  {
    this->store.Put("servers/" + this->id,
                    { { "Service", this->service },
                      { "Address", "127.0.0.1:" + std::to_string(this->server.Port()) },
                      { "Zone", "zone-a" },
                      { "Version", "v1" },
                      { "Slots", 26 },
                      { "State", "ready" },
                      { "ColdRemainingMs", 0 },
                      { "born", this->born },
                      { "Seq", ++this->sequence } });
  }
  void Handle(int aFd, const Message& aRequest)
  {
    const auto expected = aRequest.Header("x-expect-instance");
    if (!expected.empty() && expected != this->id) {
      SendAll(aFd, Answer(421, "", "X-Instance-Id: " + this->id + "\r\n"));
    } else if (aRequest.Header("x-attempt-id").empty()) {
      SendAll(aFd, Answer(200, "{}", "X-Instance-Id: " + this->id + "\r\n"));
    } else {
      this->handler(aFd, aRequest);
    }
  }

  Store& store;
  std::string id;
  std::string service;
  HttpServer::Handler handler;
  HttpServer server;
  std::int64_t born;
  std::atomic<std::int64_t> sequence = 0;
  std::atomic<bool> hasCrashed = false;
};

// --- configuration -----------------------------------------------------------------

constexpr const char* kHost = "shop.example";
constexpr const char* kKey = "key-of-tenant-a";

inline json Route(const std::string& aName,
                  const std::string& aPrefix,
                  const std::string& aService,
                  const std::string& aKind,
                  int aTimeoutMs,
                  int aMaxAttempts)
{
  return { { "Name", aName },           { "Host", kHost },
           { "PathPrefix", aPrefix },   { "Kind", aKind },
           { "TimeoutMs", aTimeoutMs }, { "TargetLatencyMs", 300 },
           { "Priority", 1 },           { "Service", aService },
           { "MaxAttempts", aMaxAttempts }, { "Public", false } };
}

inline json Configuration(json aRoutes, const std::string& aService)
{
  return { { "Version", 7 },
           { "Routes", std::move(aRoutes) },
           { "Services",
             { { { "Name", aService },
                 { "HealthPath", "/healthz" },
                 { "MaxConnections", 464 },
                 { "Protocol", "h1" },
                 { "Tls", false } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 4194304 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } },
           { "Tenants",
             { { { "Name", "tenant-a" },
                 { "ApiKeys", { kKey } },
                 { "Priority", 1 } } } } };
}

// --- the entry VM's program ----------------------------------------------------------

/// Runs the command of the deploy file with the settings that the deploy file's template
/// gives a small deployment.
class EntryVm
{
public:
  EntryVm(const std::string& aName, const std::string& aFolder, int aStorePort)
  {
    this->front = FreePort();
    this->ready = FreePort();
    this->operators = FreePort();
    const json settings = { { "id", aName },
                            { "zone", "zone-a" },
                            { "listen", Local(this->front) },
                            { "readiness", Local(this->ready) },
                            { "peers", Local(FreePort()) },
                            { "operator", Local(this->operators) },
                            { "store", Local(aStorePort) },
                            { "cpu_share", 0.25 },
                            { "memory_mb", 260 },
                            { "stop_period_s", 8 },
                            { "retry_share", 0.2 },
                            { "retry_slack", 130 },
                            { "retry_window_s", 10 },
                            { "head_stall_ms", 5000 } };
    const auto path = aFolder + "/" + aName + ".json";
    std::ofstream(path) << settings.dump(2) << "\n";
    const auto log = aFolder + "/" + aName + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      // MaxFds of the small machines.
      const rlimit descriptors{ 4200, 4200 };
      ::setrlimit(RLIMIT_NOFILE, &descriptors);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      const auto setting = "--config=" + path;
      ::execl("target/bin/toucanstand-server",
              "target/bin/toucanstand-server",
              setting.c_str(),
              nullptr);
      ::_exit(127);
    }
  }
  ~EntryVm() { this->Kill(); }
  EntryVm(const EntryVm&) = delete;
  EntryVm& operator=(const EntryVm&) = delete;

  void Kill()
  {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  void Signal(int aSignal) const { ::kill(this->pid, aSignal); }
  [[nodiscard]] bool IsRunning() const
  {
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == 0;
  }
  [[nodiscard]] int Port() const { return this->front; }
  [[nodiscard]] int OperatorPort() const { return this->operators; }

  [[nodiscard]] bool IsReady() const
  {
    const int fd = Connect(this->ready, 1000);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    const auto answer = Reader(fd).Read(1000);
    ::close(fd);
    return answer && answer->Status() == 200;
  }
  void AwaitReady() const
  {
    for (int count = 0; count < 200; ++count) {
      if (this->IsReady()) {
        return;
      }
      SleepMs(100);
    }
    CannotRun("the entry VM did not become ready");
  }

private:
  static std::string Local(int aPort) { return "127.0.0.1:" + std::to_string(aPort); }

  pid_t pid = -1;
  int front = 0;
  int ready = 0;
  int operators = 0;
};

// --- callers -----------------------------------------------------------------------

inline std::string NewId()
{
  static std::atomic<unsigned> last = 0;
  char text[32];
  std::snprintf(text, sizeof(text), "a%07x%08x", static_cast<unsigned>(::getpid()) & 0xfffffffU, ++last);
  return text;
}

inline std::string Request(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aId,
                           int aDeadlineMs,
                           const std::string& aBody = "")
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Attempt-Id: " + aId + "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n" +
         (aBody.empty() ? std::string()
                        : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

inline bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace standin
