#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <nlohmann/json.hpp>

#include "errors/Result.h"

namespace toucanstand {

/// What a datagram between entry VMs carries.
enum class DatagramKind
{
  LoadReport,
  ChangeQuery,
  ChangeAnswer,
  /// Between relays of different zones. Earlier builds drop it as of an unknown kind.
  ZoneAggregate,
};

/// Why a datagram was dropped.
enum class DatagramFailure
{
  Malformed,
  /// A program of another version sent it.
  OtherVersion,
  UnknownKind,
  /// A field is missing or of another type.
  BadField,
};

/// Name of a failure for metrics.
[[nodiscard]] const char* Name(DatagramFailure aFailure);

/// A datagram whose fields are still to be read.
struct Datagram
{
  DatagramKind kind = DatagramKind::LoadReport;
  /// A list; positions instead of names, because most of the traffic between entry VMs
  /// consists of these.
  nlohmann::json fields;
};

/// A UDP datagram is smaller.
constexpr std::size_t kMostDatagramBytes = 64U << 10U;

[[nodiscard]] std::vector<std::uint8_t> EncodeDatagram(DatagramKind aKind,
                                                       nlohmann::json aFields);

/// @param aMostBytes larger ones are malformed
[[nodiscard]] Result<Datagram, DatagramFailure> DecodeDatagram(
  std::span<const std::uint8_t> aBytes,
  std::size_t aMostBytes = kMostDatagramBytes);

/// Reads fields from outside by position and remembers whether one of them was missing
/// or of another type.
class FieldReader
{
public:
  /// Sums and products of such numbers stay finite and fit into 64 bits.
  static constexpr double kMaxNumber = 1e15;

  [[nodiscard]] bool Failed() const { return this->failed; }

  /// A finite number of 0 or more; one beyond kMaxNumber counts as kMaxNumber.
  double Number(const nlohmann::json& aValue);
  std::uint64_t Whole(const nlohmann::json& aValue);
  /// Like Whole(), but fails for a larger number.
  std::uint64_t Whole(const nlohmann::json& aValue, std::uint64_t aMost);
  std::string Text(const nlohmann::json& aValue);
  /// A list of at least that length, to which a later build may have appended fields; an
  /// empty list when it is none.
  const nlohmann::json& List(const nlohmann::json& aValue, std::size_t aMinLength = 0);

private:
  bool failed = false;
};

} // namespace toucanstand
