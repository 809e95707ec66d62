#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Number of servers in the fleet that may run the same fingerprint at the same time.
inline constexpr std::size_t kHomeServerCount = 2;

/// The home servers of a request: those that may run it, selected by rendezvous hashing.
/// Equal on all entry VMs that have the same list of servers.
///
/// @param aHomeKey the fingerprint, or a hash of a part of the request, for example the
/// beginning of its conversation, so that related requests hit the same prompt cache. It
/// must depend on the request alone.
///
/// If copies of a request reach several entry VMs before its first crash is reported,
/// they run only on these servers, which bounds the number of servers that it can crash.
/// Load balancing may choose either of the two.
[[nodiscard]] std::vector<ServerId> HomeServers(std::uint64_t aHomeKey,
                                                const std::vector<ServerId>& aServers,
                                                std::size_t aCount = kHomeServerCount);

/// The VM that runs the SuspectArbiter, selected by rendezvous hashing over the live
/// entry VMs. Empty when there are none.
[[nodiscard]] VmId ArbiterVm(const std::vector<VmId>& aLiveVms);

} // namespace toucanstand
