#include "store/PlatformStore.h"

#include <array>

namespace toucanstand {

const char* Name(StoreFailure aFailure)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "not_sent",  "effect_unknown", "not_found",
                                  "conflict",  "too_large",      "throttled",
                                  "malformed", "history_lost" };
  return kNames.at(static_cast<std::size_t>(aFailure));
}

} // namespace toucanstand
