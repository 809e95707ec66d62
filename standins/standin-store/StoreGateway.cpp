#include "StoreGateway.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "store/Base64.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::size_t kMostLoggedWrites = 1'000'000;
// Identifiers that etcd puts in each header; any constant serves.
constexpr const char* kClusterId = "14841639068965178418";
constexpr const char* kMemberId = "10276657743932975437";

/// A request that the gateway cannot translate.
class MalformedRequest : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

std::string CamelCase(const std::string& aName)
{
  std::string camel;
  for (std::size_t index = 0; index < aName.size(); ++index) {
    const bool joint = aName[index] == '_' && index + 1 < aName.size();
    camel += joint ? static_cast<char>(std::toupper(aName[++index])) : aName[index];
  }
  return camel;
}

/// A field in either spelling; null when it is missing.
const json& Field(const json& aObject, const std::string& aName)
{
  static const json kNull;
  if (!aObject.is_object()) {
    throw MalformedRequest("json: cannot unmarshal a value that is not an object");
  }
  for (const auto& name : { aName, CamelCase(aName) }) {
    if (const auto found = aObject.find(name); found != aObject.end()) {
      return *found;
    }
  }
  return kNull;
}

std::int64_t Number(const json& aObject, const std::string& aName)
{
  const json& field = Field(aObject, aName);
  if (field.is_null()) {
    return 0;
  }
  if (field.is_number_integer()) {
    return field.get<std::int64_t>();
  }
  const auto text = field.is_string() ? field.get<std::string>() : std::string();
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    throw MalformedRequest("json: cannot unmarshal field " + aName + " into int64");
  }
  return number;
}

bool Flag(const json& aObject, const std::string& aName)
{
  const json& field = Field(aObject, aName);
  return field.is_boolean() && field.get<bool>();
}

std::string Bytes(const json& aObject, const std::string& aName)
{
  const json& field = Field(aObject, aName);
  if (field.is_null()) {
    return "";
  }
  const auto bytes =
    field.is_string() ? DecodeBase64(field.get<std::string>()) : std::nullopt;
  if (!bytes) {
    throw MalformedRequest("illegal base64 data in field " + aName);
  }
  return *bytes;
}

/// An enumeration, by name or by number as protobuf's JSON mapping allows.
template<typename Enum, std::size_t Count>
Enum Choice(const json& aObject,
            const std::string& aName,
            const std::array<const char*, Count>& aNames)
{
  const json& field = Field(aObject, aName);
  if (field.is_null()) {
    return Enum{};
  }
  for (std::size_t index = 0; index < Count; ++index) {
    if (field == json(aNames.at(index)) || field == json(index)) {
      return static_cast<Enum>(index);
    }
  }
  throw MalformedRequest("unknown value for enum in field " + aName);
}

KeyRange ReadRange(const json& aRequest)
{
  return { Bytes(aRequest, "key"), Bytes(aRequest, "range_end") };
}

PutOperation ReadPut(const json& aRequest)
{
  return { Bytes(aRequest, "key"), Bytes(aRequest, "value"), Number(aRequest, "lease") };
}

RangeOperation ReadRangeOperation(const json& aRequest)
{
  if (Number(aRequest, "revision") != 0) {
    throw MalformedRequest("reading at an old revision is not supported");
  }
  return { ReadRange(aRequest),
           Number(aRequest, "limit"),
           Flag(aRequest, "count_only"),
           Flag(aRequest, "keys_only") };
}

std::vector<StoreOperation> ReadOperations(const json& aList)
{
  std::vector<StoreOperation> operations;
  for (const auto& item : aList) {
    if (const auto& put = Field(item, "request_put"); !put.is_null()) {
      operations.emplace_back(ReadPut(put));
    } else if (const auto& range = Field(item, "request_range"); !range.is_null()) {
      operations.emplace_back(ReadRangeOperation(range));
    } else if (const auto& gone = Field(item, "request_delete_range"); !gone.is_null()) {
      operations.emplace_back(DeleteOperation{ ReadRange(gone) });
    } else {
      throw MalformedRequest("unknown operation in a transaction");
    }
  }
  return operations;
}

Comparison ReadComparison(const json& aItem)
{
  // In protobuf's numbering, and in the order of the enumerations.
  constexpr std::array kTargets = { "VERSION", "CREATE", "MOD", "VALUE", "LEASE" };
  constexpr std::array kResults = { "EQUAL", "GREATER", "LESS", "NOT_EQUAL" };
  constexpr std::array kNumbers = {
    "version", "create_revision", "mod_revision", "", "lease"
  };
  Comparison comparison;
  comparison.target = Choice<CompareTarget>(aItem, "target", kTargets);
  comparison.result = Choice<CompareResult>(aItem, "result", kResults);
  comparison.key = Bytes(aItem, "key");
  if (comparison.target == CompareTarget::Value) {
    comparison.value = Bytes(aItem, "value");
  } else {
    comparison.number =
      Number(aItem, kNumbers.at(static_cast<std::size_t>(comparison.target)));
  }
  return comparison;
}

