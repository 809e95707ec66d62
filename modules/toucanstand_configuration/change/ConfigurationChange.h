#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/ConfigurationEdit.h"
#include "document/ConfigurationText.h"

namespace toucanstand {

/// A change that an operator wants to make.
struct ChangeRequest
{
  std::string author;
  /// Unique per change, for example 128 random bits.
  std::string nonce;
  std::string reason;
  ConfigurationEdit edit;
  /// Revision that the operator looked at. Another one in the store is a conflict,
  /// because the change would undo what its author did. Unset: applies to any.
  std::optional<std::int64_t> baseRevision;
};

/// How a change ended.
enum class ChangeResult
{
  Committed,
  /// Another writer won; the outcome names it. Nothing was written.
  Conflict,
  /// Breaks a rule; nothing was written.
  Invalid,
  /// The store could not be read; nothing was written.
  StoreUnavailable,
  /// A write was sent and it can't be told whether it took or will take effect.
  Undetermined,
};

/// Name of a result in messages.
[[nodiscard]] const char* Name(ChangeResult aResult);

/// The end of a change.
struct ChangeOutcome
{
  ChangeResult result = ChangeResult::Undetermined;
  /// Revision of this change when it is committed, else that found in the store.
  std::int64_t revision = 0;
  /// Author of the revision found in the store.
  std::string author;
  std::vector<SettingsError> errors;
  /// Scopes that acceptance of the committed revision does not cover.
  std::vector<Scope> scopesServingIsolated;
};

/// Read kConfigurationKey; answer with OnRead() or OnReadFailed().
struct ReadConfiguration
{};

/// Write kConfigurationKey if its mod revision still is the given one (0: absent);
/// answer with OnSwapAnswered() or OnSwapUnanswered().
struct SwapConfiguration
{
  std::int64_t modRevision = 0;
  std::string text;
};

using ChangeAction = std::variant<ReadConfiguration, SwapConfiguration, ChangeOutcome>;

/// A value read from the store; the text is unset when the key does not exist.
struct StoredConfiguration
{
  std::optional<std::string> text;
  std::int64_t modRevision = 0;
};

/// Makes one change: read, edit, validate, compare-and-swap. After a lost reply it reads
/// the value back and looks for its nonce (R64). Repeating the same conditional write is
/// safe, because at most one write for a mod revision takes effect.
class ConfigurationChange
{
public:
  explicit ConfigurationChange(ChangeRequest aRequest);

  [[nodiscard]] ChangeAction Start() const;
  [[nodiscard]] ChangeAction OnRead(const StoredConfiguration& aStored);
  [[nodiscard]] ChangeAction OnReadFailed();
  /// The store's own answer: whether the condition held and the value was written.
  [[nodiscard]] ChangeAction OnSwapAnswered(bool aWritten);
  /// No answer: the write may have taken effect or may still do so.
  [[nodiscard]] ChangeAction OnSwapUnanswered();

private:
  [[nodiscard]] ChangeAction ProposeSwap(const StoredConfiguration& aStored);
  [[nodiscard]] ChangeAction ResolveSwap(const StoredConfiguration& aStored);
  [[nodiscard]] ChangeAction Swap();
  [[nodiscard]] ChangeOutcome MakeCommittedOutcome() const;

  ChangeRequest request;
  /// What is being written; unset until the first swap.
  std::optional<ConfigurationDocument> proposal;
  std::int64_t modRevision = 0;
  int failedReads = 0;
  int swapAttempts = 0;
  int unansweredSwaps = 0;
};

} // namespace toucanstand
