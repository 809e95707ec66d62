// Stand-ins of the platform for the cases of the second review: the store, engines that form
// groups, and callers. Blocking sockets, a thread for each connection, loopback only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kBegin = Clock::now();

inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

/// The file record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { this->file.open(aPath); }
  void Line(const char* aFormat, ...)
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    const std::scoped_lock lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", Now());
    this->file << time << text << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

#define RECORD(...) review::Record::Get().Line(__VA_ARGS__)

inline std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return aText;
}

struct Message
{
  std::string first; // request line or status line
  std::map<std::string, std::string> headers;
  std::string body;
  bool isWhole = false;
  std::string Header(const std::string& aName) const
  {
    const auto found = this->headers.find(aName);
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Method() const { return this->first.substr(0, this->first.find(' ')); }
  std::string Target() const
  {
    const auto from = this->first.find(' ') + 1;
    return this->first.substr(from, this->first.find(' ', from) - from);
  }
  int Status() const
  {
    return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
  }
};

/// One connection with its read buffer.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket(aSocket)
  {
    int one = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (this->socket >= 0) {
      ::close(this->socket);
    }
    this->socket = -1;
  }
  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count =
        ::send(this->socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads more bytes. Returns false at the end, on an error, or when the time is up.
  bool Fill(int aTimeoutMs)
  {
    pollfd waiting{ this->socket, POLLIN, 0 };
    if (::poll(&waiting, 1, aTimeoutMs) <= 0) {
      return false;
    }
    char bytes[8192];
    const auto count = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool PeerHasClosed()
  {
    char byte = 0;
    const auto count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Reads one message with a length, with chunks, or (answers) up to the end.
  std::optional<Message> Read(int aTimeoutMs, bool aIsAnswer)
  {
    const auto due = Clock::now() + milliseconds(aTimeoutMs);
    const auto left = [&] {
      return std::max<int>(
        0,
        static_cast<int>(
          std::chrono::duration_cast<milliseconds>(due - Clock::now()).count()));
    };
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(left())) {
        return std::nullopt;
      }
    }
    Message message;
    std::string head = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    message.first = head.substr(0, line);
    while (line != std::string::npos) {
      const auto from = line + 2;
      line = head.find("\r\n", from);
      const auto text = head.substr(from, line == std::string::npos ? line : line - from);
      const auto colon = text.find(':');
      if (colon != std::string::npos) {
        auto value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[Lower(text.substr(0, colon))] = value;
      }
    }
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t eol = 0;
        while ((eol = this->buffer.find("\r\n")) == std::string::npos) {
          if (!this->Fill(left())) {
            return message;
          }
        }
        const auto size = std::strtoul(this->buffer.c_str(), nullptr, 16);
        while (this->buffer.size() < eol + 2 + size + 2) {
          if (!this->Fill(left())) {
            return message;
          }
        }
        message.body += this->buffer.substr(eol + 2, size);
        this->buffer.erase(0, eol + 2 + size + 2);
        if (size == 0) {
          message.isWhole = true;
          return message;
        }
      }
    }
    if (message.headers.contains("content-length")) {
      const auto size = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
      while (this->buffer.size() < size) {
        if (!this->Fill(left())) {
          return message;
        }
      }
      message.body = this->buffer.substr(0, size);
      this->buffer.erase(0, size);
    } else if (aIsAnswer) {
      while (this->Fill(left())) {
      }
      message.body = std::exchange(this->buffer, {});
    }
    message.isWhole = true;
    return message;
  }

  int socket;

private:
  std::string buffer;
};

