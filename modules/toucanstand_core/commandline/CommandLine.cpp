#include "commandline/CommandLine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

#include <getopt.h>

namespace toucanstand {

namespace {

constexpr int kFirstLongOnly = 256;

std::vector<OptionDescription> AllOptions(const ProgramDescription& aDescription)
{
  std::vector<OptionDescription> options = aDescription.options;
  options.push_back({ "config", 'c', "FILE", "read the settings from FILE" });
  options.push_back({ "check-settings", 'k', "", "check the settings and exit" });
  options.push_back(
    { "log-level", 'l', "LEVEL", "trace, debug, info, warn, error, off" });
  options.push_back({ "log-format", 'f', "FORMAT", "text or json" });
  options.push_back({ "help", 'h', "", "print this help and exit" });
  options.push_back({ "version", 'V', "", "print the version and exit" });
  return options;
}

void PrintHelp(const ProgramDescription& aDescription,
               const std::vector<OptionDescription>& aOptions)
{
  std::cout << "Usage: " << aDescription.name << " [OPTION...] "
            << aDescription.positionalUsage << "\n"
            << aDescription.brief << "\n\n";
  for (const auto& option : aOptions) {
    std::string left = option.shortName != 0
                         ? std::string("  -") + option.shortName + ", "
                         : std::string("      ");
    left += "--" + option.longName;
    if (!option.argumentName.empty()) {
      left += "=" + option.argumentName;
    }
    std::printf("%-34s %s\n", left.c_str(), option.help.c_str());
  }
  std::cout << "\nExit status: 0 success, 1 failure, 2 usage or settings error.\n";
}

} // namespace

bool CommandLine::Has(const std::string& aLongName) const
{
  return this->values.contains(aLongName);
}

std::string CommandLine::ValueOr(const std::string& aLongName,
                                 const std::string& aDefault) const
{
  const auto found = this->values.find(aLongName);
  return found == this->values.end() ? aDefault : found->second;
}

std::vector<std::string> CommandLine::AllValues(const std::string& aLongName) const
{
  std::vector<std::string> all;
  for (const auto& [name, value] : this->given) {
    if (name == aLongName) {
      all.push_back(value);
    }
  }
  return all;
}

std::optional<CommandLine> ParseCommandLine(int aArgumentCount,
                                            char** aArguments,
                                            const ProgramDescription& aDescription,
                                            ExitCode& aExitCode)
{
  const auto options = AllOptions(aDescription);
  std::vector<option> longOptions;
  std::string shortOptions;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const auto& description = options[index];
    const int argument =
      description.argumentName.empty() ? no_argument : required_argument;
    longOptions.push_back({ description.longName.c_str(),
                            argument,
                            nullptr,
                            kFirstLongOnly + static_cast<int>(index) });
    if (description.shortName != 0) {
      shortOptions += description.shortName;
      shortOptions += argument == required_argument ? ":" : "";
    }
  }
  longOptions.push_back({ nullptr, 0, nullptr, 0 });

  CommandLine parsed;
  optind = 1;
  aExitCode = ExitCode::Usage;
  while (true) {
    const int code = getopt_long(
      aArgumentCount, aArguments, shortOptions.c_str(), longOptions.data(), nullptr);
    if (code == -1) {
      break;
    }
    const auto matches = [code, &options](const OptionDescription& aOption) {
      return code == kFirstLongOnly + (&aOption - options.data()) ||
             (aOption.shortName != 0 && code == aOption.shortName);
    };
    const auto found = std::ranges::find_if(options, matches);
    if (found == options.end()) {
      std::cerr << "Try '" << aDescription.name << " --help'.\n";
      return std::nullopt;
    }
    const std::string value = optarg == nullptr ? "true" : optarg;
    parsed.values[found->longName] = value;
    parsed.given.emplace_back(found->longName, value);
  }
  parsed.positional.assign(aArguments + optind, aArguments + aArgumentCount);

  if (parsed.Has("help")) {
    PrintHelp(aDescription, options);
    aExitCode = ExitCode::Success;
    return std::nullopt;
  }
  if (parsed.Has("version")) {
    std::cout << aDescription.name << ' ' << TOUCANSTAND_VERSION << '\n';
    aExitCode = ExitCode::Success;
    return std::nullopt;
  }
  constexpr std::array<std::string_view, 2> kFormats = { "text", "json" };
  if (std::ranges::find(kFormats, parsed.ValueOr("log-format", "text")) ==
      kFormats.end()) {
    std::cerr << aDescription.name << ": --log-format must be text or json\n";
    return std::nullopt;
  }
  constexpr std::array<std::string_view, 6> kLevels = { "trace", "debug", "info",
                                                        "warn",  "error", "off" };
  if (std::ranges::find(kLevels, parsed.ValueOr("log-level", "info")) == kLevels.end()) {
    std::cerr << aDescription.name
              << ": --log-level must be trace, debug, info, warn, error or off\n";
    return std::nullopt;
  }
  aExitCode = ExitCode::Success;
  return parsed;
}

} // namespace toucanstand
