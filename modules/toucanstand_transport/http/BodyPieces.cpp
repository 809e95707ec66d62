#include "http/BodyPieces.h"

#include <algorithm>
#include <utility>

namespace toucanstand {

namespace {

constexpr std::size_t kMinPiece = 1U << 10U;
/// Below the size from which the allocator maps memory of its own for each block.
constexpr std::size_t kMaxPiece = 64U << 10U;

} // namespace

void BodyPieces::SetReservation(Reservation aReservation)
{
  this->reservation = std::move(aReservation);
}

bool BodyPieces::Append(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    if (this->pieces.empty() ||
        this->pieces.back().size() == this->pieces.back().capacity()) {
      // As much again as there is: small bodies waste little, large ones ask seldom.
      const auto next = std::clamp(this->size, kMinPiece, kMaxPiece);
      if (this->reservation && !this->reservation(this->capacity + next)) {
        return false;
      }
      this->pieces.emplace_back().reserve(next);
      this->capacity += next;
    }
    auto& piece = this->pieces.back();
    const auto part = aBytes.substr(0, piece.capacity() - piece.size());
    piece += part;
    this->size += part.size();
    aBytes.remove_prefix(part.size());
  }
  return true;
}

std::string BodyPieces::Join()
{
  std::string whole;
  if (this->pieces.size() == 1) {
    whole = std::move(this->pieces.front());
  } else {
    whole.reserve(this->size);
    for (auto& piece : this->pieces) {
      whole += std::exchange(piece, {});
    }
  }
  this->pieces.clear();
  this->size = 0;
  this->capacity = 0;
  return whole;
}

} // namespace toucanstand
