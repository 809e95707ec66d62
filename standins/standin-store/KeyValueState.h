#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "errors/Result.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Why the store rejected a call, as etcd names it.
enum class StoreError
{
  None,
  EmptyKey,
  RequestTooLarge,
  LeaseNotFound,
  LeaseExists,
  Compacted,
  DuplicateKey,
};

/// A key with its value and versions.
struct KeyValue
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// One change of one key; a deletion carries only key and modification revision.
struct StoreEvent
{
  bool deletion = false;
  KeyValue keyValue;
};

/// The keys a call concerns: one key; all in [key, end) when end is given; all from key
/// on when end is a single zero byte.
struct KeyRange
{
  std::string key;
  std::string end;

  [[nodiscard]] bool Contains(const std::string& aKey) const;
};

struct PutOperation
{
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

struct RangeOperation
{
  KeyRange range;
  /// 0 is no limit.
  std::int64_t limit = 0;
  bool countOnly = false;
  bool keysOnly = false;
};

struct DeleteOperation
{
  KeyRange range;
};

using StoreOperation = std::variant<PutOperation, RangeOperation, DeleteOperation>;

enum class CompareTarget
{
  Version,
  Create,
  Mod,
  Value,
  Lease,
};

enum class CompareResult
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

/// One condition of a transaction.
struct Comparison
{
  CompareTarget target = CompareTarget::Version;
  CompareResult result = CompareResult::Equal;
  std::string key;
  std::int64_t number = 0;
  std::string value;
};

struct StoreTransaction
{
  std::vector<Comparison> comparisons;
  std::vector<StoreOperation> success;
  std::vector<StoreOperation> failure;
};

struct RangeReply
{
  std::vector<KeyValue> keyValues;
  /// All keys in the range, also those beyond the limit.
  std::int64_t count = 0;
};

struct PutReply
{};

struct DeleteReply
{
  std::int64_t deleted = 0;
};

using OperationReply = std::variant<PutReply, RangeReply, DeleteReply>;

struct TransactionReply
{
  bool succeeded = false;
  std::vector<OperationReply> replies;
};

/// State machine of the key-value store: keys, revisions, leases and the history that
/// watches read, with the semantics of etcd v3 for the calls that the stand-in serves.
///
/// It does no I/O. Time comes with each call, and expired leases end in Expire().
class KeyValueState
{
public:
  /// @param aHistoryLimit events kept for watches that start in the past
  explicit KeyValueState(std::size_t aHistoryLimit);

  /// Runs the operations atomically under one revision, which grows by one when
  /// something changed. A single put, range or delete is a transaction without
  /// comparisons.
  [[nodiscard]] Result<TransactionReply, StoreError> Execute(
    const StoreTransaction& aTransaction);

  /// @param aId 0 picks a free one
  [[nodiscard]] Result<std::int64_t, StoreError> GrantLease(std::int64_t aId,
                                                            std::chrono::seconds aTtl,
                                                            TimePoint aNow);

  /// Ends a lease and deletes its keys under one revision.
  [[nodiscard]] StoreError RevokeLease(std::int64_t aId);

  /// @returns the time to live, or nothing when the lease does not exist.
  [[nodiscard]] std::optional<std::chrono::seconds> KeepAlive(std::int64_t aId,
                                                              TimePoint aNow);

  /// Ends the leases that expired by aNow.
  void Expire(TimePoint aNow);

  /// When Expire() is due; nothing without leases.
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const;

  /// Changes in a range from a revision on.
  [[nodiscard]] Result<std::vector<StoreEvent>, StoreError> EventsSince(
    const KeyRange& aRange,
    std::int64_t aRevision) const;

  [[nodiscard]] std::int64_t Revision() const { return this->revision; }

  /// The oldest revision that watches can still start from.
  [[nodiscard]] std::int64_t OldestRevision() const { return this->oldestRevision; }

private:
  struct Lease
  {
    std::chrono::seconds ttl{ 0 };
    TimePoint expiry{};
    std::set<std::string> keys;
  };

  [[nodiscard]] StoreError Validate(const std::vector<StoreOperation>& aOperations) const;
  [[nodiscard]] bool Holds(const Comparison& aComparison) const;
  OperationReply Apply(const PutOperation& aPut, std::int64_t aRevision);
  OperationReply Apply(const RangeOperation& aRange, std::int64_t aRevision);
  OperationReply Apply(const DeleteOperation& aDelete, std::int64_t aRevision);
  void Record(StoreEvent aEvent);
  void Detach(const KeyValue& aKeyValue);

  std::size_t historyLimit;
  // etcd's empty store has revision 1, so that 0 can mean "does not exist".
  std::int64_t revision = 1;
  std::int64_t oldestRevision = 1;
  std::map<std::string, KeyValue> keys;
  std::deque<StoreEvent> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t nextLease = 1000;
};

} // namespace toucanstand
