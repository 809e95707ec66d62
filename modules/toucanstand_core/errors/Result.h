#pragma once

#include <optional>
#include <utility>

namespace toucanstand {

/// A value, or nothing with the typed reason why.
///
/// The reason travels with the result instead of being kept by the callee, because
/// several coroutines of one loop may call the same object before either reads it.
template<typename T, typename Reason>
class [[nodiscard]] Result
{
public:
  // Implicit on purpose: `return value;` and `return Reason::X;` read naturally.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(T aValue)
    : value(std::move(aValue))
  {
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(Reason aReason)
    : reason(std::move(aReason))
  {
  }

  [[nodiscard]] bool HasValue() const { return this->value.has_value(); }
  explicit operator bool() const { return this->value.has_value(); }

  /// Undefined unless HasValue().
  T& operator*() { return *this->value; }
  const T& operator*() const { return *this->value; }
  T* operator->() { return &*this->value; }
  const T* operator->() const { return &*this->value; }

  /// Why there is no value; meaningful only when HasValue() is false.
  [[nodiscard]] const Reason& LastReason() const { return this->reason; }

  [[nodiscard]] std::optional<T>& AsOptional() { return this->value; }

private:
  std::optional<T> value;
  Reason reason{};
};

/// Stands for "done" in a Result that carries no data.
struct Done
{};

} // namespace toucanstand
