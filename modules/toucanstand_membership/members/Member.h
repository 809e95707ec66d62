#pragma once

#include <cstdint>

#include "machines/Vm.h"

namespace toucanstand {

/// Number by which a member overrides what others say about it; raised only by itself.
using Incarnation = std::uint64_t;

/// Highest incarnation that is accepted from a message; leaves room for refutation.
inline constexpr Incarnation kMaximumIncarnation = 1ULL << 52U;

/// Liveness of a member. Within one incarnation a later value overrides an earlier one.
enum class MemberState
{
  Alive,
  Suspect,
  Dead,
};

/// Name of a state in messages and dumps.
[[nodiscard]] const char* Name(MemberState aState);

/// What is known or said about one entry VM.
struct MemberDelta
{
  Vm vm;
  Incarnation incarnation = 0;
  MemberState state = MemberState::Alive;
  /// Irreversible within one incarnation.
  bool leaving = false;

  friend bool operator==(const MemberDelta&, const MemberDelta&) = default;
};

} // namespace toucanstand
