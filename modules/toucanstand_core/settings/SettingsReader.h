#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "errors/Result.h"
#include "settings/SettingsError.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a program accepts for one key; compared with the page of settings.
struct SettingDescription
{
  std::string path;
  std::string type;
  /// Lowest and highest value or the choices; empty without bounds.
  std::string bounds;
  /// Empty when the key is required.
  std::optional<std::string> defaultText;
};

/// Reads one JSON object key by key and collects every broken rule.
///
/// A key that was never asked for is an error of Finish(). Nested readers share the
/// list of errors of their parent.
class SettingsReader
{
public:
  /// @param aDocument must outlive the reader.
  explicit SettingsReader(const nlohmann::json& aDocument);
  SettingsReader(const nlohmann::json& aDocument,
                 std::string aPath,
                 std::vector<SettingsError>& aErrors);

  /// A string; the default when the key is missing, an error when there is no default.
  std::string Text(std::string_view aKey, std::optional<std::string> aDefault = {});

  /// One of the given strings.
  std::string Choice(std::string_view aKey,
                     const std::vector<std::string>& aChoices,
                     std::optional<std::string> aDefault = {});

  /// A whole number in [aLowest, aHighest].
  std::int64_t Whole(std::string_view aKey,
                     std::int64_t aLowest,
                     std::int64_t aHighest,
                     std::optional<std::int64_t> aDefault = {});

  /// A number in [aLowest, aHighest].
  double Number(std::string_view aKey,
                double aLowest,
                double aHighest,
                std::optional<double> aDefault = {});

  bool Flag(std::string_view aKey, std::optional<bool> aDefault = {});

  /// A number of milliseconds in [aLowest, aHighest].
  Duration Milliseconds(std::string_view aKey,
                        Duration aLowest,
                        Duration aHighest,
                        std::optional<Duration> aDefault = {});

  /// A list of strings; empty when missing.
  std::vector<std::string> TextList(std::string_view aKey);

  /// A list of whole numbers of 64 bits without sign; empty when missing.
  std::vector<std::uint64_t> UnsignedList(std::string_view aKey);

  /// Calls back with a reader of a nested object. Nothing is called when it is missing.
  void Object(std::string_view aKey, const std::function<void(SettingsReader&)>& aRead);

  /// Calls back with a reader for each object of a list; none when missing.
  void ObjectList(std::string_view aKey,
                  const std::function<void(SettingsReader&)>& aRead);

  /// Calls back with key and reader for each member of an object of objects.
  void ObjectMap(std::string_view aKey,
                 const std::function<void(const std::string&, SettingsReader&)>& aRead);

  /// Records a broken rule that concerns several keys.
  void Reject(std::string_view aKey, SettingsRule aRule, std::string aExpectation);

  [[nodiscard]] bool Has(std::string_view aKey) const;

  /// Adds a description of every key that is asked for from now on, also by nested
  /// readers, to a list that outlives them.
  void DescribeInto(std::vector<SettingDescription>& aDescriptions)
  {
    this->descriptions = &aDescriptions;
  }

  /// Marks keys that nobody asked for as errors.
  void Finish();

  [[nodiscard]] const std::vector<SettingsError>& Errors() const { return *this->errors; }

private:
  const nlohmann::json* Find(std::string_view aKey, bool aRequired);
  void RejectValue(std::string_view aKey,
                   const nlohmann::json& aValue,
                   SettingsRule aRule,
                   std::string aExpectation);
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;
  void Describe(std::string_view aKey,
                std::string_view aType,
                std::string_view aBounds,
                std::optional<std::string> aDefault);
  SettingsReader Nested(const nlohmann::json& aDocument, std::string aPath);

  const nlohmann::json& document;
  std::string path;
  std::vector<SettingsError> ownErrors;
  std::vector<SettingsError>* errors;
  std::set<std::string, std::less<>> known;
  /// Null unless descriptions were asked for: messages are read with this class as well.
  std::vector<SettingDescription>* descriptions = nullptr;
};

/// Reads a JSON file. A missing file or malformed JSON is a SettingsError.
[[nodiscard]] Result<nlohmann::json, SettingsError> ReadJsonFile(
  const std::string& aPath);

} // namespace toucanstand
