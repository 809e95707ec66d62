#include "common/ServiceAnswer.h"

#include "hashing/Fingerprint.h"

namespace toucanstand {

std::string ServiceAnswer(std::string_view aPath, std::string_view aBody)
{
  // The length of the path keeps path and body apart.
  const std::string input =
    std::to_string(aPath.size()) + ":" + std::string(aPath) + std::string(aBody);
  return R"({"answer":")" + HashHex128(input) + R"("})";
}

} // namespace toucanstand
