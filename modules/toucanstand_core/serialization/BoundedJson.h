#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "errors/Result.h"

namespace toucanstand {

/// Why a document was not read.
enum class DecodeFailure
{
  TooLarge,
  TooDeep,
  Malformed,
  /// An object names a field twice, so that readers may take different values.
  DuplicateName,
};

/// Whether an object may name a field twice; the last value is read then.
enum class DuplicateNames
{
  Accept,
  Reject,
};

/// Name of a failure for metrics and error bodies.
[[nodiscard]] const char* Name(DecodeFailure aFailure);

/// Bounds on a document from outside.
struct DecodeLimits
{
  std::size_t bytes = 1U << 20U;
  std::size_t depth = 32;
  DuplicateNames duplicateNames = DuplicateNames::Accept;
};

/// Reads JSON text from outside the process.
[[nodiscard]] Result<nlohmann::json, DecodeFailure> DecodeJson(std::string_view aText,
                                                               DecodeLimits aLimits = {});

/// Reads MessagePack from outside the process.
[[nodiscard]] Result<nlohmann::json, DecodeFailure> DecodeMessagePack(
  std::span<const std::uint8_t> aBytes,
  DecodeLimits aLimits = {});

/// Text of a document for the wire; invalid UTF-8 is replaced instead of thrown on.
[[nodiscard]] std::string EncodeJson(const nlohmann::json& aDocument);

} // namespace toucanstand
