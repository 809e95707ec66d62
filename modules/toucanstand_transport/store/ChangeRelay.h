#pragma once

#include <cstdint>
#include <vector>

#include "serialization/Datagram.h"
#include "store/ChangeFeed.h"

namespace toucanstand {

/// Asks another process for the changes since a revision.
struct ChangeQuery
{
  /// Names the query in its answer.
  std::uint64_t number = 0;
  StoreRevision after = 0;
};

/// What the sender's copy of the store has, in answer to a query or unasked.
struct ChangeAnswer
{
  /// Of the query; 0 when the answer comes unasked.
  std::uint64_t number = 0;
  /// False when the sender can't tell; the store has to be asked.
  bool known = false;
  /// The changes are complete from this revision on.
  StoreRevision after = 0;
  StoreChanges changes;
};

/// Largest answer: what engines report while groups are formed fits in; a datagram has
/// at most 64 KiB.
constexpr std::size_t kMostAnswerBytes = 32U << 10U;

[[nodiscard]] std::vector<std::uint8_t> EncodeChangeQuery(const ChangeQuery& aQuery);
/// For a datagram: the first changes that fit. A first change that does not fit makes it
/// an answer that does not know.
[[nodiscard]] std::vector<std::uint8_t> EncodeChangeAnswer(const ChangeAnswer& aAnswer);
/// For a connection, however large.
[[nodiscard]] std::vector<std::uint8_t> EncodeWholeAnswer(const ChangeAnswer& aAnswer);

/// @param aFields of a datagram of that kind
[[nodiscard]] Result<ChangeQuery, DatagramFailure> DecodeChangeQuery(
  const nlohmann::json& aFields);
[[nodiscard]] Result<ChangeAnswer, DatagramFailure> DecodeChangeAnswer(
  const nlohmann::json& aFields);

} // namespace toucanstand
