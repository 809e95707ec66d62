#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "KeyValueState.h"

namespace toucanstand {

/// A reply of the gateway: HTTP status and JSON text.
struct GatewayReply
{
  unsigned status = 200;
  std::string body;
};

/// What a watch asks for.
struct WatchRequest
{
  KeyRange range;
  /// First revision to report; 0 is the next change.
  std::int64_t startRevision = 0;
};

/// Translates the JSON gateway of etcd v3 to calls of KeyValueState and counts them.
///
/// As in etcd, 64-bit numbers are strings, keys and values are base64, fields with zero
/// values are left out of replies, and fields are accepted in both of protobuf's
/// spellings, `mod_revision` and `modRevision`.
class StoreGateway
{
public:
  explicit StoreGateway(std::size_t aHistoryLimit);

  /// Serves a call other than a watch. @param aPath for example `/v3/kv/range`
  [[nodiscard]] GatewayReply Call(const std::string& aPath,
                                  const std::string& aBody,
                                  TimePoint aNow);

  /// True for calls that grant or revoke a lease.
  [[nodiscard]] static bool IsLeaseWrite(const std::string& aPath);

  /// Reads and counts a watch; nothing when the request is malformed.
  [[nodiscard]] std::optional<WatchRequest> ReadWatch(const std::string& aBody);

  /// First line of a watch's stream.
  [[nodiscard]] std::string WatchCreated() const;

  /// One line with the changes since the watch's start revision, which moves behind
  /// them; empty when there is none. A watch from a compacted revision is cancelled.
  /// @param aCancelled set when the stream ends with the line
  [[nodiscard]] std::string WatchEvents(WatchRequest& aWatch, bool& aCancelled) const;

  /// Counts of calls by kind and all writes, for `GET /log`.
  [[nodiscard]] std::string Log() const;

  [[nodiscard]] KeyValueState& State() { return this->state; }

private:
  struct Write
  {
    std::string key;
    std::int64_t modRevision = 0;
    bool deletion = false;
  };

  [[nodiscard]] GatewayReply ServeTransaction(const StoreTransaction& aTransaction,
                                              bool aSingle);
  [[nodiscard]] GatewayReply ServeLease(const std::string& aKind,
                                        const nlohmann::json& aRequest,
                                        TimePoint aNow);
  [[nodiscard]] nlohmann::json Header() const;
  void LogWritesSince(std::int64_t aRevision);

  KeyValueState state;
  std::map<std::string, std::uint64_t> calls;
  std::vector<Write> writes;
};

} // namespace toucanstand
