#pragma once

#include <cstdint>

#include "machines/Vm.h"

namespace toucanstand {

/// Version number of the statements about a member. Only the member itself increments it,
/// to override statements of others about it.
using Incarnation = std::uint64_t;

/// Maximum incarnation that is accepted from a message. It is far below the maximum of
/// the type, which leaves room for the increments of refutations.
inline constexpr Incarnation kMaximumIncarnation = 1ULL << 52U;

/// Liveness of a member. Within one incarnation, an enumerator overrides those before it.
enum class MemberState
{
  Alive,
  Suspect,
  Dead,
};

/// Name of a state in messages and state dumps.
[[nodiscard]] const char* Name(MemberState aState);

/// State of one entry VM, as stored in the member table and sent in messages.
struct MemberDelta
{
  Vm vm;
  Incarnation incarnation = 0;
  MemberState state = MemberState::Alive;
  /// Whether the VM announced that it leaves. Irreversible within one incarnation.
  bool leaving = false;

  friend bool operator==(const MemberDelta&, const MemberDelta&) = default;
};

} // namespace toucanstand
