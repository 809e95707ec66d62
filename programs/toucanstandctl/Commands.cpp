#include "Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "Printing.h"
#include "RequestStory.h"
#include "Table.h"
#include "hashing/Fingerprint.h"
#include "random/Random.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr auto kWaitInterval = std::chrono::milliseconds(200);

std::string TextOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

/// Value at a JSON pointer; null when there is none, because another version of the
/// program may have answered.
json At(const json& aDocument, const std::string& aPointer)
{
  const json::json_pointer pointer(aPointer);
  return aDocument.contains(pointer) ? aDocument.at(pointer) : json();
}

ExitCode WrongUsage(const std::string& aText)
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
  std::string argumentNames;
  std::size_t arguments = 0;
  ExitCode (Commands::*run)(const Arguments&) = nullptr;
  /// More arguments than those may follow.
  bool mayHaveMore = false;
};

const std::vector<Commands::Command>& Commands::All()
{
  static const std::vector<Command> kCommands = {
    { { "defaults", "show" }, "", 0, &Commands::ShowDefaults },
    { { "defaults", "set" }, "PATH VALUE --reason=TEXT", 2, &Commands::ChangeDefault },
    { { "exceptions", "list" }, "", 0, &Commands::ListExceptions },
    { { "exceptions", "add" },
      "KIND/NAME VALUES --reason=TEXT",
      2,
      &Commands::AddException },
    { { "exceptions", "remove" },
      "KIND/NAME --reason=TEXT",
      1,
      &Commands::DropException },
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
  , connections(this->settings)
{
}

std::string Commands::Usage()
{
  std::string usage = "Commands:";
  for (const auto& command : All()) {
    usage += "\n ";
    for (const auto& word : command.words) {
      usage.append(" ").append(word);
    }
    if (!command.argumentNames.empty()) {
      usage.append(" ").append(command.argumentNames);
    }
  }
  return usage;
}

ExitCode Commands::Run(const std::vector<std::string>& aArguments)
{
  for (const auto& command : All()) {
    const auto words = command.words.size();
    const auto least = words + command.arguments;
    const bool fits =
      command.mayHaveMore ? aArguments.size() >= least : aArguments.size() == least;
    if (fits &&
        std::equal(command.words.begin(), command.words.end(), aArguments.begin())) {
      return (this->*command.run)(
        { aArguments.begin() + static_cast<long>(words), aArguments.end() });
    }
  }
  return WrongUsage("no such command\n" + Usage());
}

ExitCode Commands::ShowDefaults(const Arguments&)
{
  const auto document = this->Fetch(this->settings.node, "/configuration");
  if (document.is_null()) {
    return ExitCode::Failure;
  }
  if (this->settings.json) {
    std::cout << document.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "PATH", "VALUE" });
  const auto defaults = At(document, "/defaults").flatten();
  for (const auto& [path, value] : defaults.items()) {
    table.Add({ path, TextOf(value) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ChangeDefault(const Arguments& aArguments)
{
  return this->Change(SetDefault(aArguments[0], aArguments[1]));
}

ExitCode Commands::ListExceptions(const Arguments&)
{
  const auto document = this->Fetch(this->settings.node, "/configuration");
  if (document.is_null()) {
    return ExitCode::Failure;
  }
  const auto exceptions = At(document, "/exceptions");
  if (this->settings.json) {
    std::cout << exceptions.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "SCOPE", "VALUES", "REASON" });
  for (const auto& exception : exceptions) {
    table.Add(
      { TextOf(At(exception, "/scope/kind")) + "/" + TextOf(At(exception, "/scope/name")),
        At(exception, "/set").dump(),
        TextOf(At(exception, "/reason")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::AddException(const Arguments& aArguments)
{
  const auto scope = ParseScope(aArguments[0]);
  if (!scope) {
    return WrongUsage(aArguments[0] + ": a scope is account, pool, contract, vm or zone, "
                                      "a slash and a name");
  }
  return this->Change(PutException(*scope, this->settings.reason, aArguments[1]));
}

ExitCode Commands::DropException(const Arguments& aArguments)
{
  const auto scope = ParseScope(aArguments[0]);
  if (!scope) {
    return WrongUsage(aArguments[0] + ": malformed scope");
  }
  return this->Change(RemoveException(*scope));
}

ExitCode Commands::Apply(const Arguments& aArguments)
{
  std::ifstream file(aArguments[0], std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return WrongUsage(aArguments[0] + ": cannot be read");
  }
  // The revision in the file is the one that its author looked at.
  std::optional<std::int64_t> base;
  const auto document = DecodeJson(text.str());
  if (document && document->is_object() && document->contains("revision") &&
      (*document)["revision"].is_number_integer()) {
    base = (*document)["revision"].get<std::int64_t>();
  }
  return this->Change(ReplaceConfiguration(text.str()), base);
}

ExitCode Commands::ShowNodes(const Arguments&)
{
  const auto state = this->Fetch(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto members = At(state, "/state/membership/members");
  if (this->settings.json) {
    std::cout << members.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "NODE", "ZONE", "ADDRESS", "STATE", "LEAVING", "INCARNATION" });
  table.Add({ TextOf(At(state, "/state/id")),
              TextOf(At(state, "/state/zone")),
              "(asked)",
              TextOf(At(state, "/state/configuration/isolation/state")),
              TextOf(At(state, "/state/membership/leaving")),
              TextOf(At(state, "/state/membership/incarnation")) });
  for (const auto& member : members) {
    table.Add({ TextOf(At(member, "/id")),
                TextOf(At(member, "/zone")),
                TextOf(At(member, "/node")),
                TextOf(At(member, "/state")),
                TextOf(At(member, "/leaving")),
                TextOf(At(member, "/incarnation")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ShowGroups(const Arguments&)
{
  const auto state = this->Fetch(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto groups = At(state, "/state/groups");
  if (this->settings.json) {
    std::cout << groups.dump(2) << '\n';
    return ExitCode::Success;
  }
  Table table({ "GROUP", "POOL", "GENERATION", "MEMBERS", "FIRST" });
  for (const auto& group : groups) {
    table.Add({ TextOf(At(group, "/id")),
                TextOf(At(group, "/pool")),
                TextOf(At(group, "/generation")),
                TextOf(At(group, "/members")),
                TextOf(At(group, "/server")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::ShowRevisions(const Arguments&)
{
  const auto state = this->Fetch(this->settings.node, "/state");
  if (state.is_null()) {
    return ExitCode::Failure;
  }
  const auto configuration = At(state, "/state/configuration");
  if (this->settings.json) {
    std::cout << configuration.dump(2) << '\n';
    return ExitCode::Success;
  }
  std::cout << "revision " << TextOf(At(configuration, "/acceptance/revision")) << " is "
            << TextOf(At(configuration, "/acceptance/state")) << '\n';
  Table table({ "NODE", "REVISION", "HEARD MS AGO" });
  const auto revisions = At(configuration, "/revisions");
  for (const auto& [node, entry] : revisions.items()) {
    table.Add({ node, TextOf(At(entry, "/revision")), TextOf(At(entry, "/age_ms")) });
  }
  table.Print(std::cout);
  return ExitCode::Success;
}

ExitCode Commands::Dump(const Arguments& aArguments)
{
  return this->Show(aArguments[0], "/state", "GET", [](const json& aState) {
    std::cout << aState.dump(2) << '\n';
  });
}

ExitCode Commands::Drain(const Arguments& aArguments)
{
  return this->Show(aArguments[0], "/drain", "POST", [&aArguments](const json&) {
    std::cout << Endpoint::Parse(aArguments[0])->Text() << " drains\n";
  });
}

ExitCode Commands::ShowServer(const Arguments& aArguments)
{
  return this->Show(aArguments[0], "/state", "GET", [this](const json& aState) {
    if (this->settings.json) {
      std::cout << At(aState, "/state").dump(2) << '\n';
    } else {
      PrintServer(At(aState, "/state"), std::cout);
    }
  });
}

ExitCode Commands::Show(const std::string& aAddress,
                        const std::string& aTarget,
                        const std::string& aMethod,
                        const std::function<void(const json&)>& aPrint)
{
  const auto endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    return WrongUsage(aAddress + ": must be ADDRESS:PORT");
  }
  const auto answer = this->Fetch(*endpoint, aTarget, aMethod);
  if (answer.is_null()) {
    return ExitCode::Failure;
  }
  aPrint(answer);
  return ExitCode::Success;
}

ExitCode Commands::Explain(const Arguments& aArguments)
{
  RequestStory story(aArguments[0]);
  const auto read = [&story](std::istream& aInput) {
    for (std::string line; std::getline(aInput, line);) {
      story.Add(line);
    }
  };
  const Arguments files(aArguments.begin() + 1, aArguments.end());
  if (files.empty()) {
    read(std::cin);
  }
  for (const auto& name : files) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
      return WrongUsage(name + ": cannot be read");
    }
    read(file);
  }
  if (this->settings.json) {
    std::cout << story.Describe().dump(2, ' ', true, json::error_handler_t::replace)
              << '\n';
  } else {
    PrintStory(story, std::cout);
  }
  if (story.IsEmpty()) {
    std::cerr << "toucanstandctl: no line names the request\n";
    return ExitCode::Failure;
  }
  return ExitCode::Success;
}

json Commands::Fetch(const Endpoint& aEndpoint,
                     const std::string& aTarget,
                     const std::string& aMethod)
{
  const auto response = this->connections.Call(aEndpoint, aMethod, aTarget);
  std::string failure;
  if (!response) {
    failure = Name(response.LastReason());
  } else if (response->status / 100 != 2) {
    failure = "status " + std::to_string(response->status) + " " + response->body;
  } else if (auto document = DecodeJson(response->body, { 16U << 20U, 64 })) {
    return std::move(*document);
  } else {
    failure = "the answer is not JSON";
  }
  std::cerr << "toucanstandctl: " << aEndpoint.Text() << aTarget << ": " << failure
            << '\n';
  return {};
}

ExitCode Commands::Change(ConfigurationEdit aEdit, std::optional<std::int64_t> aBase)
{
  if (this->settings.reason.find_first_not_of(" \t\n") == std::string::npos) {
    return WrongUsage("--reason=TEXT is required for a change");
  }
  if (this->settings.author.empty()) {
    return WrongUsage("--author=NAME is required for a change");
  }
  ConfigurationChange change({ this->settings.author,
                               NewNonce(),
                               this->settings.reason,
                               std::move(aEdit),
                               aBase });
  return this->Report(this->connections.Change(change));
}

ExitCode Commands::Report(const ChangeOutcome& aOutcome)
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
    const auto state = this->Fetch(this->settings.node, "/state");
    acceptance = At(state, "/state/configuration/acceptance");
    const auto revision = At(acceptance, "/revision");
    // A later revision that is accepted covers this one.
    if (revision.is_number_integer() && revision.get<std::int64_t>() >= aRevision &&
        At(acceptance, "/state") == "accepted") {
      std::cout << "revision " << aRevision << " is accepted\n";
      return ExitCode::Success;
    }
    this->connections.Pause(kWaitInterval);
  }
  std::cerr << "toucanstandctl: revision " << aRevision
            << " is pending, not confirmed by " << At(acceptance, "/missing").dump()
            << '\n';
  return ExitCode::Failure;
}

} // namespace toucanstand
