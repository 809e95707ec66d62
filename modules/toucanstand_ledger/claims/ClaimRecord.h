#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// What is known durably about a keyed call.
enum class ClaimState
{
  /// Granted; the call may be running.
  Claimed,
  /// Answered; the answer is in the record.
  Finished,
  /// May have run; its answer is not known and never will be.
  Unknown,
};

/// Name in the record and in state dumps.
[[nodiscard]] const char* Name(ClaimState aState);

/// Value of `/toucanstand/claims/<hash>` in the store.
struct ClaimRecord
{
  static constexpr std::size_t kMaximumBodyBytes = std::size_t{ 64 } * 1024;
  /// Of the account, the key and the other short texts.
  static constexpr std::size_t kMaximumTextBytes = 256;

  ClaimState state = ClaimState::Claimed;
  AccountId account;
  /// The caller's `Idempotency-Key`.
  std::string key;
  /// HashHex128() of method, path and body of the call.
  std::string fingerprint;
  /// Drawn for each claim; tells the writer's own record from another one.
  std::string nonce;
  /// The entry VM that was granted the call.
  VmId owner;
  /// Status of the answer; 0 unless finished.
  int status = 0;
  /// Body of the answer; empty unless finished.
  std::string body;
  /// True when the body of the answer exceeded the limit and was not stored.
  bool bodyOmitted = false;

  /// Makes the record finished; a body above the limit is omitted as a whole.
  void Finish(int aStatus, std::string aBody);

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Key of the claim in the store. The account's length is part of what is hashed, so that
/// account "a" with key "bc" differs from account "ab" with key "c".
[[nodiscard]] std::string ClaimKey(const AccountId& aAccount, const std::string& aKey);

/// JSON text of the record.
[[nodiscard]] std::string FormatClaimRecord(const ClaimRecord& aRecord);

/// Nothing when the text is malformed, has an unknown version or exceeds a bound.
[[nodiscard]] std::optional<ClaimRecord> ParseClaimRecord(const std::string& aText);

} // namespace toucanstand
