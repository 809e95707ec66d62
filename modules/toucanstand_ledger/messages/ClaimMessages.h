#pragma once

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Answer to a claim.
enum class ClaimAnswer
{
  /// The claim is durable: send the call.
  Granted,
  /// The call was answered before: give its caller that answer.
  StoredAnswer,
  /// 409: the call may be running now.
  InProgress,
  /// 409: the call may have run; its answer is not known.
  OutcomeUnknown,
  /// 422: the key was used with another body.
  KeyReused,
  /// 503, not run: the claim can't be made durable now.
  StoreDown,
};

/// Name in the message.
[[nodiscard]] const char* WireName(ClaimAnswer aAnswer);

/// What a call with a granted claim came to.
enum class ClaimOutcome
{
  Answered,
  /// Proven not run: the key becomes free again.
  NotRun,
  Unknown,
};

/// Name in the message; the same words as the header `Toucanstand-Outcome`.
[[nodiscard]] const char* WireName(ClaimOutcome aOutcome);

/// Body of `claim`. The entry draws the nonce and sends each one once.
struct ClaimMessage
{
  AccountId account;
  std::string key;
  /// HashHex128() of method, path and body of the call.
  std::string fingerprint;
  std::string nonce;

  friend bool operator==(const ClaimMessage&, const ClaimMessage&) = default;
};

/// Body of `claim-reply`.
struct ClaimReplyMessage
{
  std::string nonce;
  ClaimAnswer answer = ClaimAnswer::StoreDown;
  /// Status and body of the stored answer; 0 and empty for the other answers.
  int status = 0;
  std::string body;
  /// The stored answer was too long: answer its status with an error body that says so.
  bool bodyOmitted = false;

  friend bool operator==(const ClaimReplyMessage&, const ClaimReplyMessage&) = default;
};

/// Body of `outcome`. Also sent, as NotRun, for a claim that the entry stopped waiting
/// for. After it the entry must not send the call, even if a grant still arrives.
struct OutcomeMessage
{
  std::string nonce;
  ClaimOutcome outcome = ClaimOutcome::Unknown;
  /// Status and body of the answer; 0 and empty unless answered.
  int status = 0;
  std::string body;
  /// Those of the claim. They let a ledger that was restarted after the claim find the
  /// record; without them its outcome is lost.
  AccountId account{};
  std::string key{};

  friend bool operator==(const OutcomeMessage&, const OutcomeMessage&) = default;
};

/// Body of `outcome-reply`.
struct OutcomeReplyMessage
{
  std::string nonce;
  /// False when the outcome couldn't be made durable; a repeat is answered "outcome
  /// unknown".
  bool recorded = false;

  friend bool operator==(const OutcomeReplyMessage&,
                         const OutcomeReplyMessage&) = default;
};

[[nodiscard]] nlohmann::json ToJson(const ClaimMessage& aMessage);
[[nodiscard]] nlohmann::json ToJson(const ClaimReplyMessage& aMessage);
[[nodiscard]] nlohmann::json ToJson(const OutcomeMessage& aMessage);
[[nodiscard]] nlohmann::json ToJson(const OutcomeReplyMessage& aMessage);

/// Nothing when a field is missing, unknown, of the wrong type or beyond its bound.
[[nodiscard]] std::optional<ClaimMessage> ClaimFromJson(const nlohmann::json& aBody);
[[nodiscard]] std::optional<ClaimReplyMessage> ClaimReplyFromJson(
  const nlohmann::json& aBody);
[[nodiscard]] std::optional<OutcomeMessage> OutcomeFromJson(const nlohmann::json& aBody);
[[nodiscard]] std::optional<OutcomeReplyMessage> OutcomeReplyFromJson(
  const nlohmann::json& aBody);

} // namespace toucanstand
