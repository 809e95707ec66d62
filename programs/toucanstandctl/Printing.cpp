#include "Printing.h"

#include <iomanip>

#include <nlohmann/json.hpp>

#include "Table.h"

namespace toucanstand {

using nlohmann::json;

namespace {

/// A field as text; empty when it is missing, because another version may have answered.
std::string Field(const json& aObject, const char* aName)
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
      const bool unused =
        Field(group, "avoided") == "true" || Field(group, "suspected") == "true";
      table.Add({ Printable(pool),
                  Field(group, "group"),
                  Field(group, "head"),
                  Field(group, "reading"),
                  Field(group, "writing"),
                  Field(group, "slowness"),
                  unused ? "no" : "yes" });
    }
  }
  table.Print(aOut);
}

void PrintServers(const json& aServers, std::ostream& aOut)
{
  Table table({ "SERVER", "POOL", "ZONE", "DOMAIN", "GROUP", "STATE", "LEAVING" });
  for (const auto& server : aServers) {
    const auto group = server.is_object() ? server.value("group", json()) : json();
    table.Add({ Field(server, "id"),
                Field(server, "pool"),
                Field(server, "zone"),
                Field(server, "domain"),
                Field(group, "id"),
                Field(group, "state"),
                Field(server, "leaving") });
  }
  table.Print(aOut);
}

} // namespace

void PrintStory(const RequestStory& aStory, std::ostream& aOut)
{
  constexpr int kTimeWidth = 7;
  const auto entries = aStory.Entries();
  for (const auto& entry : entries) {
    aOut << std::setw(kTimeWidth) << entry.line.unixMs - entries.front().line.unixMs
         << " ms  " << Printable(entry.line.vm) << "  " << entry.text << '\n';
  }
  if (!aStory.IsEmpty()) {
    aOut << "cause: " << aStory.Cause() << '\n';
  }
  if (aStory.Damaged() > 0) {
    aOut << aStory.Damaged() << " damaged lines were skipped\n";
  }
  if (aStory.LeftOut() > 0) {
    aOut << aStory.LeftOut() << " lines were left out by the processes' log budgets\n";
  }
  if (aStory.Dropped() > 0) {
    aOut << aStory.Dropped() << " lines on servers and groups were not kept\n";
  }
}

void PrintServer(const json& aState, std::ostream& aOut)
{
  Table summary({ "VM",
                  "CONFIGURATION",
                  "STORE AGE MS",
                  "LEADER TERM",
                  "PEERS",
                  "RELAY",
                  "IN FLIGHT" });
  summary.Add({ Field(aState, "id"),
                Field(aState, "configuration_version"),
                Field(aState, "store_age_ms"),
                Field(aState, "leader_term"),
                Field(aState, "peers"),
                Field(aState, "relay"),
                Field(aState, "in_flight") });
  summary.Print(aOut);
  aOut << '\n';
  PrintGroups(aState.value("placements", json::object()), aOut);
  aOut << '\n';
  PrintServers(aState.value("servers", json::array()), aOut);
}

} // namespace toucanstand
