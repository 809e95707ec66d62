#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "memory/MemoryBudget.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Decides which arriving request gives way when the memory for requests is short.
///
/// Designed for many clients that send large bodies at once and stop before their end,
/// beside ordinary requests.
class RequestPrecedence
{
public:
  /// Time without a byte after which a request counts as stopped.
  static constexpr Duration kStopped = std::chrono::milliseconds(500);
  /// Size up to which a request counts as ordinary.
  static constexpr std::size_t kOrdinaryBytes = 64U << 10U;

  /// See MemoryBudget::Precedence. The one that asks makes progress now.
  [[nodiscard]] static std::optional<std::size_t> Choose(
    std::span<const MemoryHolder> aOthers,
    const MemoryHolder& aAsking);

  /// Rules of a budget for requests. A quarter is kept for ordinary requests.
  [[nodiscard]] static MemoryBudget::Rules RulesFor(std::size_t aLimit);
};

} // namespace toucanstand
