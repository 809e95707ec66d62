#include "serving/ServerEntry.h"

#include <array>

namespace toucanstand {

const char* Name(MembershipState aState)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "joining", "ready", "open", "closing", "broken" };
  return kNames.at(static_cast<std::size_t>(aState));
}

} // namespace toucanstand
