#include "memory/MemoryBudget.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace toucanstand {

MemoryBudget::MemoryBudget(std::size_t aLimit)
  : state(std::make_shared<State>())
{
  this->state->rules.limit = aLimit;
}

MemoryBudget::MemoryBudget(Rules aRules)
  : state(std::make_shared<State>())
{
  this->state->rules = std::move(aRules);
}

std::size_t MemoryBudget::Held() const
{
  return this->state->held;
}

bool MemoryBudget::FitsAlone(std::size_t aBytes) const
{
  const auto needed = aBytes - std::min(aBytes, this->state->rules.freeBytes);
  return needed <= this->state->LimitFor(needed);
}

std::size_t MemoryBudget::State::LimitFor(std::size_t aBytes) const
{
  return this->rules.limit - (aBytes > this->rules.smallBytes ? this->rules.reserve : 0);
}

std::optional<std::size_t> MemoryBudget::LargestGivesUp(
  std::span<const MemoryHolder> aOthers,
  const MemoryHolder& aAsking)
{
  const auto largest = std::ranges::max_element(aOthers, {}, &MemoryHolder::bytes);
  if (largest == aOthers.end() || largest->bytes <= aAsking.bytes) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::distance(aOthers.begin(), largest));
}

MemoryBudget::Holding::Holding(const MemoryBudget& aBudget,
                               std::function<void()> aOnEviction,
                               std::string aOwner)
  : state(aBudget.state)
  , onEviction(std::move(aOnEviction))
  , owner(std::move(aOwner))
  , number(++this->state->holders)
{
}

MemoryBudget::Holding::~Holding()
{
  this->Release();
}

bool MemoryBudget::Holding::Resize(std::size_t aBytes)
{
  const auto needed = aBytes - std::min(aBytes, this->state->rules.freeBytes);
  if (needed > this->taken && !this->Fits(needed) && !this->MakeRoom(needed)) {
    return false;
  }
  this->Set(needed);
  return true;
}

void MemoryBudget::Holding::Release()
{
  this->Set(0);
}

void MemoryBudget::Holding::Set(std::size_t aNeeded)
{
  this->state->held = this->state->held - this->taken + aNeeded;
  this->taken = aNeeded;
  if (aNeeded > 0) {
    this->state->holdings.insert(this);
  } else {
    this->state->holdings.erase(this);
  }
}

bool MemoryBudget::Holding::Fits(std::size_t aNeeded) const
{
  const auto others = this->state->held - this->taken;
  const auto limit = this->state->LimitFor(aNeeded);
  return others <= limit && aNeeded <= limit - others;
}

bool MemoryBudget::Holding::MakeRoom(std::size_t aNeeded)
{
  if (aNeeded > this->state->LimitFor(aNeeded)) {
    return false;
  }
  const auto asking = this->Describe(aNeeded);
  while (!this->Fits(aNeeded)) {
    std::vector<Holding*> others;
    std::ranges::copy_if(
      this->state->holdings, std::back_inserter(others), [this](const Holding* aOther) {
        return aOther != this && !aOther->isProtected;
      });
    std::vector<MemoryHolder> descriptions;
    std::ranges::transform(
      others, std::back_inserter(descriptions), [](const Holding* aOther) {
        return aOther->Describe(aOther->taken);
      });
    const auto chosen = this->state->rules.precedence(descriptions, asking);
    if (!chosen) {
      return false;
    }
    auto& evicted = *others.at(*chosen);
    if (!std::exchange(evicted.isEvicted, true)) {
      evicted.onEviction();
    }
    // Until it has given up, its bytes cover those that are needed now.
    if (evicted.taken > 0) {
      return true;
    }
  }
  return true;
}

MemoryHolder MemoryBudget::Holding::Describe(std::size_t aBytes) const
{
  return { aBytes, this->owner, this->number, this->progressedAt };
}

} // namespace toucanstand
