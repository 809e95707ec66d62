#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Number of servers that may run a fingerprint at the same time in the whole fleet.
inline constexpr std::size_t kHomeServerCount = 2;

/// The servers that may run a fingerprint, by rendezvous hashing; the same on every entry
/// VM that sees the same servers.
///
/// @param aHomeKey the fingerprint, or a hash of a part of the request, for example the
/// beginning of its conversation, so that related requests meet the same prompt cache. It
/// must depend on nothing but the request.
///
/// Copies of a request that reach several entry VMs before its first crash has been
/// reported run on these servers only, which bounds the servers lost to it. The choice
/// between the two remains free for load balancing.
[[nodiscard]] std::vector<ServerId> HomeServers(std::uint64_t aHomeKey,
                                                const std::vector<ServerId>& aServers,
                                                std::size_t aCount = kHomeServerCount);

/// The VM that grants runs of suspects (SuspectArbiter), by rendezvous hashing over the
/// live entry VMs. Empty when there are none.
[[nodiscard]] VmId ArbiterVm(const std::vector<VmId>& aLiveVms);

} // namespace toucanstand