inline sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int BoundSocket(int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto address = Loopback(aPort);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

inline int PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A free port, which stays reserved while the program runs but can be bound by another
/// process that sets SO_REUSEADDR.
inline int FreePort()
{
  static std::vector<int> reserved;
  reserved.push_back(BoundSocket(0));
  return PortOf(reserved.back());
}

inline std::unique_ptr<Connection> Connect(int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(aPort);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<Connection>(socket);
}

inline std::string Answer(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " S\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// What a listener does with connections beyond its limit.
enum class Beyond
{
  /// There is no listener meanwhile, so that the kernel resets them.
  NoListener,
  /// They are accepted and reset.
  Reset,
};

/// Listens on a loopback port; a thread for each connection.
class Listener
{
public:
  /// Handles one request; returns false to close the connection.
  using Handler = std::function<bool(Connection&, const Message&)>;
  /// Asked often; while it returns true, further connections are reset.
  std::function<bool()> isLimited;
  Beyond beyond = Beyond::NoListener;

  explicit Listener(Handler aHandler)
    : handler(std::move(aHandler))
    , port(FreePort())
  {
  }
  int Port() const { return this->port; }
  void Start()
  {
    std::thread([this] { this->Run(); }).detach();
  }

private:
  void Run()
  {
    int listening = -1;
    while (true) {
      const bool limited = this->isLimited && this->isLimited();
      const bool mustClose = limited && this->beyond == Beyond::NoListener;
      if (mustClose && listening >= 0) {
        ::close(listening);
        listening = -1;
      }
      if (!mustClose && listening < 0) {
        listening = BoundSocket(this->port);
        if (listening >= 0 && ::listen(listening, 512) != 0) {
          ::close(listening);
          listening = -1;
        }
      }
      if (listening < 0) {
        Sleep(2);
        continue;
      }
      pollfd waiting{ listening, POLLIN, 0 };
      if (::poll(&waiting, 1, 2) <= 0) {
        continue;
      }
      const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      if (limited) {
        const linger reset{ 1, 0 };
        ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(accepted);
        continue;
      }
      std::thread([this, accepted] {
        Connection connection(accepted);
        while (const auto request = connection.Read(60'000, false)) {
          if (!request->isWhole || !this->handler(connection, *request)) {
            break;
          }
        }
      }).detach();
    }
  }

  Handler handler;
  int port;
};

inline std::string Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8U |
              (at + index < aBytes.size() ? static_cast<unsigned char>(aBytes[at + index])
                                          : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool isPadding = at + index > aBytes.size();
      text += isPadding ? '=' : kDigits[group >> (18U - 6U * index) & 63U];
    }
  }
  return text;
}

inline std::string Unbase64(const std::string& aText)
{
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char digit : aText) {
    int value = -1;
    if (digit >= 'A' && digit <= 'Z') {
      value = digit - 'A';
    } else if (digit >= 'a' && digit <= 'z') {
      value = digit - 'a' + 26;
    } else if (digit >= '0' && digit <= '9') {
      value = digit - '0' + 52;
    } else if (digit == '+' || digit == '/') {
      value = digit == '+' ? 62 : 63;
    }
    if (value < 0) {
      break;
    }
    group = group << 6U | static_cast<unsigned>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

/// The platform's store.
class Store
{
public:
  Store()
    : listener([this](Connection& aConnection, const Message& aRequest) {
      return this->Handle(aConnection, aRequest);
    })
  {
    this->listener.Start();
    std::thread([this] {
      while (true) {
        Sleep(20);
        this->ExpireLeases();
      }
    }).detach();
  }
  int Port() const { return this->listener.Port(); }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::scoped_lock lock(this->mutex);
    ++this->revision;
    this->Write(aKey, aValue, 0);
    this->changed.notify_all();
  }
  void Delete(const std::string& aKey)
  {
    const std::scoped_lock lock(this->mutex);
    ++this->revision;
    this->Remove(aKey);
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
  struct Event
  {
    std::int64_t revision;
    std::string key;
    bool isDeleted;
    Item item;
  };
  struct Lease
  {
    milliseconds duration;
    Clock::time_point end;
  };

  void Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
  {
    auto& item = this->items[aKey];
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = aValue;
    item.revision = this->revision;
    item.lease = aLease;
    this->events.push_back({ this->revision, aKey, false, item });
  }
  void Remove(const std::string& aKey)
  {
    if (this->items.erase(aKey) > 0) {
      this->events.push_back({ this->revision, aKey, true, {} });
    }
  }
  void EndLease(std::int64_t aLease)
  {
    this->leases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      ++this->revision;
      this->Remove(key);
    }
    this->changed.notify_all();
  }
  void ExpireLeases()
  {
    const std::scoped_lock lock(this->mutex);
    std::vector<std::int64_t> ended;
    for (const auto& [number, lease] : this->leases) {
      if (Clock::now() >= lease.end) {
        ended.push_back(number);
      }
    }
    for (const auto number : ended) {
      this->EndLease(number);
    }
  }
  static json ItemJson(const std::string& aKey, const Item& aItem)
  {
    return { { "Key", aKey },
             { "Value", Base64(aItem.value) },
             { "Revision", aItem.revision },
             { "Created", aItem.created },
             { "Lease", aItem.lease } };
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const auto query = "&" + aTarget.substr(aTarget.find('?') + 1);
    const auto at = query.find("&" + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    const auto from = at + aName.size() + 2;
    const auto text = query.substr(from, query.find('&', from) - from);
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
      if (text[index] == '%') {
        decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
        index += 2;
      } else {
        decoded += text[index];
      }
    }
    return decoded;
  }
  bool Handle(Connection& aConnection, const Message& aRequest)
  {
    std::unique_lock lock(this->mutex);
    const auto target = aRequest.Target();
    const auto path = target.substr(0, target.find('?'));
    const auto body = json::parse(aRequest.body, nullptr, false);
    int status = 200;
    json reply = json::object();
    if (path == "/kv-key") {
      const auto key = Query(target, "Key");
      const auto found = this->items.find(key);
      if (found == this->items.end()) {
        status = 404;
      } else {
        reply = ItemJson(key, found->second);
      }
      reply["At"] = this->revision;
    } else if (path == "/kv-range") {
      const auto prefix = Query(target, "PathPrefix");
      const auto after = Query(target, "After");
      reply["Items"] = json::array();
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && key > after) {
          reply["Items"].push_back(ItemJson(key, item));
        }
      }
      reply["HasMore"] = false;
      reply["At"] = this->revision;
    } else if (path == "/kv-watch") {
      const auto prefix = Query(target, "PathPrefix");
      const auto after = std::atoll(Query(target, "After").c_str());
      const auto wait = milliseconds(std::atoll(Query(target, "WaitMs").c_str()));
      const auto due = Clock::now() + wait;
      json events = json::array();
      while (true) {
        for (const auto& event : this->events) {
          if (event.revision <= after || !event.key.starts_with(prefix)) {
            continue;
          }
          events.push_back(event.isDeleted ? json{ { "Key", event.key },
                                                   { "Revision", event.revision },
                                                   { "Deleted", true } }
                                           : ItemJson(event.key, event.item));
        }
        if (!events.empty() ||
            this->changed.wait_until(lock, due) == std::cv_status::timeout) {
          break;
        }
      }
      reply["events"] = events;
      reply["At"] = this->revision;
    } else if (path == "/kv-txn" && body.is_object()) {
      bool holds = true;
      json current = json::array();
      for (const auto& row : body["Expected"]) {
        const auto found = this->items.find(row["Key"]);
        const auto revision = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && revision == row["Revision"];
        if (found != this->items.end()) {
          current.push_back(ItemJson(found->first, found->second));
        }
      }
      bool hasLease = true;
      for (const auto& row : body["Writes"]) {
        const auto lease = row.value("Lease", std::int64_t{ 0 });
        hasLease = hasLease && (lease == 0 || this->leases.contains(lease));
      }
      if (!hasLease) {
        status = 404;
      } else if (!holds) {
        status = 412;
        reply["Items"] = current;
      } else {
        ++this->revision;
        for (const auto& row : body["Writes"]) {
          this->Write(row["Key"], Unbase64(row["Value"]), row.value("Lease", std::int64_t{ 0 }));
        }
        for (const auto& key : body["Deletes"]) {
          this->Remove(key);
        }
        reply["Revision"] = this->revision;
        this->changed.notify_all();
      }
    } else if (path == "/kv-lease" && body.is_object()) {
      const milliseconds duration(body.value("TtlMs", 1000));
      this->leases[++this->lastLease] = { duration, Clock::now() + duration };
      reply["Lease"] = this->lastLease;
      reply["TtlMs"] = duration.count();
    } else if (path.starts_with("/kv-keep/")) {
      const auto found = this->leases.find(std::atoll(path.c_str() + 9));
      if (found == this->leases.end()) {
        status = 404;
      } else {
        found->second.end = Clock::now() + found->second.duration;
        reply["TtlMs"] = found->second.duration.count();
      }
    } else if (path.starts_with("/kv-lease-end/")) {
      this->EndLease(std::atoll(path.c_str() + 14));
    } else {
      status = 404;
    }
    lock.unlock();
    return aConnection.Send(
      Answer(status, "Content-Type: application/json\r\n", reply.dump()));
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 100;
  std::int64_t lastLease = 7000;
  Listener listener;
};

