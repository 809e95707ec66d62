#pragma once

#include <string>
#include <string_view>

namespace toucanstand {

// ASCII only, whatever the locale: header and host names have no other letters.

[[nodiscard]] std::string LowerCase(std::string_view aText);

[[nodiscard]] bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace toucanstand
