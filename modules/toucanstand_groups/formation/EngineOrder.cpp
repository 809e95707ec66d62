#include "formation/EngineOrder.h"

#include <array>

namespace toucanstand {

const char* Name(OrderKind aKind)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "join", "open", "close", "leave", "stage" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

const char* Name(EngineOrderReply aReply)
{
  // In the order of the enumeration.
  constexpr std::array kNames = {
    "begun",        "done",     "wrong_state",        "outdated",
    "wrong_server", "rejected", "connection_refused", "unknown"
  };
  return kNames.at(static_cast<std::size_t>(aReply));
}

} // namespace toucanstand