class Fleet;

/// An engine that joins groups and answers with streams of events, as PROTOCOL.md says.
class Engine
{
public:
  Engine(Fleet& aFleet, Store& aStore, std::string aId, int aSlots);

  std::string Id() const { return this->id; }
  int Port() const { return this->listener.Port(); }
  /// Registers, and again every 1.2 s.
  void Start();

  /// Connections beyond those that are open are reset while it returns true.
  std::function<bool(int aRunning, int aWaiting)> isLimited;
  /// Leaves without reporting it: the entry is removed. After the time, the engine accepts no
  /// further connection, and finishes what it runs.
  void LeaveSilently(milliseconds aTime)
  {
    {
      const std::scoped_lock order(this->registration);
      this->hasLeft = true;
      this->store.Delete("servers/" + this->id);
    }
    std::thread([this, aTime] {
      std::this_thread::sleep_for(aTime);
      RECORD("engine %s stops listening", this->id.c_str());
      this->mayListen = false;
    }).detach();
  }
  /// Sends nothing for the time, and goes on then.
  void FallSilent(milliseconds aTime)
  {
    this->silentUntil = Now() + std::chrono::duration<double>(aTime).count();
  }
  /// Asked for each order; one for which it returns true gets no answer and is kept.
  std::function<bool(const json& aOrder)> isLate;
  /// Carries out the kept orders of this kind for the group.
  void CarryOutLate(const std::string& aKind, const std::string& aGroup);
  void SetBeyond(Beyond aBeyond) { this->listener.beyond = aBeyond; }

