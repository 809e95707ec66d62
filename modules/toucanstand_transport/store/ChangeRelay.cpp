#include "store/ChangeRelay.h"

#include <numeric>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Key, revision and the other parts of a change.
constexpr std::size_t kChangeOverhead = 32;

std::size_t SizeOf(const StoreChanges& aChanges)
{
  return std::accumulate(aChanges.changes.begin(),
                         aChanges.changes.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const StoreChange& aChange) {
                           return aSum + kChangeOverhead + aChange.key.size() +
                                  (aChange.value ? aChange.value->size() : 0);
                         });
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
  const bool known = aAnswer.known && SizeOf(aAnswer.changes) <= kMostAnswerBytes;
  json rows = json::array();
  if (known) {
    for (const auto& change : aAnswer.changes.changes) {
      // A list, because a deleted key has no value.
      json value = json::array();
      if (change.value) {
        value.push_back(json::binary({ change.value->begin(), change.value->end() }));
      }
      rows.push_back(json::array(
        { change.key, static_cast<std::uint64_t>(change.revision), std::move(value) }));
    }
  }
  const auto age = ToMilliseconds(aAnswer.changes.age).count();
  return EncodeDatagram(DatagramKind::ChangeAnswer,
                        json::array({ aAnswer.number,
                                      known,
                                      static_cast<std::uint64_t>(aAnswer.after),
                                      static_cast<std::uint64_t>(aAnswer.changes.at),
                                      static_cast<std::uint64_t>(age),
                                      std::move(rows) }));
}

Result<ChangeQuery, DatagramFailure> DecodeChangeQuery(const json& aFields)
{
  constexpr std::size_t kFields = 2;
  if (!aFields.is_array() || aFields.size() != kFields) {
    return DatagramFailure::BadField;
  }
  FieldReader reader;
  ChangeQuery query;
  query.number = reader.Whole(aFields[0]);
  query.after = static_cast<StoreRevision>(reader.Whole(aFields[1]));
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return query;
}

Result<ChangeAnswer, DatagramFailure> DecodeChangeAnswer(const json& aFields)
{
  constexpr std::size_t kFields = 6;
  constexpr std::size_t kChangeFields = 3;
  constexpr std::uint64_t kLongestAgeMs = 3'600'000;
  if (!aFields.is_array() || aFields.size() != kFields || !aFields[1].is_boolean()) {
    return DatagramFailure::BadField;
  }
  FieldReader reader;
  ChangeAnswer answer;
  answer.number = reader.Whole(aFields[0]);
  answer.known = aFields[1].get<bool>();
  answer.after = static_cast<StoreRevision>(reader.Whole(aFields[2]));
  answer.changes.at = static_cast<StoreRevision>(reader.Whole(aFields[3]));
  answer.changes.age =
    std::chrono::milliseconds(std::min(reader.Whole(aFields[4]), kLongestAgeMs));
  for (const auto& row : reader.List(aFields[5])) {
    const auto& items = reader.List(row, kChangeFields);
    if (items.empty()) {
      continue;
    }
    StoreChange change;
    change.key = reader.Text(items[0]);
    change.revision = static_cast<StoreRevision>(reader.Whole(items[1]));
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
