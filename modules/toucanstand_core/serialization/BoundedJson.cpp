#include "serialization/BoundedJson.h"

#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

using nlohmann::json;

/// Stops at the first value that is nested too deep or named twice. nlohmann's binary
/// readers and its serializer recurse, so an unchecked document could exhaust the stack.
class StructureCheck : public nlohmann::json_sax<json>
{
public:
  explicit StructureCheck(const DecodeLimits& aLimits)
    : limits(aLimits)
  {
  }

  [[nodiscard]] DecodeFailure Failure() const { return this->failure; }

  // NOLINTBEGIN(readability-identifier-naming): the library's interface
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(json::number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(json::number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(json::number_float_t /*aValue*/,
                    const std::string& /*aText*/) override
  {
    return true;
  }
  bool string(std::string& /*aText*/) override { return true; }
  bool binary(json::binary_t& /*aBytes*/) override { return true; }
  bool start_object(std::size_t /*aSize*/) override
  {
    this->names.emplace_back();
    return this->Enter();
  }
  bool key(std::string& aText) override
  {
    const bool isAccepted = this->limits.duplicateNames == DuplicateNames::Accept ||
                            this->names.back().insert(aText).second;
    this->failure = isAccepted ? this->failure : DecodeFailure::DuplicateName;
    return isAccepted;
  }
  bool end_object() override
  {
    this->names.pop_back();
    return this->Leave();
  }
  bool start_array(std::size_t /*aSize*/) override { return this->Enter(); }
  bool end_array() override { return this->Leave(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const json::exception& /*aError*/) override
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Enter()
  {
    const bool isTooDeep = ++this->depth > this->limits.depth;
    this->failure = isTooDeep ? DecodeFailure::TooDeep : this->failure;
    return !isTooDeep;
  }

  bool Leave()
  {
    --this->depth;
    return true;
  }

  DecodeLimits limits;
  std::size_t depth = 0;
  /// Names of each object that has not ended.
  std::vector<std::set<std::string>> names;
  DecodeFailure failure = DecodeFailure::Malformed;
};

template<typename Bytes>
Result<json, DecodeFailure> Decode(const Bytes& aBytes,
                                   DecodeLimits aLimits,
                                   json::input_format_t aFormat)
{
  if (aBytes.size() > aLimits.bytes) {
    return DecodeFailure::TooLarge;
  }
  StructureCheck check(aLimits);
  if (!json::sax_parse(aBytes.begin(), aBytes.end(), &check, aFormat)) {
    return check.Failure();
  }
  json document = aFormat == json::input_format_t::json
                    ? json::parse(aBytes.begin(), aBytes.end(), nullptr, false)
                    : json::from_msgpack(aBytes.begin(), aBytes.end(), true, false);
  if (document.is_discarded()) {
    return DecodeFailure::Malformed;
  }
  return document;
}

} // namespace

const char* Name(DecodeFailure aFailure)
{
  switch (aFailure) {
    case DecodeFailure::TooLarge:
      return "too_large";
    case DecodeFailure::TooDeep:
      return "too_deep";
    case DecodeFailure::Malformed:
      return "malformed";
    case DecodeFailure::DuplicateName:
      return "duplicate_name";
  }
  return "malformed";
}

Result<json, DecodeFailure> DecodeJson(std::string_view aText, DecodeLimits aLimits)
{
  return Decode(aText, aLimits, json::input_format_t::json);
}

Result<json, DecodeFailure> DecodeMessagePack(std::span<const std::uint8_t> aBytes,
                                              DecodeLimits aLimits)
{
  return Decode(aBytes, aLimits, json::input_format_t::msgpack);
}

std::string EncodeJson(const json& aDocument)
{
  return aDocument.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace toucanstand