StoreTransaction ReadTransaction(const json& aRequest)
{
  StoreTransaction transaction;
  for (const auto& item : Field(aRequest, "compare")) {
    transaction.comparisons.push_back(ReadComparison(item));
  }
  transaction.success = ReadOperations(Field(aRequest, "success"));
  transaction.failure = ReadOperations(Field(aRequest, "failure"));
  return transaction;
}

void AddNumber(json& aObject, const char* aName, std::int64_t aNumber)
{
  if (aNumber != 0) {
    aObject[aName] = std::to_string(aNumber);
  }
}

json Describe(const KeyValue& aKeyValue)
{
  json described = { { "key", EncodeBase64(aKeyValue.key) } };
  AddNumber(described, "create_revision", aKeyValue.createRevision);
  AddNumber(described, "mod_revision", aKeyValue.modRevision);
  AddNumber(described, "version", aKeyValue.version);
  AddNumber(described, "lease", aKeyValue.lease);
  if (!aKeyValue.value.empty()) {
    described["value"] = EncodeBase64(aKeyValue.value);
  }
  return described;
}

json Describe(const OperationReply& aReply, const json& aHeader)
{
  json described = { { "header", aHeader } };
  if (const auto* range = std::get_if<RangeReply>(&aReply)) {
    for (const auto& keyValue : range->keyValues) {
      described["kvs"].push_back(Describe(keyValue));
    }
    AddNumber(described, "count", range->count);
    const auto shown = static_cast<std::int64_t>(range->keyValues.size());
    if (shown > 0 && shown < range->count) {
      described["more"] = true;
    }
  } else if (const auto* deleted = std::get_if<DeleteReply>(&aReply)) {
    AddNumber(described, "deleted", deleted->deleted);
  }
  return described;
}

const char* ResponseField(const OperationReply& aReply)
{
  constexpr std::array kNames = { "response_put",
                                  "response_range",
                                  "response_delete_range" };
  return kNames.at(aReply.index());
}

