#include "serialization/Datagram.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "serialization/BoundedJson.h"

namespace toucanstand {

using nlohmann::json;

namespace {

/// Rises when a field of any kind is removed or moved, or changes its type or meaning,
/// and not when one is appended: readers ignore what follows the fields that they know.
constexpr std::uint64_t kVersion = 5;
constexpr std::uint64_t kKinds = 4;
/// Version, kind and fields.
constexpr std::size_t kParts = 3;
/// Lists of a datagram; one holds fewer.
constexpr std::size_t kMostItems = 4096;
constexpr std::size_t kMostDepth = 6;

} // namespace

const char* Name(DatagramFailure aFailure)
{
  // In the order of the enumeration.
  constexpr std::array kNames = {
    "malformed", "other_version", "unknown_kind", "bad_field"
  };
  return kNames.at(static_cast<std::size_t>(aFailure));
}

std::vector<std::uint8_t> EncodeDatagram(DatagramKind aKind, json aFields)
{
  return json::to_msgpack(
    json::array({ kVersion, static_cast<std::uint64_t>(aKind), std::move(aFields) }));
}

Result<Datagram, DatagramFailure> DecodeDatagram(std::span<const std::uint8_t> aBytes,
                                                 std::size_t aMostBytes)
{
  auto document = DecodeMessagePack(aBytes, { aMostBytes, kMostDepth });
  if (!document || !document->is_array() || document->size() != kParts) {
    return DatagramFailure::Malformed;
  }
  FieldReader reader;
  const auto version = reader.Whole((*document)[0]);
  const auto kind = reader.Whole((*document)[1]);
  if (reader.Failed()) {
    return DatagramFailure::Malformed;
  }
  if (version != kVersion) {
    return DatagramFailure::OtherVersion;
  }
  if (kind >= kKinds) {
    return DatagramFailure::UnknownKind;
  }
  if (!(*document)[2].is_array()) {
    return DatagramFailure::Malformed;
  }
  return Datagram{ static_cast<DatagramKind>(kind), std::move((*document)[2]) };
}

double FieldReader::Number(const json& aValue)
{
  const bool good = aValue.is_number() && std::isfinite(aValue.get<double>()) &&
                    aValue.get<double>() >= 0;
  this->failed = this->failed || !good;
  return good ? std::min(aValue.get<double>(), kMaxNumber) : 0;
}

std::uint64_t FieldReader::Whole(const json& aValue)
{
  this->failed = this->failed || !aValue.is_number_unsigned();
  return aValue.is_number_unsigned() ? aValue.get<std::uint64_t>() : 0;
}

std::uint64_t FieldReader::Whole(const json& aValue, std::uint64_t aMost)
{
  const auto number = this->Whole(aValue);
  this->failed = this->failed || number > aMost;
  return number;
}

std::string FieldReader::Text(const json& aValue)
{
  this->failed = this->failed || !aValue.is_string();
  return aValue.is_string() ? aValue.get<std::string>() : std::string();
}

const json& FieldReader::List(const json& aValue, std::size_t aMinLength)
{
  static const json kEmpty = json::array();
  const bool good =
    aValue.is_array() && aValue.size() >= aMinLength && aValue.size() <= kMostItems;
  this->failed = this->failed || !good;
  return good ? aValue : kEmpty;
}

} // namespace toucanstand
