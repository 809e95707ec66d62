#include <catch2/catch.hpp>

#include "random/Random.h"
#include "store/Base64.h"

using namespace toucanstand;

TEST_CASE("Base64 matches RFC 4648 and survives any bytes", "[store]")
{
  CHECK(EncodeBase64("") == "");
  CHECK(EncodeBase64("f") == "Zg==");
  CHECK(EncodeBase64("fo") == "Zm8=");
  CHECK(EncodeBase64("foobar") == "Zm9vYmFy");
  Random random(11);
  for (std::size_t length = 0; length < 200; ++length) {
    std::string bytes(length, '\0');
    for (auto& byte : bytes) {
      byte = static_cast<char>(random.Below(256));
    }
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
}

TEST_CASE("Malformed base64 is rejected", "[store]")
{
  CHECK_FALSE(DecodeBase64("Zg").has_value());
  CHECK_FALSE(DecodeBase64("Z===").has_value());
  CHECK_FALSE(DecodeBase64("Z\ng=").has_value());
}