  std::string id;
  // Below: guarded by the mutex of the fleet.
  std::string group;
  std::string model;
  std::string state;
  std::int64_t epoch = 0;
  std::int64_t highestEpoch = 0;
  std::int64_t highestFence = 0;
  std::vector<std::string> members;
  /// The group that it was ordered to leave last, until it joins another one.
  std::string formerGroup;
  std::vector<std::string> formerMembers;
  std::vector<json> lateOrders;
  std::set<std::string> staged;
  int rank = 0;
  int running = 0;
  int waiting = 0;
  std::size_t slots;
  std::size_t generation = 0; // of the membership: changes with join and leave
  std::optional<Clock::time_point> stoodStillSince;

private:
  bool Handle(Connection& aConnection, const Message& aRequest);
  int Apply(const json& aOrder);
  void SetStateLater(int aMilliseconds, const std::string& aState);
  bool Stream(Connection& aConnection, const Message& aRequest);
  void Register();
  bool MembersHold() const;
  /// What an engine that leaves says in all its answers.
  std::string Statement() const { return this->hasLeft ? "Server-Leaving: 1\r\n" : ""; }
  void AwaitEndOfSilence() const
  {
    while (Now() < this->silentUntil) {
      Sleep(2);
    }
  }

  Fleet& fleet;
  Store& store;
  Listener listener;
  std::int64_t born;
  std::int64_t sequence = 0;
  std::atomic<bool> hasLeft{ false };
  std::atomic<bool> mayListen{ true };
  std::atomic<double> silentUntil{ 0 };
  std::mutex registration;
};

/// All engines, under one lock, and what was seen of rule TWO.
class Fleet
{
public:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::unique_ptr<Engine>> engines;
  /// Of engines that had not left their group.
  int joinsOfHeldEngines = 0;
  /// Of engines that had been ordered to leave it.
  int joinsBesideStandingHeads = 0;
  int stallMs = 5000;
  int eventMs = 100;

  Engine* Find(const std::string& aId)
  {
    for (const auto& engine : this->engines) {
      if (engine->id == aId) {
        return engine.get();
      }
    }
    return nullptr;
  }
  int OpenHeads()
  {
    const std::scoped_lock lock(this->mutex);
    int count = 0;
    for (const auto& engine : this->engines) {
      count += engine->rank == 0 && engine->state == "open" ? 1 : 0;
    }
    return count;
  }
};

