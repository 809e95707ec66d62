#include "GatewayJson.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "store/Base64.h"

namespace toucanstand {

namespace {

using nlohmann::json;

std::string CamelCase(const std::string& aName)
{
  std::string camel;
  for (std::size_t index = 0; index < aName.size(); ++index) {
    const bool joint = aName[index] == '_' && index + 1 < aName.size();
    camel += joint ? static_cast<char>(std::toupper(aName[++index])) : aName[index];
  }
  return camel;
}

bool Flag(const json& aObject, const std::string& aName)
{
  const json& field = ReadField(aObject, aName);
  return field.is_boolean() && field.get<bool>();
}

std::string Bytes(const json& aObject, const std::string& aName)
{
  const json& field = ReadField(aObject, aName);
  if (field.is_null()) {
    return "";
  }
  const auto bytes =
    field.is_string() ? DecodeBase64(field.get<std::string>()) : std::nullopt;
  if (!bytes) {
    throw MalformedRequest("illegal base64 data in field " + aName);
  }
  return *bytes;
}

/// An enumeration, by name or by number as protobuf's JSON mapping allows.
template<typename Enum, std::size_t Count>
Enum Choice(const json& aObject,
            const std::string& aName,
            const std::array<const char*, Count>& aNames)
{
  const json& field = ReadField(aObject, aName);
  if (field.is_null()) {
    return Enum{};
  }
  for (std::size_t index = 0; index < Count; ++index) {
    if (field == json(aNames.at(index)) || field == json(index)) {
      return static_cast<Enum>(index);
    }
  }
  throw MalformedRequest("unknown value for enum in field " + aName);
}

std::vector<StoreOperation> ReadOperations(const json& aList)
{
  std::vector<StoreOperation> operations;
  for (const auto& item : aList) {
    if (const auto& put = ReadField(item, "request_put"); !put.is_null()) {
      operations.emplace_back(ReadPutOperation(put));
    } else if (const auto& range = ReadField(item, "request_range"); !range.is_null()) {
      operations.emplace_back(ReadRangeOperation(range));
    } else if (const auto& gone = ReadField(item, "request_delete_range");
               !gone.is_null()) {
      operations.emplace_back(DeleteOperation{ ReadKeyRange(gone) });
    } else {
      throw MalformedRequest("unknown operation in a transaction");
    }
  }
  return operations;
}

Comparison ReadComparison(const json& aItem)
{
  // In protobuf's numbering, and in the order of the enumerations.
  constexpr std::array kTargets = { "VERSION", "CREATE", "MOD", "VALUE", "LEASE" };
  constexpr std::array kResults = { "EQUAL", "GREATER", "LESS", "NOT_EQUAL" };
  constexpr std::array kNumbers = {
    "version", "create_revision", "mod_revision", "", "lease"
  };
  Comparison comparison;
  comparison.target = Choice<CompareTarget>(aItem, "target", kTargets);
  comparison.result = Choice<CompareResult>(aItem, "result", kResults);
  comparison.key = Bytes(aItem, "key");
  if (comparison.target == CompareTarget::Value) {
    comparison.value = Bytes(aItem, "value");
  } else {
    comparison.number =
      ReadNumber(aItem, kNumbers.at(static_cast<std::size_t>(comparison.target)));
  }
  return comparison;
}

} // namespace

const json& ReadField(const json& aObject, const std::string& aName)
{
  static const json kNull;
  if (!aObject.is_object()) {
    throw MalformedRequest("json: cannot unmarshal a value that is not an object");
  }
  for (const auto& name : { aName, CamelCase(aName) }) {
    if (const auto found = aObject.find(name); found != aObject.end()) {
      return *found;
    }
  }
  return kNull;
}

std::int64_t ReadNumber(const json& aObject, const std::string& aName)
{
  const json& field = ReadField(aObject, aName);
  if (field.is_null()) {
    return 0;
  }
  if (field.is_number_integer()) {
    return field.get<std::int64_t>();
  }
  const auto text = field.is_string() ? field.get<std::string>() : std::string();
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    throw MalformedRequest("json: cannot unmarshal field " + aName + " into int64");
  }
  return number;
}

KeyRange ReadKeyRange(const json& aRequest)
{
  return { Bytes(aRequest, "key"), Bytes(aRequest, "range_end") };
}

PutOperation ReadPutOperation(const json& aRequest)
{
  return { Bytes(aRequest, "key"),
           Bytes(aRequest, "value"),
           ReadNumber(aRequest, "lease") };
}

RangeOperation ReadRangeOperation(const json& aRequest)
{
  if (ReadNumber(aRequest, "revision") != 0) {
    throw MalformedRequest("reading at an old revision is not supported");
  }
  return { ReadKeyRange(aRequest),
           ReadNumber(aRequest, "limit"),
           Flag(aRequest, "count_only"),
           Flag(aRequest, "keys_only") };
}

StoreTransaction ReadTransaction(const json& aRequest)
{
  StoreTransaction transaction;
  for (const auto& item : ReadField(aRequest, "compare")) {
    transaction.comparisons.push_back(ReadComparison(item));
  }
  transaction.success = ReadOperations(ReadField(aRequest, "success"));
  transaction.failure = ReadOperations(ReadField(aRequest, "failure"));
  return transaction;
}

void AddNumber(json& aObject, const char* aName, std::int64_t aNumber)
{
  if (aNumber != 0) {
    aObject[aName] = std::to_string(aNumber);
  }
}

json DescribeKeyValue(const KeyValue& aKeyValue)
{
  json described = { { "key", EncodeBase64(aKeyValue.key) } };
  AddNumber(described, "create_revision", aKeyValue.createRevision);
  AddNumber(described, "mod_revision", aKeyValue.modRevision);
  AddNumber(described, "version", aKeyValue.version);
  AddNumber(described, "lease", aKeyValue.lease);
  if (!aKeyValue.value.empty()) {
    described["value"] = EncodeBase64(aKeyValue.value);
  }
  return described;
}

json DescribeReply(const OperationReply& aReply, const json& aHeader)
{
  json described = { { "header", aHeader } };
  if (const auto* range = std::get_if<RangeReply>(&aReply)) {
    for (const auto& keyValue : range->keyValues) {
      described["kvs"].push_back(DescribeKeyValue(keyValue));
    }
    AddNumber(described, "count", range->count);
    const auto shown = static_cast<std::int64_t>(range->keyValues.size());
    if (shown > 0 && shown < range->count) {
      described["more"] = true;
    }
  } else if (const auto* deleted = std::get_if<DeleteReply>(&aReply)) {
    AddNumber(described, "deleted", deleted->deleted);
  }
  return described;
}

const char* ResponseField(const OperationReply& aReply)
{
  constexpr std::array kNames = { "response_put",
                                  "response_range",
                                  "response_delete_range" };
  return kNames.at(aReply.index());
}

} // namespace toucanstand
