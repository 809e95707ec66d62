#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace toucanstand {

/// XXH3 64-bit hash, the same on every machine. @param aSeed separates uses.
[[nodiscard]] std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/// XXH3 128-bit hash as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string HashHex128(std::string_view aBytes);

/// Weight of a candidate for a key in rendezvous hashing; the highest weights win.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view aKey,
                                             std::string_view aCandidate);

} // namespace toucanstand
