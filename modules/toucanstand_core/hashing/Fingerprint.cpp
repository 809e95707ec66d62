#include "hashing/Fingerprint.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace toucanstand {

std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string HashHex128(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return std::string(text.data());
}

std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return Hash64(aCandidate, Hash64(aKey));
}

} // namespace toucanstand
