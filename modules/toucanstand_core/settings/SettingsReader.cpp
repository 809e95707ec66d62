#include "settings/SettingsReader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

std::string RangeText(double aLowest, double aHighest)
{
  std::ostringstream out;
  out << std::fixed;
  out.precision(aLowest == static_cast<std::int64_t>(aLowest) ? 0 : 3);
  out << aLowest << " to " << aHighest;
  return out.str();
}

} // namespace

SettingsReader::SettingsReader(const nlohmann::json& aDocument)
  : document(aDocument)
  , errors(&this->ownErrors)
{
  if (!aDocument.is_object()) {
    this->errors->push_back({ "", EncodeJson(aDocument), SettingsRule::IsObject, "" });
  }
}

SettingsReader::SettingsReader(const nlohmann::json& aDocument,
                               std::string aPath,
                               std::vector<SettingsError>& aErrors)
  : document(aDocument)
  , path(std::move(aPath))
  , errors(&aErrors)
{
  if (!aDocument.is_object()) {
    this->errors->push_back(
      { this->path, EncodeJson(aDocument), SettingsRule::IsObject, "" });
  }
}

std::string SettingsReader::Text(std::string_view aKey,
                                 std::optional<std::string> aDefault)
{
  this->Describe(aKey, "string", "", aDefault);
  const auto* value = this->Find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or("");
  }
  if (!value->is_string()) {
    this->RejectValue(aKey, *value, SettingsRule::IsText, "");
    return aDefault.value_or("");
  }
  return value->get<std::string>();
}

std::string SettingsReader::Choice(std::string_view aKey,
                                   const std::vector<std::string>& aChoices,
                                   std::optional<std::string> aDefault)
{
  const std::string text = this->Text(aKey, std::move(aDefault));
  std::string expectation;
  for (const auto& choice : aChoices) {
    expectation += (expectation.empty() ? "" : ", ") + choice;
  }
  if (this->descriptions != nullptr) {
    this->descriptions->back().bounds = expectation;
  }
  if (this->Has(aKey) && std::ranges::find(aChoices, text) == aChoices.end()) {
    this->RejectValue(aKey, nlohmann::json(text), SettingsRule::OneOf, expectation);
  }
  return text;
}

std::int64_t SettingsReader::Whole(std::string_view aKey,
                                   std::int64_t aLowest,
                                   std::int64_t aHighest,
                                   std::optional<std::int64_t> aDefault)
{
  if (this->descriptions != nullptr) {
    const std::string bounds =
      std::to_string(aLowest) + " to " + std::to_string(aHighest);
    this->Describe(aKey,
                   "whole",
                   bounds,
                   aDefault ? std::optional(std::to_string(*aDefault)) : std::nullopt);
  }
  const auto* value = this->Find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(aLowest);
  }
  const std::string range =
    RangeText(static_cast<double>(aLowest), static_cast<double>(aHighest));
  if (!value->is_number_integer()) {
    this->RejectValue(aKey, *value, SettingsRule::IsNumber, "whole, " + range);
    return aDefault.value_or(aLowest);
  }
  // A value above the signed range would wrap to a negative number.
  const bool tooLarge =
    value->is_number_unsigned() &&
    value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  const auto number = tooLarge ? INT64_MAX : value->get<std::int64_t>();
  if (tooLarge || number < aLowest || number > aHighest) {
    this->RejectValue(aKey, *value, SettingsRule::InRange, range);
    return aDefault.value_or(aLowest);
  }
  return number;
}

double SettingsReader::Number(std::string_view aKey,
                              double aLowest,
                              double aHighest,
                              std::optional<double> aDefault)
{
  if (this->descriptions != nullptr) {
    this->Describe(aKey,
                   "number",
                   RangeText(aLowest, aHighest),
                   aDefault ? std::optional(nlohmann::json(*aDefault).dump())
                            : std::nullopt);
  }
  const auto* value = this->Find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(aLowest);
  }
  if (!value->is_number()) {
    this->RejectValue(aKey, *value, SettingsRule::IsNumber, RangeText(aLowest, aHighest));
    return aDefault.value_or(aLowest);
  }
  const auto number = value->get<double>();
  if (number < aLowest || number > aHighest) {
    this->RejectValue(aKey, *value, SettingsRule::InRange, RangeText(aLowest, aHighest));
    return aDefault.value_or(aLowest);
  }
  return number;
}

bool SettingsReader::Flag(std::string_view aKey, std::optional<bool> aDefault)
{
  if (this->descriptions != nullptr) {
    this->Describe(aKey,
                   "flag",
                   "",
                   aDefault ? std::optional(nlohmann::json(*aDefault).dump())
                            : std::nullopt);
  }
  const auto* value = this->Find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(false);
  }
  if (!value->is_boolean()) {
    this->RejectValue(aKey, *value, SettingsRule::IsFlag, "");
    return aDefault.value_or(false);
  }
  return value->get<bool>();
}

Duration SettingsReader::Milliseconds(std::string_view aKey,
                                      Duration aLowest,
                                      Duration aHighest,
                                      std::optional<Duration> aDefault)
{
  std::optional<std::int64_t> defaultCount;
  if (aDefault) {
    defaultCount = ToMilliseconds(*aDefault).count();
  }
  return std::chrono::milliseconds(this->Whole(aKey,
                                               ToMilliseconds(aLowest).count(),
                                               ToMilliseconds(aHighest).count(),
                                               defaultCount));
}

