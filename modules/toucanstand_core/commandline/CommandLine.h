#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucanstand {

/// Exit codes of every program.
enum class ExitCode
{
  Success = 0,
  Failure = 1,
  Usage = 2,
};

/// One option of a program besides the common ones.
struct OptionDescription
{
  std::string longName;
  /// 0 when there is no short form.
  char shortName = 0;
  /// Name of the argument in the help; empty when the option takes none.
  std::string argumentName;
  std::string help;
};

/// What a program's `--help` says.
struct ProgramDescription
{
  std::string name;
  std::string brief;
  /// Usage of the positional arguments, for example `COMMAND [ARGUMENT...]`.
  std::string positionalUsage;
  std::vector<OptionDescription> options;
};

/// A parsed command line.
struct CommandLine
{
  /// Values by long name; options without an argument have the value "true".
  std::map<std::string, std::string> values;
  std::vector<std::string> positional;
  /// Every option that was given with its value, in order; of a repeated option the map
  /// above keeps the last value.
  std::vector<std::pair<std::string, std::string>> given;

  [[nodiscard]] bool Has(const std::string& aLongName) const;
  [[nodiscard]] std::string ValueOr(const std::string& aLongName,
                                    const std::string& aDefault) const;
  /// All values of an option that may be repeated, in order.
  [[nodiscard]] std::vector<std::string> AllValues(const std::string& aLongName) const;
};

/// Parses with getopt_long. Every program also takes --help, --version, --config,
/// --check-settings, --log-level and --log-format.
///
/// @returns nothing when the program should end with aExitCode: help and version were
///   printed, or the usage was wrong and a line on standard error says how.
[[nodiscard]] std::optional<CommandLine> ParseCommandLine(
  int aArgumentCount,
  char** aArguments,
  const ProgramDescription& aDescription,
  ExitCode& aExitCode);

} // namespace toucanstand
