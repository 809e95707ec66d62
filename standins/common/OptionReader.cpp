#include "common/OptionReader.h"

#include <charconv>
#include <csignal>
#include <iostream>

#include <unistd.h>

namespace toucanstand {

namespace {

constexpr std::int64_t kLongestMilliseconds = 24LL * 3600 * 1000;

template<typename T>
bool ParseNumber(const std::string& aText, T& aNumber)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, aNumber);
  return error == std::errc{} && end == last;
}

} // namespace

OptionReader::OptionReader(const CommandLine& aCommandLine, std::string aProgram)
  : commandLine(aCommandLine)
  , program(std::move(aProgram))
{
}

std::int64_t OptionReader::Whole(const std::string& aName,
                                 std::int64_t aLowest,
                                 std::int64_t aHighest,
                                 std::int64_t aDefault)
{
  std::int64_t number = aDefault;
  const auto text = this->commandLine.ValueOr(aName, std::to_string(aDefault));
  if (!ParseNumber(text, number) || number < aLowest || number > aHighest) {
    this->Reject(aName,
                 "must be a whole number, " + std::to_string(aLowest) + " to " +
                   std::to_string(aHighest));
  }
  return number;
}

double OptionReader::Number(const std::string& aName,
                            double aLowest,
                            double aHighest,
                            double aDefault)
{
  double number = aDefault;
  const auto text = this->commandLine.ValueOr(aName, std::to_string(aDefault));
  // The negated form also rejects "nan".
  if (!ParseNumber(text, number) || !(number >= aLowest && number <= aHighest)) {
    this->Reject(aName,
                 "must be a number, " + std::to_string(aLowest) + " to " +
                   std::to_string(aHighest));
  }
  return number;
}

Duration OptionReader::Milliseconds(const std::string& aName, Duration aDefault)
{
  return std::chrono::milliseconds(
    this->Whole(aName, 0, kLongestMilliseconds, ToMilliseconds(aDefault).count()));
}

Endpoint OptionReader::Address(const std::string& aName, const std::string& aDefault)
{
  const auto endpoint = Endpoint::Parse(this->commandLine.ValueOr(aName, aDefault));
  if (!endpoint) {
    this->Reject(aName, "must be ADDRESS:PORT with a numeric IPv4 address");
  }
  return endpoint.value_or(Endpoint{});
}

void OptionReader::Reject(const std::string& aName, const std::string& aExpectation)
{
  std::cerr << this->program << ": --" << aName << ' ' << aExpectation << '\n';
  this->failed = true;
}

void ExitOnTermination()
{
  // A stand-in keeps nothing, so a handler that ends the process needs no event loop.
  const auto exit = [](int) { ::_exit(static_cast<int>(ExitCode::Success)); };
  std::signal(SIGTERM, exit);
  std::signal(SIGINT, exit);
}

void AnnounceEndpoint(const std::string& aWord, const Endpoint& aEndpoint)
{
  std::cout << aWord << ' ' << aEndpoint.Text() << std::endl;
}

} // namespace toucanstand
