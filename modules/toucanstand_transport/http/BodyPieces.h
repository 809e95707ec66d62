#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace toucanstand {

/// A body that arrives, in pieces. Growing moves no bytes, unlike in a string.
class BodyPieces
{
public:
  /// Asked before memory is taken. @param aBytes what the pieces would take in all
  /// @returns false if they may not be taken
  using Reservation = std::function<bool(std::size_t aBytes)>;

  void SetReservation(Reservation aReservation);

  /// @returns false if memory was refused
  [[nodiscard]] bool Append(std::string_view aBytes);

  /// Moves the bytes into one string.
  [[nodiscard]] std::string Join();

  [[nodiscard]] std::size_t Size() const { return this->size; }
  /// Memory that the pieces take.
  [[nodiscard]] std::size_t Capacity() const { return this->capacity; }

private:
  Reservation reservation;
  std::vector<std::string> pieces;
  std::size_t size = 0;
  std::size_t capacity = 0;
};

/// Lets a parser write a body into pieces; a Body in the sense of Boost.Beast.
struct PieceBody
{
  using value_type = BodyPieces; // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader
  {
  public:
    template<bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, BodyPieces& aPieces)
      : pieces(aPieces)
    {
    }

    // NOLINTBEGIN(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      std::size_t taken = 0;
      aError = {};
      for (auto part = boost::asio::buffer_sequence_begin(aBuffers);
           part != boost::asio::buffer_sequence_end(aBuffers);
           ++part) {
        const boost::asio::const_buffer buffer = *part;
        const std::string_view bytes(static_cast<const char*>(buffer.data()),
                                     buffer.size());
        if (!this->pieces.Append(bytes)) {
          aError = make_error_code(boost::system::errc::not_enough_memory);
          break;
        }
        taken += bytes.size();
      }
      return taken;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }
    // NOLINTEND(readability-identifier-naming)

  private:
    BodyPieces& pieces;
  };
};

} // namespace toucanstand