inline Engine::Engine(Fleet& aFleet, Store& aStore, std::string aId, int aSlots)
  : id(std::move(aId))
  , slots(static_cast<std::size_t>(aSlots))
  , fleet(aFleet)
  , store(aStore)
  , listener([this](Connection& aConnection, const Message& aRequest) {
    return this->Handle(aConnection, aRequest);
  })
  , born(std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
           .count())
{
}

inline void Engine::CarryOutLate(const std::string& aKind, const std::string& aGroup)
{
  {
    const std::scoped_lock lock(this->fleet.mutex);
    std::vector<json> others;
    for (auto& order : std::exchange(this->lateOrders, {})) {
      if (order.value("Op", "") != aKind || order.value("group", "") != aGroup) {
        others.push_back(std::move(order));
        continue;
      }
      const int status = this->Apply(order);
      RECORD("engine %s: order %s %s carried out late -> %d",
             this->id.c_str(),
             aKind.c_str(),
             aGroup.c_str(),
             status);
    }
    std::ranges::move(others, std::back_inserter(this->lateOrders));
  }
  this->fleet.changed.notify_all();
  this->Register();
}

inline void Engine::Start()
{
  this->listener.isLimited = [this] {
    if (!this->mayListen) {
      return true;
    }
    if (!this->isLimited) {
      return false;
    }
    const std::scoped_lock lock(this->fleet.mutex);
    return this->isLimited(this->running, this->waiting);
  };
  this->listener.Start();
  this->Register();
  std::thread([this] {
    while (true) {
      Sleep(1200);
      this->Register();
    }
  }).detach();
}

inline void Engine::Register()
{
  const std::scoped_lock order(this->registration);
  if (this->hasLeft) {
    return;
  }
  this->AwaitEndOfSilence();
  json entry;
  {
    const std::scoped_lock lock(this->fleet.mutex);
    entry = { { "Service", "engines" },
              { "Address", "127.0.0.1:" + std::to_string(this->Port()) },
              { "Zone", "zone-a" },
              { "Version", "v1" },
              { "Slots", this->slots },
              { "State", "ready" },
              { "ColdRemainingMs", 0 },
              { "Stage", "both" },
              { "Domain", "d1" },
              { "Staged", this->staged },
              { "born", this->born },
              { "Seq", ++this->sequence } };
    if (!this->group.empty()) {
      entry["group"] = { { "Name", this->group },
                         { "epoch", this->epoch },
                         { "rank", this->rank },
                         { "State", this->state } };
    }
  }
  this->store.Put("servers/" + this->id, entry.dump());
}

inline bool Engine::MembersHold() const
{
  for (const auto& member : this->members) {
    const auto* other = this->fleet.Find(member);
    if (other == nullptr || other->group != this->group || other->epoch != this->epoch) {
      return false;
    }
  }
  return true;
}

inline void Engine::SetStateLater(int aMilliseconds, const std::string& aState)
{
  const auto expected = this->generation;
  std::thread([this, aMilliseconds, aState, expected] {
    Sleep(aMilliseconds);
    {
      const std::scoped_lock lock(this->fleet.mutex);
      if (this->generation != expected) {
        return;
      }
      this->state = aState;
      RECORD("engine %s: group %s is %s", this->id.c_str(), this->group.c_str(), aState.c_str());
    }
    this->fleet.changed.notify_all();
    this->Register();
  }).detach();
}

