#include "support/StoreStandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "store/Base64.h"

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxHistoryEvents = 100'000;

KeyRange PrefixRange(const std::string& aPrefix)
{
  std::string end = aPrefix;
  if (end.empty()) {
    return { std::string(1, '\0'), std::string(1, '\0') };
  }
  ++end.back();
  return { aPrefix, end };
}

std::string PercentDecode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const bool isEncoded = aText[at] == '%' && at + 2 < aText.size();
    decoded += isEncoded
                 ? static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16))
                 : aText[at];
    at += isEncoded ? 2 : 0;
  }
  return decoded;
}

/// Returns the decoded value of a query field.
std::string QueryField(const std::string& aTarget, const std::string& aName)
{
  const auto fieldStart = "&" + aName + "=";
  const auto query = "&" + aTarget.substr(aTarget.find('?') + 1);
  const auto start = query.find(fieldStart);
  if (start == std::string::npos) {
    return "";
  }
  const auto from = start + fieldStart.size();
  return PercentDecode(query.substr(from, query.find('&', from) - from));
}

json ItemJson(const KeyValue& aValue)
{
  return { { "Key", aValue.key },
           { "Value", EncodeBase64(aValue.value) },
           { "Revision", aValue.modRevision },
           { "Created", aValue.createRevision },
           { "Lease", aValue.lease } };
}

HttpResponse StatusResponse(int aStatus)
{
  HttpResponse response;
  response.status = aStatus;
  return response;
}

} // namespace

StoreStandin::StoreStandin(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics)
  : loop(aLoop)
  , state(kMaxHistoryEvents)
  , server(
      aLoop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) { return this->HandleExchange(aExchange); },
      aMetrics)
  , expiryTimer(aLoop)
{
  this->endpoint = *this->server.Listen({ "127.0.0.1", 0 });
}

void StoreStandin::Put(const std::string& aKey, const std::string& aValue)
{
  StoreTransaction write;
  write.success.push_back(PutOperation{ aKey, aValue, 0 });
  (void)this->state.Execute(write);
  this->WakeWatchers();
}

void StoreStandin::Delete(const std::string& aKey)
{
  StoreTransaction write;
  write.success.push_back(DeleteOperation{ { aKey, "" } });
  (void)this->state.Execute(write);
  this->WakeWatchers();
}

std::map<std::string, std::string> StoreStandin::Records(const std::string& aPrefix)
{
  StoreTransaction read;
  read.success.push_back(RangeOperation{ PrefixRange(aPrefix) });
  const auto result = this->state.Execute(read);
  std::map<std::string, std::string> records;
  for (const auto& value : std::get<RangeReply>(result->replies.front()).keyValues) {
    records[value.key] = value.value;
  }
  return records;
}

void StoreStandin::TakeCopy()
{
  this->copy = this->state;
}

void StoreStandin::Restore()
{
  this->state = *this->copy;
  this->historyHeader = std::to_string(std::stoll(this->historyHeader) + 1);
  this->WakeWatchers();
}

void StoreStandin::CompactHistory()
{
  this->compactedRevision = this->state.Revision();
  this->WakeWatchers();
}

void StoreStandin::WakeWatchers()
{
  for (auto* timer : this->watchTimers) {
    timer->cancel();
  }
  this->ScheduleLeaseExpiry();
}

void StoreStandin::ScheduleLeaseExpiry()
{
  const auto due = this->state.NextExpiry();
  if (!due) {
    return;
  }
  this->expiryTimer.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(*due - BootClock::now(), Duration::zero())));
  this->expiryTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->state.Expire(BootClock::now());
      this->WakeWatchers();
    }
  });
}

Task<> StoreStandin::HandleExchange(HttpExchange& aExchange)
{
  ++this->callCount;
  if (this->faults.rejectCalls) {
    co_await this->Respond(aExchange, StatusResponse(503));
    co_return;
  }
  if (aExchange.Request().target.starts_with("/kv-watch")) {
    co_await this->HandleWatch(aExchange);
    co_return;
  }
  HttpResponse response = this->HandleRequest(aExchange.Request());
  const bool isWrite = aExchange.Request().method != "GET";
  if (isWrite) {
    this->WakeWatchers();
  }
  if (isWrite && this->faults.dropWriteResponses > 0) {
    --this->faults.dropWriteResponses;
    aExchange.BreakOff();
    co_return;
  }
  co_await this->Respond(aExchange, std::move(response));
}

Task<> StoreStandin::Respond(HttpExchange& aExchange, HttpResponse aResponse)
{
  if (!this->historyHeader.empty()) {
    aResponse.headers.Add("Store-Era", this->historyHeader);
  }
  co_await aExchange.Respond(std::move(aResponse));
}