std::vector<std::string> SettingsReader::TextList(std::string_view aKey)
{
  this->Describe(aKey, "list of strings", "", "[]");
  const auto* value = this->Find(aKey, false);
  if (value == nullptr) {
    return {};
  }
  const auto isText = [](const nlohmann::json& aItem) { return aItem.is_string(); };
  if (!value->is_array() || !std::ranges::all_of(*value, isText)) {
    this->RejectValue(aKey, *value, SettingsRule::IsList, "of strings");
    return {};
  }
  return value->get<std::vector<std::string>>();
}

std::vector<std::uint64_t> SettingsReader::UnsignedList(std::string_view aKey)
{
  this->Describe(aKey, "list of whole numbers", "", "[]");
  const auto* value = this->Find(aKey, false);
  if (value == nullptr) {
    return {};
  }
  const auto isUnsigned = [](const nlohmann::json& aItem) {
    return aItem.is_number_unsigned();
  };
  if (!value->is_array() || !std::ranges::all_of(*value, isUnsigned)) {
    this->RejectValue(aKey, *value, SettingsRule::IsList, "of unsigned whole numbers");
    return {};
  }
  return value->get<std::vector<std::uint64_t>>();
}

void SettingsReader::Object(std::string_view aKey,
                            const std::function<void(SettingsReader&)>& aRead)
{
  this->Describe(aKey, "object", "", "{}");
  const auto* value = this->Find(aKey, false);
  if (value == nullptr) {
    return;
  }
  auto nested = this->Nested(*value, this->PathOf(aKey));
  aRead(nested);
  nested.Finish();
}

void SettingsReader::ObjectList(std::string_view aKey,
                                const std::function<void(SettingsReader&)>& aRead)
{
  this->Describe(aKey, "list of objects", "", "[]");
  const auto* value = this->Find(aKey, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    this->RejectValue(aKey, *value, SettingsRule::IsList, "of objects");
    return;
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    auto nested =
      this->Nested((*value)[index], this->PathOf(aKey) + "/" + std::to_string(index));
    aRead(nested);
    nested.Finish();
  }
}

void SettingsReader::ObjectMap(
  std::string_view aKey,
  const std::function<void(const std::string&, SettingsReader&)>& aRead)
{
  this->Describe(aKey, "object of objects", "", "{}");
  const auto* value = this->Find(aKey, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    this->RejectValue(aKey, *value, SettingsRule::IsObject, "");
    return;
  }
  for (const auto& [name, member] : value->items()) {
    auto nested = this->Nested(member, this->PathOf(aKey) + "/" + name);
    aRead(name, nested);
    nested.Finish();
  }
}

void SettingsReader::Reject(std::string_view aKey,
                            SettingsRule aRule,
                            std::string aExpectation)
{
  const auto* value = this->Find(aKey, false);
  this->errors->push_back({ this->PathOf(aKey),
                            value == nullptr ? "" : EncodeJson(*value),
                            aRule,
                            std::move(aExpectation) });
}

bool SettingsReader::Has(std::string_view aKey) const
{
  return this->document.is_object() && this->document.contains(aKey);
}

void SettingsReader::Finish()
{
  if (!this->document.is_object()) {
    return;
  }
  for (const auto& [key, value] : this->document.items()) {
    if (!this->known.contains(key)) {
      this->errors->push_back(
        { this->PathOf(key), EncodeJson(value), SettingsRule::KnownKey, "" });
    }
  }
}

const nlohmann::json* SettingsReader::Find(std::string_view aKey, bool aRequired)
{
  this->known.emplace(aKey);
  if (!this->Has(aKey)) {
    if (aRequired && this->document.is_object()) {
      this->errors->push_back({ this->PathOf(aKey), "", SettingsRule::Required, "" });
    }
    return nullptr;
  }
  return &*this->document.find(aKey);
}

void SettingsReader::RejectValue(std::string_view aKey,
                                 const nlohmann::json& aValue,
                                 SettingsRule aRule,
                                 std::string aExpectation)
{
  this->errors->push_back(
    { this->PathOf(aKey), EncodeJson(aValue), aRule, std::move(aExpectation) });
}

std::string SettingsReader::PathOf(std::string_view aKey) const
{
  return this->path + "/" + std::string(aKey);
}

void SettingsReader::Describe(std::string_view aKey,
                              std::string_view aType,
                              std::string_view aBounds,
                              std::optional<std::string> aDefault)
{
  if (this->descriptions != nullptr) {
    this->descriptions->push_back({ this->PathOf(aKey),
                                    std::string(aType),
                                    std::string(aBounds),
                                    std::move(aDefault) });
  }
}

SettingsReader SettingsReader::Nested(const nlohmann::json& aDocument, std::string aPath)
{
  SettingsReader nested(aDocument, std::move(aPath), *this->errors);
  nested.descriptions = this->descriptions;
  return nested;
}

Result<nlohmann::json, SettingsError> ReadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return SettingsError{ aPath, "", SettingsRule::ReadableFile, "" };
  }
  auto document = nlohmann::json::parse(file, nullptr, false);
  if (document.is_discarded()) {
    return SettingsError{ aPath, "", SettingsRule::ValidJson, "" };
  }
  return document;
}

} // namespace toucanstand
