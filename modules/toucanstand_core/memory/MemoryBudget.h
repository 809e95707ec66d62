#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "time/BootClock.h"

namespace toucanstand {

/// What a choice among the holders of a budget rests on.
struct MemoryHolder
{
  std::size_t bytes = 0;
  /// Whom the holder works for, such as a client's address.
  std::string_view owner;
  /// Numbers holders in the order in which they came.
  std::uint64_t number = 0;
  /// When the holder last got a byte.
  TimePoint progressedAt{};
};

/// Limits the bytes that the parts of a process hold together, such as responses that are
/// read as a whole. When they do not suffice, one holder after the other has to give up.
class MemoryBudget
{
public:
  /// Bytes that each holder may have besides the budget, so that large holders leave room
  /// for small ones.
  static constexpr std::size_t kFreeBytes = 16U << 10U;

  class Holding;

  /// Chooses the holder that gives up. @param aAsking the holder that needs bytes, with
  /// what it would hold
  /// @returns an index of the others; nothing if the asking one has to give up
  using Precedence =
    std::function<std::optional<std::size_t>(std::span<const MemoryHolder> aOthers,
                                             const MemoryHolder& aAsking)>;

  struct Rules
  {
    std::size_t limit = 0;
    std::size_t freeBytes = kFreeBytes;
    /// Holders above this size leave `reserve` bytes of the limit to the others.
    std::size_t smallBytes = 0;
    std::size_t reserve = 0;
    Precedence precedence = LargestGivesUp;
  };

  explicit MemoryBudget(std::size_t aLimit);
  explicit MemoryBudget(Rules aRules);

  /// Bytes that are held beyond the free ones.
  [[nodiscard]] std::size_t Held() const;
  /// True if a holder of this size would fit if there were no other.
  [[nodiscard]] bool FitsAlone(std::size_t aBytes) const;

  /// The largest of the others, if it is larger than the one that asks.
  [[nodiscard]] static std::optional<std::size_t> LargestGivesUp(
    std::span<const MemoryHolder> aOthers,
    const MemoryHolder& aAsking);

private:
  struct State
  {
    /// Bytes that may be held if a holder of this size is among the holders.
    [[nodiscard]] std::size_t LimitFor(std::size_t aBytes) const;

    Rules rules;
    std::size_t held = 0;
    std::uint64_t holders = 0;
    /// Those that hold more than the free bytes.
    std::set<Holding*> holdings;
  };

  /// Shared, since holders in suspended coroutines may outlive the budget at the end of
  /// the process.
  std::shared_ptr<State> state;
};

/// The bytes of one holder, which are given back when it is destroyed.
class MemoryBudget::Holding
{
public:
  /// @param aOnEviction called at most once, when the bytes are needed by others; the
  /// holder gives them back at once or soon
  Holding(const MemoryBudget& aBudget,
          std::function<void()> aOnEviction,
          std::string aOwner = {});
  ~Holding();
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  /// Replaces the number of bytes that are held. Call before more are taken.
  /// @returns false, and changes nothing, if this holder has to give up
  [[nodiscard]] bool Resize(std::size_t aBytes);

  /// Gives all bytes back.
  void Release();

  void NoteProgress(TimePoint aNow) { this->progressedAt = aNow; }

  /// Exempts the holder from giving up its bytes.
  void Protect() { this->isProtected = true; }

private:
  void Set(std::size_t aNeeded);
  [[nodiscard]] bool Fits(std::size_t aNeeded) const;
  /// Makes others give up until the bytes fit. @returns false if this holder has to
  [[nodiscard]] bool MakeRoom(std::size_t aNeeded);
  [[nodiscard]] MemoryHolder Describe(std::size_t aBytes) const;

  std::shared_ptr<State> state;
  std::function<void()> onEviction;
  std::string owner;
  std::uint64_t number;
  TimePoint progressedAt{};
  /// Bytes beyond the free ones.
  std::size_t taken = 0;
  bool isEvicted = false;
  bool isProtected = false;
};

} // namespace toucanstand
