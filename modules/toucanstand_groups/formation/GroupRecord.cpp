#include "formation/GroupRecord.h"

#include <array>

namespace toucanstand {

const char* Name(GroupPhase aPhase)
{
  // In the order of the enumeration. State dumps show Active as "standing".
  constexpr std::array kNames = {
    "forming", "standing", "closing", "retiring", "dissolved"
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

GroupId GroupIdFor(const std::string& aModel, Generation aGeneration)
{
  return GroupId(aModel + "-" + std::to_string(aGeneration));
}

std::string ModelOfGroup(const GroupId& aGroup)
{
  const auto dash = aGroup.Value().rfind('-');
  return dash == std::string::npos ? std::string() : aGroup.Value().substr(0, dash);
}

} // namespace toucanstand
