#include "Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "Printing.h"
#include "RequestTimeline.h"
#include "Table.h"
#include "hashing/Fingerprint.h"
#include "random/Random.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr auto kAcceptancePollInterval = std::chrono::milliseconds(200);

std::string TextOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

/// Returns the value at a JSON pointer, or null if it is missing: a process of another
/// version may not report it.
json ValueAt(const json& aDocument, const std::string& aPointer)
{
  const json::json_pointer pointer(aPointer);
  return aDocument.contains(pointer) ? aDocument.at(pointer) : json();
}

ExitCode PrintUsageError(const std::string& aText)
{
  std::cerr << "toucanstandctl: " << aText << '\n';
  return ExitCode::Usage;
}

std::string NewNonce()
{
  Random random(SystemSeed());
  return HashHex128(std::to_string(random.Engine()()) + "/" +
                    std::to_string(SystemSeed()));
}

} // namespace

struct Commands::Command
{
  std::vector<std::string> words;
  std::string argumentHelp;
  std::size_t argumentCount = 0;
  ExitCode (Commands::*run)(const Arguments&) = nullptr;
  /// Whether more than `argumentCount` arguments are allowed.
  bool acceptsMoreArguments = false;
};

const std::vector<Commands::Command>& Commands::AllCommands()
{
  static const std::vector<Command> kCommands = {
    { { "defaults", "show" }, "", 0, &Commands::ShowDefaults },
    { { "defaults", "set" },
      "PATH VALUE --reason=TEXT",
      2,
      &Commands::ChangeDefaultValue },
    { { "exceptions", "list" }, "", 0, &Commands::ListExceptions },
    { { "exceptions", "add" },
      "KIND/NAME VALUES --reason=TEXT",
      2,
      &Commands::AddException },
    { { "exceptions", "remove" },
      "KIND/NAME --reason=TEXT",
      1,
      &Commands::DeleteException },
    { { "apply" }, "FILE --reason=TEXT [--wait]", 1, &Commands::Apply },
    { { "nodes" }, "", 0, &Commands::ShowNodes },
    { { "groups" }, "", 0, &Commands::ShowGroups },
    { { "revisions" }, "", 0, &Commands::ShowRevisions },
    { { "dump" }, "ADDRESS:PORT", 1, &Commands::Dump },
    { { "drain" }, "ADDRESS:PORT", 1, &Commands::Drain },
    { { "server" }, "ADDRESS:PORT", 1, &Commands::ShowServer },
    { { "explain" }, "REQUEST [FILE...]", 1, &Commands::Explain, true },
  };
  return kCommands;
}

Commands::Commands(ControlSettings aSettings)
  : settings(std::move(aSettings))
  , client(this->settings)
{
}

std::string Commands::Usage()
{
  std::string usage = "Commands:";
  for (const auto& command : AllCommands()) {
    usage += "\n ";
    for (const auto& word : command.words) {
      usage.append(" ").append(word);
    }
    if (!command.argumentHelp.empty()) {
      usage.append(" ").append(command.argumentHelp);
    }
  }
  return usage;
}

ExitCode Commands::Run(const std::vector<std::string>& aArguments)
{
  for (const auto& command : AllCommands()) {
    const auto words = command.words.size();
    const auto minArguments = words + command.argumentCount;
    const bool matchesArgumentCount = command.acceptsMoreArguments
                                        ? aArguments.size() >= minArguments
                                        : aArguments.size() == minArguments;
    if (matchesArgumentCount &&
        std::equal(command.words.begin(), command.words.end(), aArguments.begin())) {
      return (this->*command.run)(
        { aArguments.begin() + static_cast<long>(words), aArguments.end() });
    }
  }
  return PrintUsageError("unknown command\n" + Usage());
}