GatewayReply ErrorReply(unsigned aStatus, int aCode, const std::string& aMessage)
{
  const json body = { { "error", aMessage }, { "code", aCode }, { "message", aMessage } };
  return { aStatus, body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

GatewayReply ErrorReply(StoreError aError)
{
  // Texts, gRPC codes and the HTTP statuses that the gateway maps them to, as in etcd.
  switch (aError) {
    case StoreError::EmptyKey:
      return ErrorReply(400, 3, "etcdserver: key is not provided");
    case StoreError::RequestTooLarge:
      return ErrorReply(400, 3, "etcdserver: request is too large");
    case StoreError::DuplicateKey:
      return ErrorReply(400, 3, "etcdserver: duplicate key given in txn request");
    case StoreError::LeaseNotFound:
      return ErrorReply(404, 5, "etcdserver: requested lease not found");
    case StoreError::LeaseExists:
      return ErrorReply(400, 9, "etcdserver: lease already exists");
    case StoreError::Compacted:
      return ErrorReply(
        400, 11, "etcdserver: mvcc: required revision has been compacted");
    case StoreError::None:
      break;
  }
  return {};
}

} // namespace

StoreGateway::StoreGateway(std::size_t aHistoryLimit)
  : state(aHistoryLimit)
{
}

GatewayReply StoreGateway::Call(const std::string& aPath,
                                const std::string& aBody,
                                TimePoint aNow)
{
  this->state.Expire(aNow);
  try {
    const json request = json::parse(aBody);
    ++this->calls[aPath];
    const auto before = this->state.Revision();
    GatewayReply reply = ErrorReply(404, 5, "Not Found");
    if (aPath == "/v3/kv/range") {
      reply = this->ServeTransaction({ {}, { ReadRangeOperation(request) }, {} }, true);
    } else if (aPath == "/v3/kv/put") {
      reply = this->ServeTransaction({ {}, { ReadPut(request) }, {} }, true);
    } else if (aPath == "/v3/kv/deleterange") {
      const DeleteOperation deletion{ ReadRange(request) };
      reply = this->ServeTransaction({ {}, { deletion }, {} }, true);
    } else if (aPath == "/v3/kv/txn") {
      reply = this->ServeTransaction(ReadTransaction(request), false);
    } else if (aPath.starts_with("/v3/lease/")) {
      reply = this->ServeLease(aPath.substr(aPath.rfind('/') + 1), request, aNow);
    }
    this->LogWritesSince(before + 1);
    return reply;
  } catch (const json::exception& error) {
    return ErrorReply(400, 3, error.what());
  } catch (const MalformedRequest& error) {
    return ErrorReply(400, 3, error.what());
  }
}

bool StoreGateway::IsLeaseWrite(const std::string& aPath)
{
  return aPath == "/v3/lease/grant" || aPath == "/v3/lease/revoke";
}

std::optional<WatchRequest> StoreGateway::ReadWatch(const std::string& aBody)
{
  try {
    const json request = json::parse(aBody);
    const json& create = Field(request, "create_request");
    WatchRequest watch{ ReadRange(create), Number(create, "start_revision") };
    if (watch.startRevision == 0) {
      watch.startRevision = this->state.Revision() + 1;
    }
    ++this->calls["/v3/watch"];
    return watch;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const MalformedRequest&) {
    return std::nullopt;
  }
}

std::string StoreGateway::WatchCreated() const
{
  const json line = { { "result",
                        { { "header", this->Header() }, { "created", true } } } };
  return line.dump() + "\n";
}

std::string StoreGateway::WatchEvents(WatchRequest& aWatch, bool& aCancelled) const
{
  const auto events = this->state.EventsSince(aWatch.range, aWatch.startRevision);
  json result = { { "header", this->Header() } };
  aCancelled = !events.HasValue();
  if (aCancelled) {
    result["canceled"] = true;
    AddNumber(result, "compact_revision", this->state.OldestRevision());
    return json{ { "result", std::move(result) } }.dump() + "\n";
  }
  aWatch.startRevision = std::max(aWatch.startRevision, this->state.Revision() + 1);
  if (events->empty()) {
    return "";
  }
  for (const auto& event : *events) {
    json described = { { "kv", Describe(event.keyValue) } };
    if (event.deletion) {
      described["type"] = "DELETE";
    }
    result["events"].push_back(std::move(described));
  }
  return json{ { "result", std::move(result) } }.dump() + "\n";
}

std::string StoreGateway::Log() const
{
  auto list = json::array();
  for (const auto& write : this->writes) {
    list.push_back({ { "key", write.key },
                     { "mod_revision", write.modRevision },
                     { "deletion", write.deletion } });
  }
  const json log = { { "calls", this->calls },
                     { "revision", this->state.Revision() },
                     { "writes", std::move(list) } };
  return log.dump(-1, ' ', false, json::error_handler_t::replace);
}

GatewayReply StoreGateway::ServeTransaction(const StoreTransaction& aTransaction,
                                            bool aSingle)
{
  const auto reply = this->state.Execute(aTransaction);
  if (!reply) {
    return ErrorReply(reply.LastReason());
  }
  const json header = this->Header();
  if (aSingle) {
    return { 200, Describe(reply->replies.front(), header).dump() };
  }
  json body = { { "header", header } };
  if (reply->succeeded) {
    body["succeeded"] = true;
  }
  const json inner = { { "revision", header["revision"] } };
  for (const auto& part : reply->replies) {
    body["responses"].push_back({ { ResponseField(part), Describe(part, inner) } });
  }
  return { 200, body.dump() };
}

GatewayReply StoreGateway::ServeLease(const std::string& aKind,
                                      const json& aRequest,
                                      TimePoint aNow)
{
  const auto id = Number(aRequest, "ID");
  json body;
  if (aKind == "grant") {
    const auto ttl = std::chrono::seconds(Number(aRequest, "TTL"));
    const auto granted = this->state.GrantLease(id, ttl, aNow);
    if (!granted) {
      return ErrorReply(granted.LastReason());
    }
    AddNumber(body, "ID", *granted);
    AddNumber(body, "TTL", ttl.count());
  } else if (aKind == "revoke") {
    const auto error = this->state.RevokeLease(id);
    if (error != StoreError::None) {
      return ErrorReply(error);
    }
  } else if (aKind == "keepalive") {
    const auto ttl = this->state.KeepAlive(id, aNow);
    AddNumber(body, "ID", id);
    AddNumber(body, "TTL", ttl.value_or(std::chrono::seconds(0)).count());
  } else {
    return ErrorReply(404, 5, "Not Found");
  }
  body["header"] = this->Header();
  return { 200, aKind == "keepalive" ? json{ { "result", body } }.dump() : body.dump() };
}

json StoreGateway::Header() const
{
  return { { "cluster_id", kClusterId },
           { "member_id", kMemberId },
           { "revision", std::to_string(this->state.Revision()) },
           { "raft_term", "2" } };
}

void StoreGateway::LogWritesSince(std::int64_t aRevision)
{
  static const KeyRange kAllKeys{ std::string(1, '\0'), std::string(1, '\0') };
  const auto events = this->state.EventsSince(kAllKeys, aRevision);
  if (!events) {
    return;
  }
  for (const auto& event : *events) {
    if (this->writes.size() < kMostLoggedWrites) {
      this->writes.push_back(
        { event.keyValue.key, event.keyValue.modRevision, event.deletion });
    }
  }
}

} // namespace toucanstand
