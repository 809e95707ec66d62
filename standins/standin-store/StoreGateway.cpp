#include "StoreGateway.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "GatewayJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr std::size_t kMostLoggedWrites = 1'000'000;
// Identifiers that etcd puts in each header; any constant serves.
constexpr const char* kClusterId = "14841639068965178418";
constexpr const char* kMemberId = "10276657743932975437";

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
      reply = this->ServeTransaction({ {}, { ReadPutOperation(request) }, {} }, true);
    } else if (aPath == "/v3/kv/deleterange") {
      const DeleteOperation deletion{ ReadKeyRange(request) };
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
    const json& create = ReadField(request, "create_request");
    WatchRequest watch{ ReadKeyRange(create), ReadNumber(create, "start_revision") };
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
    json described = { { "kv", DescribeKeyValue(event.keyValue) } };
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
    return { 200, DescribeReply(reply->replies.front(), header).dump() };
  }
  json body = { { "header", header } };
  if (reply->succeeded) {
    body["succeeded"] = true;
  }
  const json inner = { { "revision", header["revision"] } };
  for (const auto& part : reply->replies) {
    body["responses"].push_back({ { ResponseField(part), DescribeReply(part, inner) } });
  }
  return { 200, body.dump() };
}

GatewayReply StoreGateway::ServeLease(const std::string& aKind,
                                      const json& aRequest,
                                      TimePoint aNow)
{
  const auto id = ReadNumber(aRequest, "ID");
  json body;
  if (aKind == "grant") {
    const auto ttl = std::chrono::seconds(ReadNumber(aRequest, "TTL"));
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
