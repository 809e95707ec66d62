#include "Printing.h"

#include <iomanip>

#include <nlohmann/json.hpp>

#include "Table.h"

namespace toucanstand {

using nlohmann::json;

namespace {

/// Returns a field as text, or an empty text if it is missing: a process of another
/// version may not report it.
std::string FieldText(const json& aObject, const char* aName)
{
  const auto found = aObject.is_object() ? aObject.find(aName) : aObject.end();
  if (!aObject.is_object() || found == aObject.end()) {
    return {};
  }
  return Printable(found->is_string() ? found->get<std::string>() : found->dump());
}

void PrintGroups(const json& aPlacements, std::ostream& aOut)
{
  Table table({ "POOL", "GROUP", "HEAD", "READING", "WRITING", "SLOWNESS", "USED" });
  for (const auto& [pool, groups] : aPlacements.items()) {
    for (const auto& group : groups) {
      const bool isAvoided =
        FieldText(group, "avoided") == "true" || FieldText(group, "suspected") == "true";
      table.AddRow({ Printable(pool),
                     FieldText(group, "group"),
                     FieldText(group, "head"),
                     FieldText(group, "reading"),
                     FieldText(group, "writing"),
                     FieldText(group, "slowness"),
                     isAvoided ? "no" : "yes" });
    }
  }
  table.Print(aOut);
}

void PrintServers(const json& aServers, std::ostream& aOut)
{
  Table table({ "SERVER", "POOL", "ZONE", "DOMAIN", "GROUP", "STATE", "LEAVING" });
  for (const auto& server : aServers) {
    const auto group = server.is_object() ? server.value("group", json()) : json();
    table.AddRow({ FieldText(server, "id"),
                   FieldText(server, "pool"),
                   FieldText(server, "zone"),
                   FieldText(server, "domain"),
                   FieldText(group, "id"),
                   FieldText(group, "state"),
                   FieldText(server, "leaving") });
  }
  table.Print(aOut);
}

} // namespace

void PrintTimeline(const RequestTimeline& aTimeline, std::ostream& aOut)
{
  constexpr int kTimeWidth = 7;
  const auto entries = aTimeline.Entries();
  for (const auto& entry : entries) {
    aOut << std::setw(kTimeWidth) << entry.line.unixMs - entries.front().line.unixMs
         << " ms  " << Printable(entry.line.vm) << "  " << entry.text << '\n';
  }
  if (!aTimeline.IsEmpty()) {
    aOut << "cause: " << aTimeline.ExplainOutcome() << '\n';
  }
  if (aTimeline.DamagedLines() > 0) {
    aOut << aTimeline.DamagedLines() << " damaged lines were skipped\n";
  }
  if (aTimeline.OmittedLines() > 0) {
    aOut << aTimeline.OmittedLines()
         << " lines were omitted because of the processes' log budgets\n";
  }
  if (aTimeline.DroppedContextLines() > 0) {
    aOut << aTimeline.DroppedContextLines()
         << " lines about servers and groups were dropped to limit memory\n";
  }
}

void PrintServerState(const json& aState, std::ostream& aOut)
{
  Table summary({ "VM",
                  "CONFIGURATION",
                  "STORE AGE MS",
                  "LEADER TERM",
                  "PEERS",
                  "RELAY",
                  "IN FLIGHT" });
  summary.AddRow({ FieldText(aState, "id"),
                   FieldText(aState, "configuration_version"),
                   FieldText(aState, "store_age_ms"),
                   FieldText(aState, "leader_term"),
                   FieldText(aState, "peers"),
                   FieldText(aState, "relay"),
                   FieldText(aState, "in_flight") });
  summary.Print(aOut);
  aOut << '\n';
  PrintGroups(aState.value("placements", json::object()), aOut);
  aOut << '\n';
  PrintServers(aState.value("servers", json::array()), aOut);
}

} // namespace toucanstand
