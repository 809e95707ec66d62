#include "store/ChangeRelay.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Key, revision and the other parts of a change.
constexpr std::size_t kChangeOverhead = 32;

/// A revision beyond the bound would make this copy ignore all later changes.
StoreRevision ReadRevision(FieldReader& aReader, const json& aValue)
{
  constexpr auto kMaxRevision =
    static_cast<std::uint64_t>((kMaxStoreHistory + 1) * (kMaxRevisionNumber + 1) - 1);
  return static_cast<StoreRevision>(aReader.Whole(aValue, kMaxRevision));
}

std::size_t SizeOf(const StoreChange& aChange)
{
  return kChangeOverhead + aChange.key.size() +
         (aChange.value ? aChange.value->size() : 0);
}

/// The first changes that fit into a datagram, whole revisions only; nothing when not
/// even the first revision fits.
std::optional<StoreChanges> FirstThatFit(const StoreChanges& aChanges)
{
  std::size_t bytes = 0;
  const auto tooMany =
    std::ranges::find_if(aChanges.changes, [&bytes](const StoreChange& aChange) {
      bytes += SizeOf(aChange);
      return bytes > kMostAnswerBytes;
    });
  if (tooMany == aChanges.changes.end()) {
    return aChanges;
  }
  StoreChanges first;
  std::ranges::copy_if(aChanges.changes.begin(),
                       tooMany,
                       std::back_inserter(first.changes),
                       [tooMany](const StoreChange& aChange) {
                         return aChange.revision < tooMany->revision;
                       });
  if (first.changes.empty()) {
    return std::nullopt;
  }
  first.at = first.changes.back().revision;
  first.age = aChanges.age;
  first.hasMore = true;
  return first;
}

} // namespace

std::vector<std::uint8_t> EncodeChangeQuery(const ChangeQuery& aQuery)
{
  return EncodeDatagram(
    DatagramKind::ChangeQuery,
    json::array({ aQuery.number, static_cast<std::uint64_t>(aQuery.after) }));
}

std::vector<std::uint8_t> EncodeChangeAnswer(const ChangeAnswer& aAnswer)
{
  ChangeAnswer answer = aAnswer;
  answer.changes.changes.clear();
  const auto first = aAnswer.known ? FirstThatFit(aAnswer.changes) : std::nullopt;
  answer.known = first.has_value();
  if (first) {
    answer.changes = *first;
  }
  return EncodeWholeAnswer(answer);
}

std::vector<std::uint8_t> EncodeWholeAnswer(const ChangeAnswer& aAnswer)
{
  json rows = json::array();
  for (const auto& change : aAnswer.changes.changes) {
    // A list, because a deleted key has no value.
    json value = json::array();
    if (change.value) {
      value.push_back(json::binary({ change.value->begin(), change.value->end() }));
    }
    rows.push_back(json::array(
      { change.key, static_cast<std::uint64_t>(change.revision), std::move(value) }));
  }
  const auto age = ToMilliseconds(aAnswer.changes.age).count();
  return EncodeDatagram(DatagramKind::ChangeAnswer,
                        json::array({ aAnswer.number,
                                      aAnswer.known,
                                      static_cast<std::uint64_t>(aAnswer.after),
                                      static_cast<std::uint64_t>(aAnswer.changes.at),
                                      static_cast<std::uint64_t>(age),
                                      aAnswer.changes.hasMore,
                                      std::move(rows) }));
}

Result<ChangeQuery, DatagramFailure> DecodeChangeQuery(const json& aFields)
{
  constexpr std::size_t kFields = 2;
  if (!aFields.is_array() || aFields.size() < kFields) {
    return DatagramFailure::BadField;
  }
  FieldReader reader;
  ChangeQuery query;
  query.number = reader.Whole(aFields[0]);
  query.after = ReadRevision(reader, aFields[1]);
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return query;
}

Result<ChangeAnswer, DatagramFailure> DecodeChangeAnswer(const json& aFields)
{
  constexpr std::size_t kFields = 7;
  constexpr std::size_t kChangeFields = 3;
  constexpr std::uint64_t kLongestAgeMs = 3'600'000;
  if (!aFields.is_array() || aFields.size() < kFields || !aFields[1].is_boolean() ||
      !aFields[5].is_boolean()) {
    return DatagramFailure::BadField;
  }
  FieldReader reader;
  ChangeAnswer answer;
  answer.number = reader.Whole(aFields[0]);
  answer.known = aFields[1].get<bool>();
  answer.after = ReadRevision(reader, aFields[2]);
  answer.changes.at = ReadRevision(reader, aFields[3]);
  answer.changes.age =
    std::chrono::milliseconds(std::min(reader.Whole(aFields[4]), kLongestAgeMs));
  answer.changes.hasMore = aFields[5].get<bool>();
  for (const auto& row : reader.List(aFields[6])) {
    const auto& items = reader.List(row, kChangeFields);
    if (items.empty()) {
      continue;
    }
    StoreChange change;
    change.key = reader.Text(items[0]);
    change.revision = ReadRevision(reader, items[1]);
    const auto& value = reader.List(items[2]);
    if (value.size() > 1 || (value.size() == 1 && !value[0].is_binary())) {
      return DatagramFailure::BadField;
    }
    if (!value.empty()) {
      const auto& bytes = value[0].get_binary();
      change.value = std::string(bytes.begin(), bytes.end());
    }
    answer.changes.changes.push_back(std::move(change));
  }
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return answer;
}

} // namespace toucanstand