Task<> StoreStandin::HandleWatch(HttpExchange& aExchange)
{
  const auto target = aExchange.Request().target;
  const auto after = std::stoll(QueryField(target, "After"));
  const auto range = PrefixRange(QueryField(target, "PathPrefix"));
  const auto wait = std::chrono::milliseconds(std::stoll(QueryField(target, "WaitMs")));
  boost::asio::steady_timer timer(this->loop, wait);
  const auto position = this->watchTimers.insert(this->watchTimers.end(), &timer);
  bool isOver = false;
  json events = json::array();
  const auto isAvailable = [&] {
    return after >= this->compactedRevision && after <= this->state.Revision();
  };
  while (events.empty() && !isOver && isAvailable()) {
    const auto changes = this->state.EventsSince(range, after + 1);
    for (const auto& event : *changes) {
      json item = ItemJson(event.keyValue);
      if (event.deletion) {
        item = { { "Key", event.keyValue.key },
                 { "Revision", event.keyValue.modRevision },
                 { "Deleted", true } };
      }
      events.push_back(std::move(item));
    }
    if (events.empty()) {
      auto [error] =
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      isOver = !error || aExchange.CallerGone();
    }
  }
  this->watchTimers.erase(position);
  if (!isAvailable()) {
    co_await this->Respond(aExchange, StatusResponse(410));
    co_return;
  }
  const json body = { { "events", events }, { "At", this->state.Revision() } };
  co_await this->Respond(aExchange, JsonResponse(200, body.dump()));
}

HttpResponse StoreStandin::HandleRequest(const HttpRequest& aRequest)
{
  const auto path = aRequest.target.substr(0, aRequest.target.find('?'));
  if (path == "/kv-key") {
    return this->HandleKeyRead(QueryField(aRequest.target, "Key"));
  }
  if (path == "/kv-range") {
    return this->HandleRangeRead(aRequest);
  }
  return path == "/kv-txn" ? this->HandleTransaction(aRequest)
                           : this->HandleLeaseRequest(aRequest);
}

HttpResponse StoreStandin::HandleKeyRead(const std::string& aKey)
{
  StoreTransaction read;
  read.success.push_back(RangeOperation{ { aKey, "" } });
  const auto result = this->state.Execute(read);
  const auto& values = std::get<RangeReply>(result->replies.front()).keyValues;
  return values.empty() ? StatusResponse(404)
                        : JsonResponse(200, ItemJson(values.front()).dump());
}

HttpResponse StoreStandin::HandleRangeRead(const HttpRequest& aRequest)
{
  // Small enough that every reader has to request several pages.
  constexpr std::size_t kPageSize = 2;
  const auto after = QueryField(aRequest.target, "After");
  StoreTransaction read;
  read.success.push_back(
    RangeOperation{ PrefixRange(QueryField(aRequest.target, "PathPrefix")) });
  const auto result = this->state.Execute(read);
  json items = json::array();
  bool more = false;
  for (const auto& value : std::get<RangeReply>(result->replies.front()).keyValues) {
    if (value.key <= after) {
      continue;
    }
    more = items.size() == kPageSize;
    if (more) {
      break;
    }
    items.push_back(ItemJson(value));
  }
  const json body = { { "Items", items },
                      { "HasMore", more },
                      { "At", this->state.Revision() } };
  return JsonResponse(200, body.dump());
}

HttpResponse StoreStandin::HandleTransaction(const HttpRequest& aRequest)
{
  const auto body = json::parse(aRequest.body);
  StoreTransaction transaction;
  for (const auto& row : body.at("Expected")) {
    Comparison comparison;
    comparison.target = CompareTarget::Mod;
    comparison.key = row.at("Key");
    comparison.number = row.at("Revision");
    transaction.comparisons.push_back(comparison);
  }
  for (const auto& write : body.at("Writes")) {
    transaction.success.push_back(
      PutOperation{ write.at("Key"),
                    *DecodeBase64(write.at("Value").get<std::string>()),
                    write.value("Lease", std::int64_t{ 0 }) });
  }
  for (const auto& key : body.at("Deletes")) {
    transaction.success.push_back(DeleteOperation{ { key, "" } });
  }
  const auto result = this->state.Execute(transaction);
  if (!result) {
    return StatusResponse(result.LastReason() == StoreError::LeaseNotFound ? 404 : 400);
  }
  if (!result->succeeded) {
    return JsonResponse(412, R"({"Items":[]})");
  }
  const json reply = { { "Revision", this->state.Revision() } };
  return JsonResponse(200, reply.dump());
}

HttpResponse StoreStandin::HandleLeaseRequest(const HttpRequest& aRequest)
{
  const auto now = BootClock::now();
  const auto number = aRequest.target.substr(aRequest.target.rfind('/') + 1);
  if (aRequest.target == "/kv-lease") {
    const std::chrono::milliseconds requestedTtl(
      json::parse(aRequest.body).at("TtlMs").get<std::int64_t>());
    const auto lease = this->state.GrantLease(
      0, std::chrono::ceil<std::chrono::seconds>(requestedTtl), now);
    const json reply = { { "Lease", *lease }, { "TtlMs", requestedTtl.count() } };
    return JsonResponse(200, reply.dump());
  }
  if (aRequest.target.starts_with("/kv-keep/")) {
    const auto renewedLease = this->state.KeepAlive(std::stoll(number), now);
    return renewedLease ? JsonResponse(200, R"({"TtlMs":2000})") : StatusResponse(404);
  }
  (void)this->state.RevokeLease(std::stoll(number));
  return JsonResponse(200, "{}");
}

} // namespace toucanstand
