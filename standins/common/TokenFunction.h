#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace toucanstand {

/// Text of a token, a pure function of prompt and index, so that every engine gives the
/// same answer and a caller can check each token of an answer.
[[nodiscard]] std::string TokenText(std::string_view aPrompt, std::uint64_t aIndex);

/// The whole answer: tokens 0 to aCount - 1.
[[nodiscard]] std::string AnswerText(std::string_view aPrompt, std::uint64_t aCount);

/// The prompt of a chat request: role and content of each message, in order.
///
/// Only `messages` counts, so that a proxy may change other fields, for example `stream`.
/// Empty when the body has no messages.
[[nodiscard]] std::string PromptOf(const nlohmann::json& aBody);

/// Fingerprint of the prompt prefix that an engine caches: the 64-bit hash of the content
/// of the first message, which is usually a system prompt shared by many requests.
[[nodiscard]] std::uint64_t PrefixFingerprint(const nlohmann::json& aBody);

} // namespace toucanstand