inline int Engine::Apply(const json& aOrder)
{
  const auto kind = aOrder.value("Op", "");
  const auto fence = aOrder.value("Fence", std::int64_t{ 0 });
  if (fence < this->highestFence) {
    return 412;
  }
  this->highestFence = fence;
  if (kind == "Stage") {
    this->staged = { aOrder.value("Model", "") };
    return 202;
  }
  const auto name = aOrder.value("group", "");
  const auto orderedEpoch = aOrder.value("epoch", std::int64_t{ 0 });
  if (kind == "join") {
    if (orderedEpoch < this->highestEpoch) {
      return 412;
    }
    if (name == this->group && orderedEpoch == this->epoch) {
      return 200;
    }
    if (!this->group.empty()) {
      // Rule TWO: the head of the group that it has not left.
      const auto* head = this->members.empty() ? nullptr : this->fleet.Find(this->members[0]);
      const bool headServes = head != nullptr && head->group == this->group &&
                              (head->state == "open" || head->state == "closing");
      if (headServes) {
        ++this->fleet.joinsOfHeldEngines;
        RECORD("BROKEN: engine %s takes a join of %s while the head %s of its group %s is %s "
               "with %d running and %d waiting",
               this->id.c_str(),
               name.c_str(),
               head->id.c_str(),
               this->group.c_str(),
               head->state.c_str(),
               head->running,
               head->waiting);
      }
    }
    if (this->group.empty() && !this->formerMembers.empty()) {
      // The same for an engine that was ordered to leave, so that the head stands still.
      const auto* head = this->fleet.Find(this->formerMembers[0]);
      const bool standsStill = head != nullptr && head->id != this->id &&
                               head->group == this->formerGroup &&
                               (head->state == "open" || head->state == "closing");
      if (standsStill) {
        ++this->fleet.joinsBesideStandingHeads;
        RECORD("STANDS STILL: engine %s takes a join of %s while the head %s of %s, which it was "
               "ordered to leave, is %s and not yet broken, with %d running",
               this->id.c_str(),
               name.c_str(),
               head->id.c_str(),
               this->formerGroup.c_str(),
               head->state.c_str(),
               head->running);
      }
    }
    this->formerMembers.clear();
    this->highestEpoch = this->epoch = orderedEpoch;
    this->group = name;
    this->model = aOrder.value("Model", "");
    this->members = aOrder.value("Members", std::vector<std::string>{});
    this->rank = static_cast<int>(
      std::find(this->members.begin(), this->members.end(), this->id) - this->members.begin());
    this->state = "joining";
    this->staged = { this->model };
    ++this->generation;
    this->SetStateLater(200, "ready");
    return 202;
  }
  if (name != this->group || orderedEpoch != this->epoch) {
    return 409;
  }
  if (kind == "open") {
    if (this->state != "ready") {
      return this->state == "open" ? 200 : 409;
    }
    this->SetStateLater(300, "open");
    return 202;
  }
  if (kind == "close") {
    this->state = this->running + this->waiting == 0 ? "ready" : "closing";
    return 202;
  }
  this->formerGroup = std::exchange(this->group, {});
  this->formerMembers = std::exchange(this->members, {});
  this->state.clear();
  this->rank = 0;
  ++this->generation;
  return 200;
}

inline bool Engine::Handle(Connection& aConnection, const Message& aRequest)
{
  this->AwaitEndOfSilence();
  const auto expected = aRequest.Header("x-expect-instance");
  if (!expected.empty() && expected != this->id) {
    return aConnection.Send(Answer(421, this->Statement() + "X-Instance-Id: " + this->id + "\r\n", ""));
  }
  const auto target = aRequest.Target();
  if (target == "/report") {
    return aConnection.Send(Answer(200, this->Statement() + "Content-Type: application/json\r\n", "{}"));
  }
  if (target == "/order") {
    const auto order = json::parse(aRequest.body, nullptr, false);
    int status = 400;
    if (order.is_object() && this->isLate) {
      const auto kind = order.value("Op", "");
      const auto name = order.value("group", "");
      if (this->isLate(order)) {
        RECORD("engine %s: order %s %s gets no answer", this->id.c_str(), kind.c_str(), name.c_str());
        {
          const std::scoped_lock lock(this->fleet.mutex);
          this->lateOrders.push_back(order);
        }
        while (!aConnection.PeerHasClosed()) {
          Sleep(5);
        }
        return false;
      }
    }
    if (order.is_object()) {
      const std::scoped_lock lock(this->fleet.mutex);
      status = this->Apply(order);
      RECORD("engine %s: order %s %s -> %d",
             this->id.c_str(),
             order.value("Op", "").c_str(),
             order.value("group", "").c_str(),
             status);
    }
    this->fleet.changed.notify_all();
    this->Register();
    return aConnection.Send(Answer(status, this->Statement(), ""));
  }
  return this->Stream(aConnection, aRequest);
}

