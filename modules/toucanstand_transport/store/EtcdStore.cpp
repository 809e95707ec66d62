#include "store/EtcdStore.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"
#include "store/Base64.h"
#include "store/EtcdMessages.h"

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr std::size_t kMostValueBytes = 1000U * 1000U;
/// A value in base64 with its envelope, and room for the list of a prefix.
constexpr std::size_t kMostReplyBytes = 8U << 20U;
/// etcd sends progress only on request, so a quiet watch is opened again after this.
constexpr Duration kWatchSilence = std::chrono::minutes(5);

} // namespace

class EtcdStore::Implementation
  : public std::enable_shared_from_this<EtcdStore::Implementation>
{
public:
  Implementation(boost::asio::io_context& aLoop,
                 EtcdStoreSettings aSettings,
                 MetricsRegistry& aMetrics,
                 Random aRandom)
    : loop(aLoop)
    , settings(std::move(aSettings))
    , metrics(aMetrics)
    , client(aLoop, aMetrics)
    , random(aRandom)
    , credit(this->settings.callsPerSecond)
    , creditAt(BootClock::now())
  {
  }

  Task<Result<json, StoreFailure>> Call(std::string aPath, json aBody)
  {
    if (!this->TakeCredit(aPath)) {
      co_return StoreFailure::Throttled;
    }
    const auto self = this->shared_from_this();
    const auto started = BootClock::now();
    HttpDeadlines deadlines;
    deadlines.connect = std::min(deadlines.connect, this->settings.timeout);
    deadlines.head = this->settings.timeout;
    deadlines.progress = this->settings.timeout;
    auto response = co_await this->client.Fetch(this->settings.endpoint,
                                                this->MakeRequest(aPath, aBody),
                                                deadlines,
                                                kMostReplyBytes);
    this->metrics.Record("store_call_seconds", BootClock::now() - started);
    if (!response) {
      const auto failure = NothingWasSent(response.LastReason())
                             ? StoreFailure::NotSent
                             : StoreFailure::EffectUnknown;
      co_return this->Fail(failure);
    }
    this->lastReply = BootClock::now();
    auto document = DecodeJson(response->body, { kMostReplyBytes, 32 });
    if (response->status >= 500) {
      // The gateway reports a timeout inside the store this way: the effect is open.
      co_return this->Fail(StoreFailure::EffectUnknown);
    }
    if (response->status != 200) {
      co_return this->Fail(response->status == 404 ? StoreFailure::NotFound
                                                   : StoreFailure::Malformed);
    }
    if (!document || !document->is_object()) {
      co_return this->Fail(StoreFailure::Malformed);
    }
    co_return std::move(*document);
  }

  /// A write under one comparison.
  Task<Result<StoreRevision, StoreFailure>> Transact(json aCompare, json aOperation)
  {
    json body = TransactionBody(std::move(aCompare), std::move(aOperation));
    auto reply = co_await this->Call("/v3/kv/txn", std::move(body));
    if (!reply) {
      co_return reply.LastReason();
    }
    if (!reply->value("succeeded", false)) {
      co_return StoreFailure::Conflict;
    }
    const auto header = reply->find("header");
    co_return header == reply->end() ? StoreRevision{ 0 }
                                     : ReadWhole(*header, "revision");
  }

  Task<> RunWatch(std::string aKey, WatchListener aListener)
  {
    const auto self = this->shared_from_this();
    while (!this->stopped) {
      co_await this->WatchOnce(aKey, aListener);
      boost::asio::steady_timer pause(
        this->loop,
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          this->settings.watchPause * (0.1 + 0.9 * this->random.Fraction())));
      this->metrics.Count("store_watch_rearmed_total");
      co_await pause.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  HttpRequest MakeRequest(const std::string& aPath, const json& aBody)
  {
    HttpRequest request;
    request.method = "POST";
    request.target = aPath;
    request.headers.Add("Content-Type", "application/json");
    request.body = EncodeJson(aBody);
    return request;
  }

  boost::asio::io_context& loop; // NOLINT(misc-non-private-member-variables-in-classes)
  EtcdStoreSettings settings;
  MetricsRegistry& metrics;
  HttpClient client;
  Random random;
  TimePoint lastReply{};
  bool stopped = false;
  CancelSwitch stopWatches;

private:
  bool TakeCredit(const std::string& aPath)
  {
    const auto now = BootClock::now();
    const double most = this->settings.callsPerSecond;
    this->credit = std::min(most, this->credit + ToSeconds(now - this->creditAt) * most);
    this->creditAt = now;
    if (this->credit < 1) {
      this->metrics.Count("store_throttled_total");
      return false;
    }
    this->credit -= 1;
    this->metrics.Count("store_calls_total{path=\"" + aPath + "\"}");
    return true;
  }

  StoreFailure Fail(StoreFailure aFailure)
  {
    this->metrics.Count(std::string("store_failures_total{reason=\"") + Name(aFailure) +
                        "\"}");
    return aFailure;
  }

  Task<> WatchOnce(const std::string& aKey, const WatchListener& aListener)
  {
    auto current = co_await this->Call("/v3/kv/range", KeyBody(aKey));
    if (!current) {
      co_return;
    }
    const auto header = current->find("header");
    const StoreRevision seen =
      header == current->end() ? 0 : ReadWhole(*header, "revision");
    this->Deliver(*current, "kvs", aListener);
    if (this->stopped || !this->TakeCredit("/v3/watch")) {
      co_return;
    }
    HttpDeadlines deadlines;
    deadlines.head = this->settings.timeout;
    deadlines.progress = kWatchSilence;
    CancelSwitch cancel;
    auto opened = co_await this->client.Open(
      this->settings.endpoint,
      this->MakeRequest("/v3/watch", WatchBody(aKey, seen + 1)),
      deadlines,
      ConnectionUse::Fresh,
      cancel);
    if (!opened || (*opened)->Status() != 200) {
      co_return;
    }
    std::string pending;
    while (!this->stopped) {
      auto piece = co_await (*opened)->Read(cancel);
      if (!piece || piece->empty() || pending.size() > kMostReplyBytes) {
        co_return;
      }
      this->lastReply = BootClock::now();
      pending += *piece;
      this->DeliverLines(pending, aListener);
    }
  }

  /// Takes each complete line, one JSON object, from the front of the text.
  void DeliverLines(std::string& aPending, const WatchListener& aListener)
  {
    for (auto end = aPending.find('\n'); end != std::string::npos;
         end = aPending.find('\n')) {
      const auto line =
        DecodeJson(std::string_view(aPending).substr(0, end), { kMostReplyBytes, 32 });
      aPending.erase(0, end + 1);
      if (!line || !line->is_object()) {
        this->metrics.Count("store_watch_malformed_total");
        continue;
      }
      const auto result = line->find("result");
      if (result != line->end() && result->is_object()) {
        this->Deliver(*result, "events", aListener);
      }
    }
  }

  void Deliver(const json& aReply, const char* aList, const WatchListener& aListener)
  {
    const auto items = aReply.find(aList);
    if (items == aReply.end() || !items->is_array()) {
      return;
    }
    for (const auto& item : *items) {
      const bool isEvent = item.is_object() && item.contains("kv");
      if (isEvent && item.value("type", "PUT") == "DELETE") {
        aListener(StoreFailure::NotFound);
        continue;
      }
      const auto value = ReadKeyValue(isEvent ? item.at("kv") : item);
      if (value) {
        aListener(*value);
      }
    }
  }

  double credit;
  TimePoint creditAt;
};

EtcdStore::EtcdStore(boost::asio::io_context& aLoop,
                     EtcdStoreSettings aSettings,
                     MetricsRegistry& aMetrics,
                     Random aRandom)
  : implementation(
      std::make_shared<Implementation>(aLoop, std::move(aSettings), aMetrics, aRandom))
{
}

EtcdStore::~EtcdStore()
{
  this->implementation->stopped = true;
}

Task<Result<StoredValue, StoreFailure>> EtcdStore::Read(std::string aKey)
{
  auto reply = co_await this->implementation->Call("/v3/kv/range", KeyBody(aKey));
  if (!reply) {
    co_return reply.LastReason();
  }
  const auto values = reply->find("kvs");
  if (values == reply->end() || !values->is_array() || values->empty()) {
    co_return StoreFailure::NotFound;
  }
  auto value = ReadKeyValue(values->front());
  if (!value) {
    co_return StoreFailure::Malformed;
  }
  co_return std::move(*value);
}

Task<Result<std::vector<StoredValue>, StoreFailure>> EtcdStore::ReadPrefix(
  std::string aPrefix)
{
  json body = KeyBody(aPrefix);
  body["range_end"] = EncodeBase64(PrefixEnd(aPrefix));
  auto reply = co_await this->implementation->Call("/v3/kv/range", std::move(body));
  if (!reply) {
    co_return reply.LastReason();
  }
  std::vector<StoredValue> values;
  const auto found = reply->find("kvs");
  if (found == reply->end() || !found->is_array()) {
    co_return values;
  }
  for (const auto& item : *found) {
    auto value = ReadKeyValue(item);
    if (!value) {
      co_return StoreFailure::Malformed;
    }
    values.push_back(std::move(*value));
  }
  co_return values;
}

Task<Result<StoreRevision, StoreFailure>> EtcdStore::CreateIfAbsent(std::string aKey,
                                                                    std::string aValue,
                                                                    StoreLease aLease)
{
  if (aValue.size() > kMostValueBytes) {
    co_return StoreFailure::TooLarge;
  }
  co_return co_await this->implementation->Transact(
    Comparison(aKey, "CREATE", "create_revision", 0), PutRequest(aKey, aValue, aLease));
}

Task<Result<StoreRevision, StoreFailure>> EtcdStore::ReplaceIf(std::string aKey,
                                                               StoreRevision aExpected,
                                                               std::string aValue,
                                                               StoreLease aLease)
{
  if (aValue.size() > kMostValueBytes) {
    co_return StoreFailure::TooLarge;
  }
  co_return co_await this->implementation->Transact(
    Comparison(aKey, "MOD", "mod_revision", aExpected), PutRequest(aKey, aValue, aLease));
}

Task<Result<Done, StoreFailure>> EtcdStore::DeleteIf(std::string aKey,
                                                     StoreRevision aExpected)
{
  json operation = json::object();
  operation["request_delete_range"] = KeyBody(aKey);
  auto written = co_await this->implementation->Transact(
    Comparison(aKey, "MOD", "mod_revision", aExpected), operation);
  if (!written) {
    co_return written.LastReason();
  }
  co_return Done{};
}

Task<Result<StoreLease, StoreFailure>> EtcdStore::GrantLease(
  std::chrono::seconds aDuration)
{
  auto reply =
    co_await this->implementation->Call("/v3/lease/grant", GrantBody(aDuration));
  if (!reply) {
    co_return reply.LastReason();
  }
  const auto lease = ReadWhole(*reply, "ID");
  if (lease == 0) {
    co_return StoreFailure::Malformed;
  }
  co_return lease;
}

Task<Result<Done, StoreFailure>> EtcdStore::KeepLeaseAlive(StoreLease aLease)
{
  auto reply = co_await this->implementation->Call("/v3/lease/keepalive", IdBody(aLease));
  if (!reply) {
    co_return reply.LastReason();
  }
  const auto result = reply->find("result");
  const auto& body = result == reply->end() ? *reply : *result;
  if (!body.is_object() || ReadWhole(body, "TTL") <= 0) {
    co_return StoreFailure::Conflict;
  }
  co_return Done{};
}

Task<Result<Done, StoreFailure>> EtcdStore::RevokeLease(StoreLease aLease)
{
  auto reply = co_await this->implementation->Call("/v3/lease/revoke", IdBody(aLease));
  if (!reply) {
    co_return reply.LastReason();
  }
  co_return Done{};
}

void EtcdStore::Watch(std::string aKey, WatchListener aListener)
{
  boost::asio::co_spawn(
    this->implementation->loop,
    this->implementation->RunWatch(std::move(aKey), std::move(aListener)),
    boost::asio::detached);
}

TimePoint EtcdStore::LastReply() const
{
  return this->implementation->lastReply;
}

} // namespace toucanstand
