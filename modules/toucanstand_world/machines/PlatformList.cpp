#include "machines/PlatformList.h"

#include <nlohmann/json.hpp>

#include "settings/EndpointSetting.h"

namespace toucanstand {

namespace {

Vm ReadVm(SettingsReader& aReader)
{
  Vm vm;
  vm.id = VmId(aReader.Text("id"));
  vm.zone = ZoneId(aReader.Text("zone"));
  vm.nodeEndpoint = ReadEndpoint(aReader, "node");
  return vm;
}

BackendServer ReadServer(SettingsReader& aReader)
{
  BackendServer server;
  server.id = ServerId(aReader.Text("id"));
  server.pool = PoolId(aReader.Text("pool"));
  server.zone = ZoneId(aReader.Text("zone"));
  server.domain = DomainId(aReader.Text("domain", ""));
  server.endpoint = ReadEndpoint(aReader, "address");
  server.kind = aReader.Choice("kind", { "engine", "service" }) == "engine"
                  ? ServerKind::Engine
                  : ServerKind::Service;
  server.fencing =
    aReader.Choice("fencing", { "checked", "ignored" }, "ignored") == "checked"
      ? FencingSupport::Checked
      : FencingSupport::Ignored;
  server.leaving = aReader.Flag("leaving", false);
  return server;
}

} // namespace

Result<PlatformList, SettingsError> ParsePlatformList(const std::string& aText,
                                                      std::int64_t aRevision)
{
  const auto document = nlohmann::json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return SettingsError{ "", "", SettingsRule::ValidJson, "" };
  }
  PlatformList list;
  list.revision = aRevision;
  SettingsReader reader(document);
  reader.ObjectList(
    "entry_vms", [&list](SettingsReader& aVm) { list.entryVms.push_back(ReadVm(aVm)); });
  reader.ObjectList("servers", [&list](SettingsReader& aServer) {
    list.servers.push_back(ReadServer(aServer));
  });
  reader.Finish();
  if (!reader.Errors().empty()) {
    return reader.Errors().front();
  }
  return list;
}

std::string FormatPlatformList(const PlatformList& aList)
{
  nlohmann::json document = { { "entry_vms", nlohmann::json::array() },
                              { "servers", nlohmann::json::array() } };
  for (const auto& vm : aList.entryVms) {
    document["entry_vms"].push_back({ { "id", vm.id.Value() },
                                      { "zone", vm.zone.Value() },
                                      { "node", vm.nodeEndpoint.Text() } });
  }
  for (const auto& server : aList.servers) {
    document["servers"].push_back(
      { { "id", server.id.Value() },
        { "pool", server.pool.Value() },
        { "zone", server.zone.Value() },
        { "domain", server.domain.Value() },
        { "address", server.endpoint.Text() },
        { "kind", server.kind == ServerKind::Engine ? "engine" : "service" },
        { "fencing", server.fencing == FencingSupport::Checked ? "checked" : "ignored" },
        { "leaving", server.leaving } });
  }
  return document.dump();
}

} // namespace toucanstand
