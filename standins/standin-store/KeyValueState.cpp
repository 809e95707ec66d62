#include "KeyValueState.h"

#include <algorithm>
#include <tuple>
#include <type_traits>

namespace toucanstand {

namespace {

constexpr std::size_t kMostValueBytes = 1024UL * 1024;

const std::string kFromKeyOn(1, '\0');

template<typename T>
bool Compare(const T& aActual, CompareResult aResult, const T& aExpected)
{
  switch (aResult) {
    case CompareResult::Equal:
      return aActual == aExpected;
    case CompareResult::NotEqual:
      return aActual != aExpected;
    case CompareResult::Greater:
      return aActual > aExpected;
    case CompareResult::Less:
      return aActual < aExpected;
  }
  return false;
}

} // namespace

bool KeyRange::Contains(const std::string& aKey) const
{
  if (this->end.empty()) {
    return aKey == this->key;
  }
  return aKey >= this->key && (this->end == kFromKeyOn || aKey < this->end);
}

KeyValueState::KeyValueState(std::size_t aHistoryLimit)
  : historyLimit(aHistoryLimit)
{
}

Result<TransactionReply, StoreError> KeyValueState::Execute(
  const StoreTransaction& aTransaction)
{
  // Both branches are checked before anything runs, so that a rejected transaction
  // changes nothing.
  for (const auto* operations : { &aTransaction.success, &aTransaction.failure }) {
    if (const auto error = this->Validate(*operations); error != StoreError::None) {
      return error;
    }
  }
  const auto holds = [this](const Comparison& aComparison) {
    return this->Holds(aComparison);
  };
  TransactionReply reply;
  reply.succeeded = std::ranges::all_of(aTransaction.comparisons, holds);
  const auto next = this->revision + 1;
  for (const auto& operation :
       reply.succeeded ? aTransaction.success : aTransaction.failure) {
    reply.replies.push_back(std::visit(
      [this, next](const auto& aOperation) { return this->Apply(aOperation, next); },
      operation));
  }
  return reply;
}

Result<std::int64_t, StoreError> KeyValueState::GrantLease(std::int64_t aId,
                                                           std::chrono::seconds aTtl,
                                                           TimePoint aNow)
{
  auto id = aId;
  while (id == 0 || (aId == 0 && this->leases.contains(id))) {
    id = this->nextLease++;
  }
  if (this->leases.contains(id)) {
    return StoreError::LeaseExists;
  }
  this->leases[id] = { aTtl, aNow + aTtl, {} };
  return id;
}

StoreError KeyValueState::RevokeLease(std::int64_t aId)
{
  const auto found = this->leases.find(aId);
  if (found == this->leases.end()) {
    return StoreError::LeaseNotFound;
  }
  const auto attached = std::move(found->second.keys);
  this->leases.erase(found);
  const auto next = this->revision + 1;
  for (const auto& key : attached) {
    this->Apply(DeleteOperation{ { key, "" } }, next);
  }
  return StoreError::None;
}

std::optional<std::chrono::seconds> KeyValueState::KeepAlive(std::int64_t aId,
                                                             TimePoint aNow)
{
  const auto found = this->leases.find(aId);
  if (found == this->leases.end()) {
    return std::nullopt;
  }
  found->second.expiry = aNow + found->second.ttl;
  return found->second.ttl;
}

void KeyValueState::Expire(TimePoint aNow)
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expiry <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    std::ignore = this->RevokeLease(id);
  }
}

std::optional<TimePoint> KeyValueState::NextExpiry() const
{
  const auto earliest = std::ranges::min_element(
    this->leases, {}, [](const auto& aLease) { return aLease.second.expiry; });
  return earliest == this->leases.end() ? std::nullopt
                                        : std::optional(earliest->second.expiry);
}

Result<std::vector<StoreEvent>, StoreError> KeyValueState::EventsSince(
  const KeyRange& aRange,
  std::int64_t aRevision) const
{
  if (aRevision < this->oldestRevision) {
    return StoreError::Compacted;
  }
  std::vector<StoreEvent> events;
  const auto first =
    std::ranges::lower_bound(this->history, aRevision, {}, [](const StoreEvent& aEvent) {
      return aEvent.keyValue.modRevision;
    });
  std::copy_if(
    first,
    this->history.end(),
    std::back_inserter(events),
    [&aRange](const StoreEvent& aEvent) { return aRange.Contains(aEvent.keyValue.key); });
  return events;
}

