#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace toucanstand {

/// String identifier that can't be mixed up with one of another kind.
template<typename Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : value(std::move(aValue))
  {
  }

  [[nodiscard]] const std::string& Value() const { return this->value; }
  [[nodiscard]] bool IsEmpty() const { return this->value.empty(); }

  friend bool operator==(const StrongString&, const StrongString&) = default;
  friend auto operator<=>(const StrongString&, const StrongString&) = default;

private:
  std::string value;
};

} // namespace toucanstand

template<typename Tag>
struct std::hash<toucanstand::StrongString<Tag>>
{
  std::size_t operator()(const toucanstand::StrongString<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Value());
  }
};