ExitCode Commands::ShowDefaults(const Arguments&)
{
  const auto document = this->FetchJson(this->settings.node, "/configuration");
  if (document.is_null()) {
    return ExitCode::Failure;
  }
  if (this->settings.json) {
    std::cout << document.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "PATH", "VALUE" });
  const auto defaults = ValueAt(document, "/defaults").flatten();
  for (const auto& [path, value] : defaults.items()) {
    table.AddRow({ path, TextOf(value) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ChangeDefaultValue(const Arguments& aArguments)
{
  return this->CommitChange(SetDefault(aArguments[0], aArguments[1]));
}

ExitCode Commands::ListExceptions(const Arguments&)
{
  const auto document = this->FetchJson(this->settings.node, "/configuration");
  if (document.is_null()) {
    return ExitCode::Failure;
  }
  const auto exceptions = ValueAt(document, "/exceptions");
  if (this->settings.json) {
    std::cout << exceptions.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "SCOPE", "VALUES", "REASON" });
  for (const auto& exception : exceptions) {
    table.AddRow({ TextOf(ValueAt(exception, "/scope/kind")) + "/" +
                     TextOf(ValueAt(exception, "/scope/name")),
                   ValueAt(exception, "/set").dump(),
                   TextOf(ValueAt(exception, "/reason")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::AddException(const Arguments& aArguments)
{
  const auto scope = ParseScope(aArguments[0]);
  if (!scope) {
    return PrintUsageError(aArguments[0] + ": the scope must be KIND/NAME, where KIND is "
                                           "account, pool, contract, vm or zone");
  }
  return this->CommitChange(PutException(*scope, this->settings.reason, aArguments[1]));
}

ExitCode Commands::DeleteException(const Arguments& aArguments)
{
  const auto scope = ParseScope(aArguments[0]);
  if (!scope) {
    return PrintUsageError(aArguments[0] + ": the scope must have the form KIND/NAME");
  }
  return this->CommitChange(RemoveException(*scope));
}

ExitCode Commands::Apply(const Arguments& aArguments)
{
  std::ifstream file(aArguments[0], std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return PrintUsageError(aArguments[0] + ": cannot read the file");
  }
  // The revision in the file is the one that its author edited; the change is based on
  // it.
  std::optional<std::int64_t> base;
  const auto document = DecodeJson(text.str());
  if (document && document->is_object() && document->contains("revision") &&
      (*document)["revision"].is_number_integer()) {
    base = (*document)["revision"].get<std::int64_t>();
  }
  return this->CommitChange(ReplaceConfiguration(text.str()), base);
}

ExitCode Commands::ShowNodes(const Arguments&)
{
  const auto state = this->FetchJson(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto members = ValueAt(state, "/state/membership/members");
  if (this->settings.json) {
    std::cout << members.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "NODE", "ZONE", "ADDRESS", "STATE", "LEAVING", "INCARNATION" });
  table.AddRow({ TextOf(ValueAt(state, "/state/id")),
                 TextOf(ValueAt(state, "/state/zone")),
                 "(asked)",
                 TextOf(ValueAt(state, "/state/configuration/isolation/state")),
                 TextOf(ValueAt(state, "/state/membership/leaving")),
                 TextOf(ValueAt(state, "/state/membership/incarnation")) });
  for (const auto& member : members) {
    table.AddRow({ TextOf(ValueAt(member, "/id")),
                   TextOf(ValueAt(member, "/zone")),
                   TextOf(ValueAt(member, "/node")),
                   TextOf(ValueAt(member, "/state")),
                   TextOf(ValueAt(member, "/leaving")),
                   TextOf(ValueAt(member, "/incarnation")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ShowGroups(const Arguments&)
{
  const auto state = this->FetchJson(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto groups = ValueAt(state, "/state/groups");
  if (this->settings.json) {
    std::cout << groups.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "GROUP", "POOL", "GENERATION", "MEMBERS", "FIRST" });
  for (const auto& group : groups) {
    table.AddRow({ TextOf(ValueAt(group, "/id")),
                   TextOf(ValueAt(group, "/pool")),
                   TextOf(ValueAt(group, "/generation")),
                   TextOf(ValueAt(group, "/members")),
                   TextOf(ValueAt(group, "/server")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ShowRevisions(const Arguments&)
{
  const auto state = this->FetchJson(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto configuration = ValueAt(state, "/state/configuration");
  if (this->settings.json) {
    std::cout << configuration.dump(2) << '\n';
    return ExitCode::Success;
  }
  std::cout << "revision " << TextOf(ValueAt(configuration, "/acceptance/revision"))
            << " is " << TextOf(ValueAt(configuration, "/acceptance/state")) << '\n';
  Table table({ "NODE", "REVISION", "HEARD MS AGO" });
  const auto revisions = ValueAt(configuration, "/revisions");
  for (const auto& [node, entry] : revisions.items()) {
    table.AddRow(
      { node, TextOf(ValueAt(entry, "/revision")), TextOf(ValueAt(entry, "/age_ms")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::Dump(const Arguments& aArguments)
{
  return this->PrintResponse(aArguments[0], "/state", "GET", [](const json& aState) {
    std::cout << aState.dump(2) << '\n';
  });
}

ExitCode Commands::Drain(const Arguments& aArguments)
{
  return this->PrintResponse(aArguments[0], "/drain", "POST", [&aArguments](const json&) {
    std::cout << Endpoint::Parse(aArguments[0])->Text() << " is draining\n";
  });
}

ExitCode Commands::ShowServer(const Arguments& aArguments)
{
  return this->PrintResponse(aArguments[0], "/state", "GET", [this](const json& aState) {
    if (this->settings.json) {
      std::cout << ValueAt(aState, "/state").dump(2) << '\n';
    } else {
      PrintServerState(ValueAt(aState, "/state"), std::cout);
    }
  });
}

ExitCode Commands::PrintResponse(const std::string& aAddress,
                                 const std::string& aTarget,
                                 const std::string& aMethod,
                                 const std::function<void(const json&)>& aPrint)
{
  const auto endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    return PrintUsageError(aAddress + ": must be ADDRESS:PORT");
  }
  const auto answer = this->FetchJson(*endpoint, aTarget, aMethod);
  if (answer.is_null()) {
    return ExitCode::Failure;
  }
  aPrint(answer);
  return ExitCode::Success;
}

ExitCode Commands::Explain(const Arguments& aArguments)
{
  RequestTimeline timeline(aArguments[0]);
  const auto read = [&timeline](std::istream& aInput) {
    for (std::string line; std::getline(aInput, line);) {
      timeline.AddLine(line);
    }
  };
  const Arguments files(aArguments.begin() + 1, aArguments.end());
  if (files.empty()) {
    read(std::cin);
  }
  for (const auto& name : files) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
      return PrintUsageError(name + ": cannot read the file");
    }
    read(file);
  }
  if (this->settings.json) {
    std::cout << timeline.ToJson().dump(2, ' ', true, json::error_handler_t::replace)
              << '\n';
  } else {
    PrintTimeline(timeline, std::cout);
  }
  if (timeline.IsEmpty()) {
    std::cerr << "toucanstandctl: no log line contains the request id\n";
    return ExitCode::Failure;
  }
  return ExitCode::Success;
}

json Commands::FetchJson(const Endpoint& aEndpoint,
                         const std::string& aTarget,
                         const std::string& aMethod)
{
  const auto response = this->client.SendRequest(aEndpoint, aMethod, aTarget);
  std::string failure;
  if (!response) {
    failure = Name(response.LastReason());
  } else if (response->status / 100 != 2) {
    failure = "status " + std::to_string(response->status) + " " + response->body;
  } else if (auto document = DecodeJson(response->body, { 16U << 20U, 64 })) {
    return std::move(*document);
  } else {
    failure = "the response is not valid JSON";
  }
  std::cerr << "toucanstandctl: " << aEndpoint.Text() << aTarget << ": " << failure
            << '\n';
  return {};
}

ExitCode Commands::CommitChange(ConfigurationEdit aEdit,
                                std::optional<std::int64_t> aBase)
{
  if (this->settings.reason.find_first_not_of(" \t\n") == std::string::npos) {
    return PrintUsageError("--reason=TEXT is required for a change");
  }
  if (this->settings.author.empty()) {
    return PrintUsageError("--author=NAME is required for a change");
  }
  ConfigurationChange change({ this->settings.author,
                               NewNonce(),
                               this->settings.reason,
                               std::move(aEdit),
                               aBase });
  return this->PrintChangeOutcome(this->client.CommitChange(change));
}

ExitCode Commands::PrintChangeOutcome(const ChangeOutcome& aOutcome)
{
  if (aOutcome.result == ChangeResult::Committed) {
    std::cout << "revision " << aOutcome.revision << " is committed\n";
    for (const auto& scope : aOutcome.scopesServingIsolated) {
      std::cout << "not covered by acceptance: " << Describe(scope)
                << " may serve while isolated\n";
    }
    return this->settings.wait ? this->AwaitAcceptance(aOutcome.revision)
                               : ExitCode::Success;
  }
  std::cerr << "toucanstandctl: " << Name(aOutcome.result);
  if (!aOutcome.author.empty()) {
    std::cerr << ": the store holds revision " << aOutcome.revision << " by "
              << aOutcome.author;
  }
  std::cerr << '\n';
  for (const auto& error : aOutcome.errors) {
    std::cerr << "  " << Describe(error) << '\n';
  }
  return ExitCode::Failure;
}

ExitCode Commands::AwaitAcceptance(std::int64_t aRevision)
{
  const auto deadline = BootClock::now() + this->settings.waitTimeout;
  json acceptance;
  while (BootClock::now() < deadline) {
    const auto state = this->FetchJson(this->settings.node, "/state");
    acceptance = ValueAt(state, "/state/configuration/acceptance");
    const auto revision = ValueAt(acceptance, "/revision");
    // An accepted later revision includes this change.
    if (revision.is_number_integer() && revision.get<std::int64_t>() >= aRevision &&
        ValueAt(acceptance, "/state") == "accepted") {
      std::cout << "revision " << aRevision << " is accepted\n";
      return ExitCode::Success;
    }
    this->client.WaitFor(kAcceptancePollInterval);
  }
  std::cerr << "toucanstandctl: revision " << aRevision
            << " is pending, not confirmed by " << ValueAt(acceptance, "/missing").dump()
            << '\n';
  return ExitCode::Failure;
}

} // namespace toucanstand
