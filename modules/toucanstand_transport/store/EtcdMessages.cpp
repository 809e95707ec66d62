#include "store/EtcdMessages.h"

#include <charconv>

#include "store/Base64.h"

namespace toucanstand {

using nlohmann::json;

std::int64_t ReadWhole(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<std::int64_t>();
  }
  const auto* text = found->get_ptr<const json::string_t*>();
  std::int64_t number = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

std::optional<StoredValue> ReadKeyValue(const json& aObject)
{
  const auto text = [&aObject](const char* aKey) -> std::optional<std::string> {
    const auto found = aObject.find(aKey);
    if (found == aObject.end() || !found->is_string()) {
      return std::string();
    }
    return DecodeBase64(found->get_ref<const std::string&>());
  };
  if (!aObject.is_object()) {
    return std::nullopt;
  }
  auto key = text("key");
  auto value = text("value");
  if (!key || !value) {
    return std::nullopt;
  }
  return StoredValue{ std::move(*key),
                      std::move(*value),
                      ReadWhole(aObject, "mod_revision") };
}

json Comparison(const std::string& aKey,
                const char* aTarget,
                const char* aField,
                StoreRevision aValue)
{
  return { { "key", EncodeBase64(aKey) },
           { "target", aTarget },
           { "result", "EQUAL" },
           { aField, std::to_string(aValue) } };
}

json PutRequest(const std::string& aKey, const std::string& aValue, StoreLease aLease)
{
  json put = { { "key", EncodeBase64(aKey) }, { "value", EncodeBase64(aValue) } };
  if (aLease != 0) {
    put["lease"] = std::to_string(aLease);
  }
  return { { "request_put", put } };
}

json KeyBody(const std::string& aKey)
{
  return { { "key", EncodeBase64(aKey) } };
}

json IdBody(StoreLease aLease)
{
  return { { "ID", std::to_string(aLease) } };
}

json GrantBody(std::chrono::seconds aDuration)
{
  return { { "TTL", std::to_string(aDuration.count()) }, { "ID", "0" } };
}

json WatchBody(const std::string& aKey, StoreRevision aFrom)
{
  return { { "create_request",
             { { "key", EncodeBase64(aKey) },
               { "start_revision", std::to_string(aFrom) } } } };
}

json TransactionBody(json aCompare, json aOperation)
{
  json body = json::object();
  body["compare"].push_back(std::move(aCompare));
  body["success"].push_back(std::move(aOperation));
  return body;
}

std::string PrefixEnd(std::string aPrefix)
{
  aPrefix.back() = static_cast<char>(aPrefix.back() + 1);
  return aPrefix;
}

} // namespace toucanstand
