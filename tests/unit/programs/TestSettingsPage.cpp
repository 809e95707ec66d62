#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "ControlSettings.h"
#include "EntrySettings.h"
#include "GroupsSettings.h"
#include "LedgerSettings.h"
#include "NodeSettings.h"
#include "ServerSettings.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

using SettingsReadFunction = std::function<void(SettingsReader&)>;

const std::map<std::string, SettingsReadFunction>& ReadFunctionsByProgram()
{
  static const std::map<std::string, SettingsReadFunction> kReadFunctions = {
    { "toucanstand-entry", [](auto& aReader) { (void)ReadEntrySettings(aReader); } },
    { "toucanstand-groups", [](auto& aReader) { (void)ReadGroupsSettings(aReader); } },
    { "toucanstand-ledger", [](auto& aReader) { (void)ReadLedgerSettings(aReader); } },
    { "toucanstand-node", [](auto& aReader) { (void)ReadNodeSettings(aReader); } },
    { "toucanstand-server", [](auto& aReader) { (void)ReadServerSettings(aReader); } },
    { "toucanstandctl", [](auto& aReader) { (void)ReadControlSettings(aReader); } },
  };
  return kReadFunctions;
}

std::vector<SettingDescription> DescriptionsOf(const SettingsReadFunction& aRead,
                                               const json& aDocument)
{
  std::vector<SettingDescription> descriptions;
  SettingsReader reader(aDocument);
  reader.DescribeInto(descriptions);
  aRead(reader);
  return descriptions;
}

/// Returns the smallest document that contains every object and list of objects. The
/// reader does not describe the keys of an absent object.
json DocumentWithAllObjects(const SettingsReadFunction& aRead)
{
  json document = json::object();
  for (std::size_t previousSize = 0; previousSize != document.flatten().size() + 1;) {
    previousSize = document.flatten().size() + 1;
    for (const auto& setting : DescriptionsOf(aRead, document)) {
      const json::json_pointer pointer(setting.path);
      if (setting.type == "object" && !document.contains(pointer)) {
        document[pointer] = json::object();
      } else if (setting.type == "list of objects" && !document.contains(pointer)) {
        document[pointer] = json::array({ json::object() });
      }
    }
  }
  return document;
}

std::string DocumentedRow(const SettingDescription& aSetting)
{
  auto path = aSetting.path;
  if (const auto index = path.find("/0/"); index != std::string::npos) {
    path.replace(index, 3, "/N/");
  }
  std::string fallback = "required";
  if (aSetting.defaultText) {
    fallback = aSetting.defaultText->empty() ? "" : "`" + *aSetting.defaultText + "`";
  }
  return "| `" + path + "` | " + aSetting.type + " | " + aSetting.bounds + " | " +
         fallback + " | ";
}

/// Returns the rows of each program's table without the column that explains the setting.
std::map<std::string, std::set<std::string>> DocumentedRows()
{
  std::map<std::string, std::set<std::string>> rows;
  std::ifstream documentedRows(TOUCANSTAND_DOCS_DIRECTORY "/settings.md");
  std::string program;
  for (std::string line; std::getline(documentedRows, line);) {
    if (line.starts_with("## ")) {
      program = line.substr(3);
    } else if (line.starts_with("| `/")) {
      const auto meaning = line.rfind(" | ");
      rows[program].insert(line.substr(0, meaning + 3));
    }
  }
  return rows;
}

} // namespace

TEST_CASE("The settings page matches the settings that the programs read", "[settings]")
{
  // Guards against keys, types, bounds or defaults that differ between page and code.
  setenv("USER", "$USER", 1);
  auto documentedRows = DocumentedRows();
  for (const auto& [program, read] : ReadFunctionsByProgram()) {
    INFO(program);
    std::set<std::string> rows;
    for (const auto& setting : DescriptionsOf(read, DocumentWithAllObjects(read))) {
      rows.insert(DocumentedRow(setting));
    }
    CHECK(documentedRows[program] == rows);
  }
}

TEST_CASE("Every setting rejects a wrong type and every object an unknown key",
          "[settings]")
{
  // Guards against a misspelled or wrongly typed setting that silently keeps the default.
  for (const auto& [program, read] : ReadFunctionsByProgram()) {
    const auto completeDocument = DocumentWithAllObjects(read);
    for (const auto& setting : DescriptionsOf(read, completeDocument)) {
      INFO(program << ' ' << setting.path);
      auto document = completeDocument;
      document[json::json_pointer(setting.path)] = nullptr;
      SettingsReader reader(document);
      read(reader);
      CHECK(std::ranges::any_of(reader.Errors(), [&](const SettingsError& aError) {
        return aError.path == setting.path && aError.rule != SettingsRule::Required;
      }));
      if (setting.type == "object" || setting.type == "list of objects") {
        document = completeDocument;
        const auto objectPath = setting.path + (setting.type == "object" ? "" : "/0");
        document[json::json_pointer(objectPath + "/surplus")] = 1;
        SettingsReader second(document);
        read(second);
        CHECK(std::ranges::any_of(second.Errors(), [&](const SettingsError& aError) {
          return aError.path == objectPath + "/surplus" &&
                 aError.rule == SettingsRule::KnownKey;
        }));
      }
    }
  }
}