inline bool Engine::Stream(Connection& aConnection, const Message& aRequest)
{
  const auto attempt = aRequest.Header("x-attempt-id");
  const auto usage = aRequest.Header("x-token-usage");
  const int events = std::atoi(usage.substr(usage.find(',') + 1).c_str()) / 5;
  const auto lastId = aRequest.Header("last-event-id");
  const auto deadline =
    Clock::now() + milliseconds(std::atoi(aRequest.Header("x-deadline-ms").c_str()));
  std::unique_lock lock(this->fleet.mutex);
  if (this->state != "open" || this->rank != 0) {
    lock.unlock();
    return aConnection.Send(
      Answer(421, this->Statement() + "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + this->id + "\r\n", ""));
  }
  const auto mine = this->generation;
  ++this->waiting;
  const auto gone = [&] { return this->generation != mine; };
  while (this->running >= static_cast<int>(this->slots) && !gone()) {
    this->fleet.changed.wait_for(lock, milliseconds(20));
    if (aConnection.PeerHasClosed() || Clock::now() >= deadline) {
      break;
    }
  }
  --this->waiting;
  if (gone() || this->running >= static_cast<int>(this->slots)) {
    lock.unlock();
    this->fleet.changed.notify_all();
    return aConnection.Send(
             Answer(503, this->Statement() + "X-Attempt-Id: " + attempt + "\r\nX-Not-Run: 1\r\n", "")) &&
           false;
  }
  ++this->running;
  const auto load = [&] {
    return std::to_string(this->running) + "," + std::to_string(this->waiting) + "," +
           std::to_string(this->slots);
  };
  const auto head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                    "\r\nX-Engine-Stamp: stamp." + this->id + "\r\nX-Engine-Load: " + load() +
                    "\r\n" + this->Statement() +
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  RECORD("engine %s runs %s from event %s", this->id.c_str(), attempt.c_str(), lastId.c_str());
  lock.unlock();
  bool alive = aConnection.Send(head);
  int number = std::atoi(lastId.c_str());
  std::optional<Clock::time_point> stalledSince;
  const char* end = "caller left or deadline";
  while (alive && number < events && Clock::now() < deadline) {
    Sleep(this->fleet.eventMs);
    this->AwaitEndOfSilence();
    lock.lock();
    const bool hasLeft = gone();
    const bool holds = !hasLeft && this->MembersHold();
    lock.unlock();
    if (hasLeft) {
      alive = false;
      end = "the head has left its group";
      break;
    }
    if (!holds) {
      stalledSince = stalledSince.value_or(Clock::now());
      if (Clock::now() - *stalledSince >= milliseconds(this->fleet.stallMs)) {
        alive = false;
        end = "stood still, since a member was gone";
        lock.lock();
        this->state = "broken";
        lock.unlock();
        this->Register();
        break;
      }
      if (aConnection.PeerHasClosed()) {
        alive = false;
        end = "the caller left a stream that stood still, since a member was gone";
        break;
      }
      continue;
    }
    stalledSince.reset();
    const auto text = std::to_string(++number);
    const auto event = "id: " + text + "\ndata: t" + text + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    alive = !aConnection.PeerHasClosed() && aConnection.Send(size + event + "\r\n");
  }
  const bool isWhole = alive && number >= events;
  if (isWhole) {
    aConnection.Send("0\r\n\r\n");
  }
  RECORD("engine %s: run of %s ends after event %d: %s",
         this->id.c_str(),
         attempt.c_str(),
         number,
         isWhole ? "whole" : end);
  lock.lock();
  --this->running;
  const bool isClosed =
    !gone() && this->state == "closing" && this->running + this->waiting == 0;
  if (isClosed) {
    this->state = "ready";
  }
  lock.unlock();
  this->fleet.changed.notify_all();
  if (isClosed) {
    this->Register();
  }
  return isWhole;
}

/// A process of the project, started with the command of the deploy file.
class Vm
{
public:
  Vm(const std::string& aProgram, const std::string& aFolder, const std::string& aName, int aStorePort)
    : program(aProgram)
    , folder(aFolder)
    , name(aName)
    , front(FreePort())
    , ready(FreePort())
    , peers(FreePort())
    , operatorPort(FreePort())
  {
    const auto address = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    // As deploy/server.json.in has them, for a deployment with the bounds of the site.
    const json settings = { { "id", aName },
                            { "zone", "zone-a" },
                            { "listen", address(this->front) },
                            { "readiness", address(this->ready) },
                            { "peers", address(this->peers) },
                            { "operator", address(this->operatorPort) },
                            { "store", address(aStorePort) },
                            { "cpu_share", 0.25 },
                            { "memory_mb", 260 },
                            { "stop_period_s", 8 },
                            { "retry_share", 0.2 },
                            { "retry_slack", 130 },
                            { "retry_window_s", 10 },
                            { "head_stall_ms", 5000 } };
    std::ofstream(this->SettingsPath()) << settings.dump(2);
  }
  ~Vm() { this->Kill(); }

  void Start()
  {
    this->process = ::fork();
    if (this->process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        ::open((this->folder + "/" + this->name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const auto option = "--config=" + this->SettingsPath();
      ::execl(this->program.c_str(), this->program.c_str(), option.c_str(), nullptr);
      ::_exit(127);
    }
  }
  void Signal(int aSignal)
  {
    if (this->process > 0) {
      ::kill(this->process, aSignal);
    }
  }
  /// True if the process has ended by itself.
  bool HasEnded() { return this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) > 0; }
  void Kill()
  {
    if (this->process > 0) {
      ::kill(this->process, SIGKILL);
      ::waitpid(this->process, nullptr, 0);
      this->process = -1;
    }
  }
  bool IsReady() const
  {
    const auto connection = Connect(this->ready);
    if (!connection || !connection->Send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")) {
      return false;
    }
    const auto answer = connection->Read(1000, true);
    return answer && answer->Status() == 200;
  }
  int Front() const { return this->front; }
  std::string State() const
  {
    const auto connection = Connect(this->operatorPort);
    if (!connection || !connection->Send("GET /state HTTP/1.1\r\nHost: o\r\n\r\n")) {
      return "";
    }
    const auto answer = connection->Read(1000, true);
    return answer ? answer->body : "";
  }

private:
  std::string SettingsPath() const { return this->folder + "/" + this->name + ".json"; }
  std::string program;
  std::string folder;
  std::string name;
  int front;
  int ready;
  int peers;
  int operatorPort;
  pid_t process = -1;
};

/// A configuration like that of the site: a model in groups of two engines.
inline json Configuration(int aSlots)
{
  const json engine = {
    { "Slots", aSlots },
    { "KvCapacity", 1400000 },
    { "Stride", 5 },
    { "Models",
      { { { "Name", "large" },
          { "size", 2 },
          { "Share", 1.0 },
          { "pace", 1.0 },
          { "LoadS", 0.5 },
          { "WarmS", 0.2 } } } },
    { "step_ms", 20.0 },
    { "per_seq_ms", 0.241 },
    { "context_per_k", 0.00488 },
    { "read_per_s", 46000.0 },
    { "pairs_per_m", 0.7 },
    { "chunk", 2048 },
    { "report_lag_ms", 200.0 },
    { "LoadsPerS", 4.0 },
    { "loads_at_once", 6 },
    { "usual", { { "prompt", 1076 }, { "answer", 116 } } },
    { "CachedPrefixes", 1 },
    { "far_x", 3.0 },
    { "FormMs", 300.0 },
  };
  return { { "Version", 7 },
           { "Routes",
             { { { "Name", "chat" },
                 { "Host", "api.example" },
                 { "PathPrefix", "/chat/" },
                 { "Kind", "streaming" },
                 { "TimeoutMs", 8000 },
                 { "TargetLatencyMs", 500 },
                 { "Priority", 1 },
                 { "Service", "engines" },
                 { "MaxAttempts", 2 },
                 { "Public", false },
                 { "Sticky", true },
                 { "CanResume", true },
                 { "GapTargetMs", 300 } } } },
           { "Services",
             { { { "Name", "engines" },
                 { "HealthPath", "/healthz" },
                 { "MaxConnections", 464 },
                 { "Engine", engine } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 4194304 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } },
           { "Tenants",
             { { { "Name", "shop" }, { "ApiKeys", { "key-1" } }, { "Priority", 1 } } } } };
}

} // namespace review
