#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "document/ConfigurationText.h"

using namespace toucanstand;

TEST_CASE("The example configurations are valid", "[configuration]")
{
  // Guards against example files that `toucanstandctl apply` rejects.
  for (const auto* name : { "kelani.json", "tsagaan.json" }) {
    std::ifstream file(std::string(TOUCANSTAND_DOCS_DIRECTORY "/examples/") + name);
    REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    const auto document = ParseConfiguration(text.str());
    INFO(name << ": " << (document ? "" : Describe(document.LastReason().front())));
    CHECK(document);
  }
}
