#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "errors/Result.h"
#include "messages/MembershipMessage.h"

namespace toucanstand {

/// Version of the JSON format; messages of other versions are rejected.
inline constexpr int kMembershipMessageVersion = 1;
/// Maximum length of a parsed text; sufficient for a list of kMaximumMembers members.
inline constexpr std::size_t kMaximumMembershipBytes = 1024 * 1024;
/// Maximum length of an identifier in a message.
inline constexpr std::size_t kMaximumIdentifierBytes = 128;
/// Maximum number of member deltas in one message.
inline constexpr std::size_t kMaximumMemberDeltas = 4096;
/// Maximum number of notices in one message.
inline constexpr std::size_t kMaximumNotices = 64;
/// Maximum lifetime of a notice.
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

/// Formats a message as JSON.
[[nodiscard]] std::string FormatMembershipMessage(const MembershipMessage& aMessage);

/// Parses the text that FormatMembershipMessage() returns. Any invalid or unknown field
/// rejects the whole message.
[[nodiscard]] Result<MembershipMessage, MessageError> ParseMembershipMessage(
  std::string_view aText);

} // namespace toucanstand
