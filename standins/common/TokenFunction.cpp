#include "common/TokenFunction.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

std::string TextOf(const nlohmann::json& aMessage, const char* aKey)
{
  const auto found = aMessage.find(aKey);
  return found != aMessage.end() && found->is_string() ? found->get<std::string>() : "";
}

const nlohmann::json& MessagesOf(const nlohmann::json& aBody)
{
  static const nlohmann::json kNone = nlohmann::json::array();
  if (!aBody.is_object()) {
    return kNone;
  }
  const auto found = aBody.find("messages");
  return found != aBody.end() && found->is_array() ? *found : kNone;
}

} // namespace

std::string TokenText(std::string_view aPrompt, std::uint64_t aIndex)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x ",
                static_cast<unsigned>(Hash64(aPrompt, aIndex) & 0xffffffffU));
  return std::string(text.data());
}

std::string AnswerText(std::string_view aPrompt, std::uint64_t aCount)
{
  std::string answer;
  for (std::uint64_t index = 0; index < aCount; ++index) {
    answer += TokenText(aPrompt, index);
  }
  return answer;
}

std::string PromptOf(const nlohmann::json& aBody)
{
  std::string prompt;
  for (const auto& message : MessagesOf(aBody)) {
    if (message.is_object()) {
      prompt += TextOf(message, "role") + ": " + TextOf(message, "content") + "\n";
    }
  }
  return prompt;
}

std::uint64_t PrefixFingerprint(const nlohmann::json& aBody)
{
  const auto& messages = MessagesOf(aBody);
  const bool usable = !messages.empty() && messages.front().is_object();
  return Hash64(usable ? TextOf(messages.front(), "content") : "");
}

} // namespace toucanstand
