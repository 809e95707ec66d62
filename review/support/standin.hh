// Small stand-ins of the users' platform for the scripts of review/: the store, model
// engines, plain services, callers, and the start of toucanstand-server processes. They
// use loopback addresses and the real clock only.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point& Start()
{
  static Clock::time_point start = Clock::now();
  return start;
}

inline double Seconds()
{
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void SleepMs(int aTime)
{
  std::this_thread::sleep_for(milliseconds(aTime));
}

inline void SleepUntil(double aSecond)
{
  std::this_thread::sleep_until(
    Start() + std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(aSecond)));
}

/// record.txt: one line for each event, with the time in seconds.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { this->file.open(aPath, std::ios::trunc); }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", Seconds());
    this->file << time << aText << "\n" << std::flush;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

inline void Log(const std::string& aText)
{
  Record::Get().Line(aText);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

struct Message
{
  std::string first; // request line or status line
  Headers headers;
  std::string body;
  bool complete = false;
  std::string Word(int aNumber) const
  {
    std::istringstream words(this->first);
    std::string word;
    for (int i = 0; i <= aNumber; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  int Status() const { return this->first.empty() ? 0 : std::atoi(this->Word(1).c_str()); }
  std::string Header(const std::string& aName) const { return Find(this->headers, aName); }
};

/// One TCP connection with a buffer of bytes read and not yet used.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : descriptor(aDescriptor)
  {
    int one = 1;
    setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Connect(int aPort, int aTimeoutMs = 1000)
  {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    pollfd poller{ descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t length = sizeof(error);
    const bool ready = poll(&poller, 1, aTimeoutMs) == 1 &&
                       getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
                       error == 0;
    if (!ready) {
      close(descriptor);
      return nullptr;
    }
    fcntl(descriptor, F_SETFL, 0);
    return std::make_unique<Connection>(descriptor);
  }

  void Close()
  {
    if (this->descriptor >= 0) {
      close(this->descriptor);
      this->descriptor = -1;
    }
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count =
        send(this->descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// True once the peer has closed; does not consume input.
  bool PeerClosed() const
  {
    char byte = 0;
    const auto count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool HasInput() const
  {
    char byte = 0;
    return !this->buffer.empty() ||
           recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  /// Reads more bytes. False at the end, at an error or when the time is over.
  bool Fill(Clock::time_point aUntil)
  {
    while (true) {
      const auto left =
        std::chrono::duration_cast<milliseconds>(aUntil - Clock::now()).count();
      if (left <= 0) {
        this->timedOut = true;
        return false;
      }
      pollfd poller{ this->descriptor, POLLIN, 0 };
      const int ready = poll(&poller, 1, static_cast<int>(std::min<long>(left, 200)));
      if (ready == 0) {
        continue;
      }
      char bytes[16384];
      const auto count = recv(this->descriptor, bytes, sizeof(bytes), 0);
      if (count <= 0) {
        return false;
      }
      this->buffer.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
  }

  bool ReadHead(Message& aMessage, Clock::time_point aUntil)
  {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (aMessage.first.empty()) {
        aMessage.first = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      auto value = line.substr(colon + 1);
      value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
      aMessage.headers.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }

  bool Take(std::size_t aCount, std::string& aOutput, Clock::time_point aUntil)
  {
    while (this->buffer.size() < aCount) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    aOutput.append(this->buffer, 0, aCount);
    this->buffer.erase(0, aCount);
    return true;
  }

  bool TakeLine(std::string& aLine, Clock::time_point aUntil)
  {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    aLine = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }

  /// Reads a body with a length or in chunks. A message with neither has no body, as all
  /// requests and the answers of toucanstand-server.
  void ReadBody(Message& aMessage, Clock::time_point aUntil)
  {
    if (strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::string line;
        if (!this->TakeLine(line, aUntil)) {
          return;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          aMessage.complete = this->TakeLine(line, aUntil);
          return;
        }
        std::string end;
        if (!this->Take(size, aMessage.body, aUntil) || !this->Take(2, end, aUntil)) {
          return;
        }
      }
    }
    const auto length = aMessage.Header("Content-Length");
    aMessage.complete =
      this->Take(static_cast<std::size_t>(std::atoll(length.c_str())), aMessage.body, aUntil);
  }

  int descriptor;
  bool timedOut = false;
  std::string buffer;
};

inline Message ReadMessage(Connection& aConnection, Clock::time_point aUntil)
{
  Message message;
  if (aConnection.ReadHead(message, aUntil)) {
    aConnection.ReadBody(message, aUntil);
  }
  return message;
}

inline std::string Answer(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Accepts connections on a free loopback port; each has a thread.
class Listener
{
public:
  /// Handles one request; returns false to close the connection.
  using Handler = std::function<bool(Connection&, const Message&)>;

  explicit Listener(Handler aHandler)
    : handler(std::move(aHandler))
  {
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(this->descriptor, 1024) != 0) {
      std::cerr << "cannot listen\n";
      std::exit(2);
    }
    socklen_t length = sizeof(address);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    this->port = ntohs(address.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  int port = 0;

private:
  void Accept()
  {
    while (true) {
      const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        SleepMs(10);
        continue;
      }
      std::thread([this, accepted] {
        Connection connection(accepted);
        while (true) {
          const auto request =
            ReadMessage(connection, Clock::now() + std::chrono::seconds(100));
          if (!request.complete || !this->handler(connection, request)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler handler;
  int descriptor = -1;
};

inline std::string EncodeBase64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    const auto count = std::min<std::size_t>(3, aBytes.size() - at);
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8U | (i < count ? static_cast<unsigned char>(aBytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += i <= count ? kDigits[group >> (18 - 6 * i) & 63U] : '=';
    }
  }
  return text;
}

inline std::string DecodeBase64(const std::string& aText)
{
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : aText) {
    int value = 0;
    if (c >= 'A' && c <= 'Z') {
      value = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      value = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      value = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      value = c == '+' ? 62 : 63;
    } else {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return bytes;
}

inline std::string QueryField(const std::string& aTarget, const std::string& aName)
{
  const auto question = aTarget.find('?');
  const auto query =
    "&" + (question == std::string::npos ? "" : aTarget.substr(question + 1)) + "&";
  const auto at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto from = at + aName.size() + 2;
  const auto raw = query.substr(from, query.find('&', from) - from);
  std::string text;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] == '%' && i + 2 < raw.size()) {
      text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += raw[i];
    }
  }
  return text;
}

/// The platform's metadata store.
class Store
{
public:
  Store()
    : listener([this](Connection& aConnection, const Message& aRequest) {
      return this->Handle(aConnection, aRequest);
    })
  {
    std::thread([this] {
      while (true) {
        SleepMs(20);
        const std::lock_guard lock(this->mutex);
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
          const auto number = lease->first;
          if (lease->second.end > Clock::now()) {
            ++lease;
            continue;
          }
          lease = this->leases.erase(lease);
          this->EndLease(number);
        }
      }
    }).detach();
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->Write(aKey, aValue, 0);
    this->changed.notify_all();
  }

  void Delete(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->Erase(aKey);
    this->changed.notify_all();
  }

  std::string Address() const { return this->listener.Address(); }

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
    milliseconds ttl;
    Clock::time_point end;
  };

  static json Row(const std::string& aKey, const Item& aItem)
  {
    return { { "Key", aKey },
             { "Value", EncodeBase64(aItem.value) },
             { "Revision", aItem.revision },
             { "Created", aItem.created },
             { "Lease", aItem.lease } };
  }

  void Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
  {
    auto& item = this->items[aKey];
    item.value = aValue;
    item.revision = this->revision;
    item.created = item.created == 0 ? this->revision : item.created;
    item.lease = aLease;
    this->history.emplace_back(this->revision, Row(aKey, item));
  }

  void Erase(const std::string& aKey)
  {
    if (this->items.erase(aKey) > 0) {
      this->history.emplace_back(
        this->revision,
        json{ { "Key", aKey }, { "Revision", this->revision }, { "Deleted", true } });
    }
  }

  void EndLease(std::int64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      ++this->revision;
      this->Erase(key);
    }
    this->changed.notify_all();
  }

  bool Handle(Connection& aConnection, const Message& aRequest)
  {
    const auto target = aRequest.Word(1);
    const auto path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") {
      return this->Watch(aConnection, target);
    }
    SleepMs(2);
    int status = 200;
    json body = json::object();
    {
      const std::lock_guard lock(this->mutex);
      status = this->Execute(aRequest, target, path, body);
    }
    return aConnection.Send(
      Answer(status, { { "Content-Type", "application/json" } }, body.dump()));
  }

  bool Watch(Connection& aConnection, const std::string& aTarget)
  {
    const auto prefix = QueryField(aTarget, "PathPrefix");
    const auto after = std::atoll(QueryField(aTarget, "After").c_str());
    const auto until = Clock::now() + milliseconds(std::atoll(QueryField(aTarget, "WaitMs").c_str()));
    json body;
    {
      std::unique_lock lock(this->mutex);
      json events = json::array();
      while (true) {
        for (const auto& [at, row] : this->history) {
          if (at > after && row["Key"].get<std::string>().rfind(prefix, 0) == 0) {
            events.push_back(row);
          }
        }
        if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
      body = { { "events", events }, { "At", this->revision } };
    }
    return aConnection.Send(
      Answer(200, { { "Content-Type", "application/json" } }, body.dump()));
  }

  int Execute(const Message& aRequest,
              const std::string& aTarget,
              const std::string& aPath,
              json& aBody)
  {
    if (aPath == "/kv-key") {
      const auto found = this->items.find(QueryField(aTarget, "Key"));
      if (found == this->items.end()) {
        return 404;
      }
      aBody = Row(found->first, found->second);
      aBody["At"] = this->revision;
      return 200;
    }
    if (aPath == "/kv-range") {
      const auto prefix = QueryField(aTarget, "PathPrefix");
      const auto after = QueryField(aTarget, "After");
      json rows = json::array();
      for (const auto& [key, item] : this->items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          rows.push_back(Row(key, item));
        }
      }
      aBody = { { "Items", rows }, { "HasMore", false }, { "At", this->revision } };
      return 200;
    }
    if (aPath == "/kv-txn") {
      return this->Transact(json::parse(aRequest.body), aBody);
    }
    const auto number = std::atoll(aPath.substr(aPath.rfind('/') + 1).c_str());
    if (aPath == "/kv-lease") {
      const milliseconds ttl(json::parse(aRequest.body).at("TtlMs").get<std::int64_t>());
      this->leases[++this->lastLease] = { ttl, Clock::now() + ttl };
      aBody = { { "Lease", this->lastLease }, { "TtlMs", ttl.count() } };
      return 200;
    }
    const auto lease = this->leases.find(number);
    if (lease == this->leases.end()) {
      return 404;
    }
    if (aPath.rfind("/kv-keep/", 0) == 0) {
      lease->second.end = Clock::now() + lease->second.ttl;
      aBody = { { "TtlMs", lease->second.ttl.count() } };
      return 200;
    }
    this->leases.erase(lease);
    this->EndLease(number);
    return 200;
  }

  int Transact(const json& aTransaction, json& aBody)
  {
    json current = json::array();
    bool holds = true;
    for (const auto& row : aTransaction.value("Expected", json::array())) {
      const auto found = this->items.find(row.at("Key").get<std::string>());
      const std::int64_t revisionNow = found == this->items.end() ? 0 : found->second.revision;
      holds = holds && revisionNow == row.at("Revision").get<std::int64_t>();
      if (found != this->items.end()) {
        current.push_back(Row(found->first, found->second));
      }
    }
    if (!holds) {
      aBody = { { "Items", current } };
      return 412;
    }
    for (const auto& row : aTransaction.value("Writes", json::array())) {
      const auto lease = row.value("Lease", std::int64_t{ 0 });
      if (lease != 0 && this->leases.count(lease) == 0) {
        return 404;
      }
    }
    ++this->revision;
    for (const auto& row : aTransaction.value("Writes", json::array())) {
      this->Write(row.at("Key"),
                  DecodeBase64(row.at("Value").get<std::string>()),
                  row.value("Lease", std::int64_t{ 0 }));
    }
    for (const auto& key : aTransaction.value("Deletes", json::array())) {
      this->Erase(key.get<std::string>());
    }
    this->changed.notify_all();
    aBody = { { "Revision", this->revision } };
    return 200;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::int64_t revision = 1;
  std::int64_t lastLease = 0;
  std::map<std::string, Item> items;
  std::map<std::int64_t, Lease> leases;
  std::vector<std::pair<std::int64_t, json>> history;
  Listener listener;
};

/// A model engine or an instance of a plain service. Registers itself in the store.
class Engine
{
public:
  /// Answers a request that the engine runs; returns false to close the connection.
  using Work = std::function<bool(Engine&, Connection&, const Message&)>;

  Engine(Store& aStore, std::string aId, std::string aService, std::string aDomain, Work aWork)
    : store(aStore)
    , id(std::move(aId))
    , service(std::move(aService))
    , domain(std::move(aDomain))
    , work(std::move(aWork))
    , listener([this](Connection& aConnection, const Message& aRequest) {
      return this->Handle(aConnection, aRequest);
    })
  {
    this->Register();
    std::thread([this] {
      while (true) {
        SleepMs(1200);
        this->Register();
      }
    }).detach();
  }

  /// Nothing leaves the engine while it is silent.
  void AwaitSpeech() const
  {
    while (Seconds() < this->silentUntil) {
      SleepMs(5);
    }
  }
  void FallSilent(double aSeconds) { this->silentUntil = Seconds() + aSeconds; }

  /// Partitions the engine from the store: it goes on serving, and its registration is
  /// removed after three heartbeat intervals of silence.
  void CutFromStore()
  {
    this->isCut = true;
    std::thread([this] {
      SleepMs(3600);
      if (this->isCut) {
        Log("the registration of " + this->id + " is removed");
        this->store.Delete("servers/" + this->id);
      }
    }).detach();
  }
  void ReachStoreAgain()
  {
    this->isCut = false;
    this->Register();
  }

  std::string GroupState()
  {
    const std::lock_guard lock(this->mutex);
    return this->groupState;
  }
  std::string Model()
  {
    const std::lock_guard lock(this->mutex);
    return this->model;
  }
  std::string Group()
  {
    const std::lock_guard lock(this->mutex);
    return this->group;
  }
  bool IsOpenHead(const std::string& aModel)
  {
    const std::lock_guard lock(this->mutex);
    return this->groupState == "open" && this->rank == 0 && this->model == aModel;
  }

  Store& store;
  std::string id;
  std::string service;
  std::string domain;
  std::atomic<double> silentUntil{ 0 };
  std::atomic<int> running{ 0 };
  std::atomic<bool> isCut{ false };

private:
  void Register()
  {
    json entry;
    {
      const std::lock_guard lock(this->mutex);
      entry = { { "Service", this->service },
                { "Address", this->listener.Address() },
                { "Zone", "zone-a" },
                { "Version", "v1" },
                { "Slots", 26 },
                { "State", "ready" },
                { "ColdRemainingMs", 0 },
                { "Seq", ++this->beats },
                { "born", 1700000000000 } };
      if (!this->domain.empty()) {
        entry["Domain"] = this->domain;
        entry["Staged"] = this->staged.empty() ? json::array() : json::array({ this->staged });
        entry["Models"] = json::array();
        if (!this->group.empty()) {
          entry["group"] = { { "Name", this->group },
                             { "epoch", this->epoch },
                             { "rank", this->rank },
                             { "State", this->groupState } };
        }
      }
    }
    if (!this->isCut) {
      this->store.Put("servers/" + this->id, entry.dump());
    }
  }

  void ChangeLater(int aTime, const std::string& aGroup, const std::string& aState)
  {
    std::thread([this, aTime, aGroup, aState] {
      SleepMs(aTime);
      {
        const std::lock_guard lock(this->mutex);
        if (this->group != aGroup) {
          return;
        }
        this->groupState = aState;
      }
      this->Register();
    }).detach();
  }

  bool Handle(Connection& aConnection, const Message& aRequest)
  {
    const auto target = aRequest.Word(1);
    const auto expected = aRequest.Header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      this->AwaitSpeech();
      return aConnection.Send(Answer(421, { { "X-Instance-Id", this->id } }, ""));
    }
    if (target == "/order") {
      const auto order = json::parse(aRequest.body, nullptr, false);
      const int status = order.is_object() ? this->Obey(order) : 400;
      Log("order to " + this->id + ": " + aRequest.body + " -> " + std::to_string(status));
      this->Register();
      this->AwaitSpeech();
      return aConnection.Send(Answer(status, {}, ""));
    }
    if (target == "/report") {
      this->AwaitSpeech();
      return aConnection.Send(Answer(200, {}, "{}"));
    }
    if (!this->domain.empty()) {
      const std::lock_guard lock(this->mutex);
      if (this->groupState != "open" || this->rank != 0) {
        return aConnection.Send(Answer(421, { { "X-Instance-Id", this->id } }, ""));
      }
    }
    Log(this->id + " runs " + aRequest.Header("X-Attempt-Id") +
        (aRequest.Header("Last-Event-Id").empty()
           ? ""
           : " from event " + aRequest.Header("Last-Event-Id")));
    ++this->running;
    const bool keep = this->work(*this, aConnection, aRequest);
    --this->running;
    return keep;
  }

  int Obey(const json& aOrder)
  {
    const std::lock_guard lock(this->mutex);
    const auto kind = aOrder.value("Op", "");
    const auto fence = aOrder.value("Fence", std::int64_t{ 0 });
    if (fence < this->highestFence) {
      return 412;
    }
    this->highestFence = fence;
    if (kind == "Stage") {
      this->staged = aOrder.value("Model", "");
      return 202;
    }
    const auto name = aOrder.value("group", "");
    const auto number = aOrder.value("epoch", std::int64_t{ 0 });
    if (kind == "join") {
      if (number < this->highestEpoch) {
        return 412;
      }
      if (name == this->group && number == this->epoch) {
        return 200;
      }
      const auto members = aOrder.value("Members", std::vector<std::string>{});
      this->highestEpoch = this->epoch = number;
      this->group = name;
      this->model = aOrder.value("Model", "");
      this->staged = this->model;
      this->rank =
        static_cast<int>(std::find(members.begin(), members.end(), this->id) - members.begin());
      this->groupState = "joining";
      this->ChangeLater(200, name, "ready");
      return 202;
    }
    if (name != this->group || number != this->epoch) {
      return 409;
    }
    if (kind == "open") {
      if (this->groupState != "ready") {
        return this->groupState == "open" ? 200 : 409;
      }
      this->ChangeLater(20, name, "open");
      return 202;
    }
    if (kind == "close") {
      this->groupState = "closing";
      std::thread([this, name] {
        while (this->running > 0) {
          SleepMs(10);
        }
        this->ChangeLater(0, name, "ready");
      }).detach();
      return 202;
    }
    this->group.clear();
    this->groupState.clear();
    return 200;
  }

  std::mutex mutex;
  std::int64_t beats = 0;
  std::string group;
  std::string groupState;
  std::string model;
  std::string staged;
  std::int64_t epoch = 0;
  std::int64_t highestEpoch = 0;
  std::int64_t highestFence = 0;
  int rank = -1;
  Work work;
  Listener listener;
};

/// Streams numbered events at an even pace; goes on after Last-Event-Id.
struct Streaming
{
  int events = 30;
  int intervalMs = 100;

  bool operator()(Engine& aEngine, Connection& aConnection, const Message& aRequest) const
  {
    const auto attempt = aRequest.Header("X-Attempt-Id");
    const auto deadline =
      Clock::now() + milliseconds(std::atoll(aRequest.Header("X-Deadline-Ms").c_str()));
    int number = std::atoi(aRequest.Header("Last-Event-Id").c_str());
    const auto group = aEngine.Group();
    SleepMs(this->intervalMs);
    aEngine.AwaitSpeech();
    if (!aConnection.Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                          "\r\nX-Engine-Stamp: stamp-" + aEngine.id +
                          "\r\nContent-Type: text/event-stream"
                          "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    while (number < this->events) {
      SleepMs(this->intervalMs);
      // A silent engine sends nothing, and sees a close like any other.
      while (Seconds() < aEngine.silentUntil && !aConnection.PeerClosed()) {
        SleepMs(5);
      }
      if (aEngine.Group() != group) {
        Log(aEngine.id + " breaks off " + attempt + " after event " + std::to_string(number) +
            ": it was ordered to leave its group");
        return false;
      }
      const bool closed = aConnection.PeerClosed();
      if (closed || Clock::now() > deadline) {
        Log(aEngine.id + " ends " + attempt + " after event " + std::to_string(number) +
            (closed ? ": connection closed" : ": deadline"));
        return false;
      }
      ++number;
      const auto event = Event(number);
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!aConnection.Send(size + event + "\r\n")) {
        return false;
      }
    }
    Log(aEngine.id + " finishes " + attempt);
    return aConnection.Send("0\r\n\r\n");
  }

  static std::string Event(int aNumber)
  {
    return "id: " + std::to_string(aNumber) + "\ndata: piece " + std::to_string(aNumber) +
           "\n\n";
  }

  std::string Whole() const
  {
    std::string text;
    for (int number = 1; number <= this->events; ++number) {
      text += Event(number);
    }
    return text;
  }
};

inline json EngineService(const json& aModels)
{
  return { { "Name", "toucan-pool" },
           { "MaxConnections", 464 },
           { "Engine",
             { { "Slots", 26 },
               { "KvCapacity", 1400000 },
               { "Stride", 5 },
               { "Models", aModels },
               { "step_ms", 6.07 },
               { "per_seq_ms", 0.1 },
               { "context_per_k", 0.0 },
               { "read_per_s", 46000.0 },
               { "chunk", 2048 },
               { "LoadsPerS", 10.0 },
               { "loads_at_once", 8 },
               { "usual", { { "prompt", 700 }, { "answer", 135 } } },
               { "FormMs", 20.0 } } } };
}

inline json ModelRow(const char* aName, int aSize, double aShare)
{
  return { { "Name", aName }, { "size", aSize },  { "Share", aShare },
           { "pace", 1.0 },   { "LoadS", 0.2 },   { "WarmS", 0.2 } };
}

inline json Route(const char* aPrefix, const char* aKind, const char* aService, int aAttempts)
{
  json route = { { "Name", aPrefix },       { "Host", "api.example" },
                 { "PathPrefix", aPrefix }, { "Kind", aKind },
                 { "TimeoutMs", 8000 },     { "TargetLatencyMs", 500 },
                 { "Priority", 1 },         { "Service", aService },
                 { "MaxAttempts", aAttempts } };
  if (std::string(aKind) == "streaming") {
    route["CanResume"] = true;
    route["GapTargetMs"] = 300;
    route["Sticky"] = true;
  }
  return route;
}

inline json Configuration(std::int64_t aVersion, const json& aRoutes, const json& aServices)
{
  return { { "Version", aVersion },
           { "Routes", aRoutes },
           { "Services", aServices },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 65536 },
               { "HeaderTimeoutMs", 5000 },
               { "IdleTimeoutMs", 20000 } } },
           { "Tenants", json::array({ { { "Name", "shop" }, { "ApiKeys", { "key-1" } } } }) } };
}

/// Ports that were free a moment ago. They are below the range from which the kernel picks
/// ports for outgoing connections.
inline int FreePort()
{
  static std::set<int> given;
  static unsigned next = static_cast<unsigned>(getpid()) * 7;
  for (int tries = 0; tries < 5000; ++tries) {
    const int port = 12000 + static_cast<int>(next++ % 18000);
    bool free = given.count(port) == 0;
    for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
      const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<uint16_t>(port));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      free = free &&
             bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      close(descriptor);
    }
    if (free) {
      given.insert(port);
      return port;
    }
  }
  std::cerr << "no free port\n";
  std::exit(2);
}

inline std::set<pid_t>& Children()
{
  static std::set<pid_t> children;
  return children;
}

/// A toucanstand-server process. PROGRAM names the built program and FOLDER the temporary
/// folder of the settings and the logs.
class Vm
{
public:
  Vm(const Store& aStore, std::string aId)
    : id(std::move(aId))
    , front(FreePort())
    , ready(FreePort())
    , peers(FreePort())
    , operatorPort(FreePort())
  {
    const auto at = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    // The fields of deploy/server.json.in, with the figures of a small deployment.
    const json settings = { { "id", this->id },
                            { "zone", "zone-a" },
                            { "listen", at(this->front) },
                            { "readiness", at(this->ready) },
                            { "peers", at(this->peers) },
                            { "operator", at(this->operatorPort) },
                            { "store", aStore.Address() },
                            { "cpu_share", 0.25 },
                            { "stop_period_s", 8 },
                            { "retry_share", 0.2 },
                            { "retry_slack", 130 },
                            { "retry_window_s", 10 },
                            { "head_stall_ms", 5000 } };
    this->file = std::string(std::getenv("FOLDER")) + "/" + this->id + ".json";
    std::ofstream(this->file) << settings.dump(2);
    this->StartProcess();
  }

  void StartProcess()
  {
    const std::string log = std::string(std::getenv("FOLDER")) + "/" + this->id + ".log";
    const std::string argument = "--config=" + this->file;
    const char* program = std::getenv("PROGRAM");
    this->pid = fork();
    if (this->pid == 0) {
      // The process ends with this one, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      execl(program, program, argument.c_str(), nullptr);
      _exit(127);
    }
    Children().insert(this->pid);
    Log("start " + this->id);
  }

  void Signal(int aSignal) const
  {
    Log("signal " + std::to_string(aSignal) + " to " + this->id);
    kill(this->pid, aSignal);
  }

  /// Waits for the end of the process; the status as of waitpid(), -1 if it still runs.
  int Wait(double aSeconds)
  {
    const double until = Seconds() + aSeconds;
    while (Seconds() < until) {
      int status = 0;
      if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
        Children().erase(this->pid);
        Log(this->id + " has ended, status " + std::to_string(status));
        return status;
      }
      SleepMs(10);
    }
    return -1;
  }

  bool IsReady() const
  {
    auto connection = Connection::Connect(this->ready, 300);
    if (!connection || !connection->Send("GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n")) {
      return false;
    }
    return ReadMessage(*connection, Clock::now() + milliseconds(500)).Status() == 200;
  }

  /// True if this VM leads the formation of groups, by its state page.
  bool Leads() const
  {
    auto connection = Connection::Connect(this->operatorPort, 300);
    if (!connection || !connection->Send("GET /state HTTP/1.1\r\nHost: vm\r\n\r\n")) {
      return false;
    }
    const auto answer = ReadMessage(*connection, Clock::now() + milliseconds(500));
    const auto state = json::parse(answer.body, nullptr, false);
    return state.dump().find("\"leader_term\":0") == std::string::npos &&
           state.dump().find("\"leader_term\":") != std::string::npos;
  }

  std::string id;
  int front;
  int ready;
  int peers;
  int operatorPort;
  pid_t pid = -1;
  std::string file;
};

/// Ends the processes that are left and exits with the status of a script.
[[noreturn]] inline void Finish(int aStatus, const std::string& aText)
{
  Log(aText);
  std::cout << aText << std::endl;
  for (const pid_t child : Children()) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  std::cout.flush();
  _exit(aStatus);
}

inline void Await(const std::string& aWhat, double aSeconds, const std::function<bool()>& aTest)
{
  const double until = Seconds() + aSeconds;
  while (!aTest()) {
    if (Seconds() > until) {
      Finish(2, "could not run: " + aWhat);
    }
    SleepMs(50);
  }
}

/// One request of a caller on a connection of its own or on a kept one.
struct Call
{
  std::string method = "POST";
  std::string path = "/chat/1";
  std::string attempt;
  Headers headers;
  std::string body = "{}";
  int deadlineMs = 8000;

  std::string Text() const
  {
    std::string text = this->method + " " + this->path + " HTTP/1.1\r\nHost: api.example\r\n" +
                       "X-Attempt-Id: " + this->attempt +
                       "\r\nX-Deadline-Ms: " + std::to_string(this->deadlineMs) +
                       "\r\nAuthorization: Bearer key-1\r\n";
    for (const auto& [name, value] : this->headers) {
      text += name + ": " + value + "\r\n";
    }
    if (this->method != "GET") {
      text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
    }
    return text + "\r\n" + (this->method == "GET" ? "" : this->body);
  }
};

struct Result
{
  Message answer;
  double sentAt = 0;
  double endedAt = 0;
  bool timedOut = false;
};

inline Result Send(Connection& aConnection, const Call& aCall)
{
  Result result;
  result.sentAt = Seconds();
  Log("caller sends " + aCall.attempt + " " + aCall.method + " " + aCall.path);
  aConnection.Send(aCall.Text());
  const auto until = Clock::now() + milliseconds(aCall.deadlineMs + 700);
  result.answer = ReadMessage(aConnection, until);
  result.timedOut = aConnection.timedOut;
  result.endedAt = Seconds();
  Log("caller has of " + aCall.attempt + ": status " + std::to_string(result.answer.Status()) +
      ", " + std::to_string(result.answer.body.size()) + " bytes, " +
      (result.answer.complete ? "whole"
       : result.timedOut     ? "not whole at the deadline"
                             : "connection closed before the end"));
  return result;
}

inline bool Trouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

inline void Begin()
{
  std::signal(SIGPIPE, SIG_IGN);
  Start();
  if (std::getenv("PROGRAM") == nullptr || std::getenv("FOLDER") == nullptr ||
      std::getenv("RECORD") == nullptr || access(std::getenv("PROGRAM"), X_OK) != 0) {
    std::cerr << "PROGRAM, FOLDER and RECORD must be set\n";
    std::exit(2);
  }
  Record::Get().Open(std::getenv("RECORD"));
  Log(Trouble() ? "with the disruption" : "without the disruption");
}

} // namespace standin
