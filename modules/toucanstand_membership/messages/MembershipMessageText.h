#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "errors/Result.h"
#include "messages/MembershipMessage.h"

namespace toucanstand {

/// Version of the text form; another one is rejected.
inline constexpr int kMembershipMessageVersion = 1;
/// Longest text that is parsed. A full list of kMaximumMembers fits.
inline constexpr std::size_t kMaximumMembershipBytes = 1024 * 1024;
/// Longest identifier in a message.
inline constexpr std::size_t kMaximumIdentifierBytes = 128;
/// Most member deltas in one message.
inline constexpr std::size_t kMaximumMemberDeltas = 4096;
/// Most notices in one message.
inline constexpr std::size_t kMaximumNotices = 64;
/// Longest lifetime of a notice.
inline constexpr Duration kMaximumNoticeLifetime = std::chrono::hours(1);

/// Why a message was rejected.
enum class MessageError
{
  TooLarge,
  MalformedJson,
  UnknownVersion,
  UnknownType,
  InvalidContent,
};

inline constexpr std::size_t kMessageErrorCount = 5;

/// Name of an error in counters.
[[nodiscard]] const char* Name(MessageError aError);

/// Type of the envelope that carries the message: `probe`, `probe-ack`, `probe-request`.
[[nodiscard]] const char* TypeName(const MembershipMessage& aMessage);

/// JSON text of a message.
[[nodiscard]] std::string FormatMembershipMessage(const MembershipMessage& aMessage);

/// Reads the text that FormatMembershipMessage() writes; rejects it as a whole.
[[nodiscard]] Result<MembershipMessage, MessageError> ParseMembershipMessage(
  std::string_view aText);

} // namespace toucanstand
