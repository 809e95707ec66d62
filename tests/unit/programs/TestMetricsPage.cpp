#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>

namespace {

using Metrics = std::map<std::string, std::string>;

std::string ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Names and kinds of the metrics that the sources count and record.
Metrics MetricsInSources()
{
  const std::regex call(R"(metrics\s*\.\s*(Count|Record)\(([^;]*);)");
  const std::regex name(R"re("([a-z]+(?:_[a-z]+)*_(?:total|seconds)))re");
  Metrics metrics;
  const std::filesystem::path root(TOUCANSTAND_SOURCE_DIRECTORY);
  for (const char* folder : { "modules", "platform", "programs" }) {
    for (const auto& file :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      if (file.path().extension() != ".cpp") {
        continue;
      }
      const auto text = ReadFile(file.path());
      for (std::sregex_iterator found(text.begin(), text.end(), call), end; found != end;
           ++found) {
        const auto arguments = (*found)[2].str();
        for (std::sregex_iterator one(arguments.begin(), arguments.end(), name);
             one != end;
             ++one) {
          metrics[(*one)[1]] = (*found)[1] == "Count" ? "counter" : "histogram";
        }
      }
    }
  }
  return metrics;
}

Metrics DocumentedMetrics()
{
  const std::regex row(R"(^\| `([a-z_]+)` \| ([a-z]+) \|)");
  std::ifstream page(TOUCANSTAND_SOURCE_DIRECTORY "/docs/metrics.md");
  Metrics metrics;
  for (std::string line; std::getline(page, line);) {
    std::smatch found;
    if (std::regex_search(line, found, row)) {
      metrics[found[1]] = found[2];
    }
  }
  return metrics;
}

} // namespace

TEST_CASE("The metrics page lists exactly the metrics that the programs record",
          "[metrics]")
{
  // Guards against a page that lists a removed metric or omits an existing one.
  const auto sources = MetricsInSources();
  CHECK(sources.size() > 50);
  CHECK(DocumentedMetrics() == sources);
  for (const auto& [name, kind] : sources) {
    INFO(name);
    CHECK(name.ends_with(kind == "counter" ? "_total" : "_seconds"));
  }
}