StoreError KeyValueState::Validate(const std::vector<StoreOperation>& aOperations) const
{
  std::set<std::string> written;
  for (const auto& operation : aOperations) {
    const auto* put = std::get_if<PutOperation>(&operation);
    const auto* range = std::get_if<RangeOperation>(&operation);
    const auto* deletion = std::get_if<DeleteOperation>(&operation);
    const auto& key = put != nullptr     ? put->key
                      : range != nullptr ? range->range.key
                                         : deletion->range.key;
    if (key.empty()) {
      return StoreError::EmptyKey;
    }
    if (put == nullptr) {
      continue;
    }
    if (put->value.size() > kMostValueBytes) {
      return StoreError::RequestTooLarge;
    }
    if (put->lease != 0 && !this->leases.contains(put->lease)) {
      return StoreError::LeaseNotFound;
    }
    if (!written.insert(put->key).second) {
      return StoreError::DuplicateKey;
    }
  }
  return StoreError::None;
}

bool KeyValueState::Holds(const Comparison& aComparison) const
{
  static const KeyValue kMissing{};
  const auto found = this->keys.find(aComparison.key);
  // A comparison with the value of a missing key is false in etcd, whatever it asks.
  if (found == this->keys.end() && aComparison.target == CompareTarget::Value) {
    return false;
  }
  const KeyValue& actual = found == this->keys.end() ? kMissing : found->second;
  switch (aComparison.target) {
    case CompareTarget::Version:
      return Compare(actual.version, aComparison.result, aComparison.number);
    case CompareTarget::Create:
      return Compare(actual.createRevision, aComparison.result, aComparison.number);
    case CompareTarget::Mod:
      return Compare(actual.modRevision, aComparison.result, aComparison.number);
    case CompareTarget::Lease:
      return Compare(actual.lease, aComparison.result, aComparison.number);
    case CompareTarget::Value:
      return Compare(actual.value, aComparison.result, aComparison.value);
  }
  return false;
}

OperationReply KeyValueState::Apply(const PutOperation& aPut, std::int64_t aRevision)
{
  auto& entry = this->keys[aPut.key];
  this->Detach(entry);
  entry.key = aPut.key;
  entry.value = aPut.value;
  entry.createRevision = entry.version == 0 ? aRevision : entry.createRevision;
  entry.modRevision = aRevision;
  ++entry.version;
  entry.lease = aPut.lease;
  if (aPut.lease != 0) {
    this->leases[aPut.lease].keys.insert(aPut.key);
  }
  this->Record({ false, entry });
  return PutReply{};
}

OperationReply KeyValueState::Apply(const RangeOperation& aRange, std::int64_t)
{
  RangeReply reply;
  for (auto entry = this->keys.lower_bound(aRange.range.key);
       entry != this->keys.end() && aRange.range.Contains(entry->first);
       ++entry) {
    ++reply.count;
    const bool full = aRange.limit > 0 && reply.count > aRange.limit;
    if (aRange.countOnly || full) {
      continue;
    }
    reply.keyValues.push_back(entry->second);
    if (aRange.keysOnly) {
      reply.keyValues.back().value.clear();
    }
  }
  return reply;
}

OperationReply KeyValueState::Apply(const DeleteOperation& aDelete,
                                    std::int64_t aRevision)
{
  DeleteReply reply;
  auto entry = this->keys.lower_bound(aDelete.range.key);
  while (entry != this->keys.end() && aDelete.range.Contains(entry->first)) {
    this->Detach(entry->second);
    StoreEvent event;
    event.deletion = true;
    event.keyValue.key = entry->first;
    event.keyValue.modRevision = aRevision;
    this->Record(std::move(event));
    entry = this->keys.erase(entry);
    ++reply.deleted;
  }
  return reply;
}

void KeyValueState::Record(StoreEvent aEvent)
{
  this->revision = aEvent.keyValue.modRevision;
  this->history.push_back(std::move(aEvent));
  while (this->history.size() > this->historyLimit) {
    // A revision is kept as a whole or not at all.
    this->oldestRevision = this->history.front().keyValue.modRevision + 1;
    this->history.pop_front();
  }
}

void KeyValueState::Detach(const KeyValue& aKeyValue)
{
  const auto lease = this->leases.find(aKeyValue.lease);
  if (lease != this->leases.end()) {
    lease->second.keys.erase(aKeyValue.key);
  }
}

} // namespace toucanstand
