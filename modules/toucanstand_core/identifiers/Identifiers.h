#pragma once

#include <cstdint>

#include "identifiers/StrongString.h"

namespace toucanstand {

/// One entry VM of the system.
using VmId = StrongString<struct VmTag>;
/// One backend server: a member of a model engine group, or a plain service instance.
using ServerId = StrongString<struct ServerTag>;
/// One replica group.
using GroupId = StrongString<struct GroupTag>;
/// One fabric domain.
using DomainId = StrongString<struct DomainTag>;
/// One availability zone.
using ZoneId = StrongString<struct ZoneTag>;
/// One pool of interchangeable backends, for example the assistant engines.
using PoolId = StrongString<struct PoolTag>;
/// One client account.
using AccountId = StrongString<struct AccountTag>;
/// One request of a caller, unique over all entry VMs.
using RequestId = StrongString<struct RequestTag>;
/// One part of a prompt, for example a system prompt, that several requests may share.
using PromptPartId = std::uint64_t;

} // namespace toucanstand
