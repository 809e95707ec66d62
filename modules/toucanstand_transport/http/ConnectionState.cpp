#include "http/ConnectionState.h"

namespace toucanstand {

const char* Name(ConnectionState aState)
{
  constexpr std::array kNames = { "awaiting_request",
                                  "receiving_request",
                                  "awaiting_answer",
                                  "sending_answer",
                                  "awaiting_close" };
  static_assert(kNames.size() == kConnectionStateCount);
  return kNames.at(static_cast<std::size_t>(aState));
}

} // namespace toucanstand
