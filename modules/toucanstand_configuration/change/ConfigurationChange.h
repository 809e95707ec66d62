#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/ConfigurationEdit.h"
#include "document/ConfigurationText.h"

namespace toucanstand {

/// A configuration change requested by an operator.
struct ChangeRequest
{
  std::string author;
  /// Unique per change, for example 128 random bits.
  std::string nonce;
  std::string reason;
  ConfigurationEdit edit;
  /// Revision that the edit is based on. A different revision in the store is a conflict,
  /// because this change would overwrite that revision. Unset: any revision.
  std::optional<std::int64_t> baseRevision;
};

/// Result of a change.
enum class ChangeResult
{
  Committed,
  /// Another writer changed the configuration first; the outcome has its author and
  /// revision. Nothing was written.
  Conflict,
  /// The change breaks a validation rule; nothing was written.
  Invalid,
  /// The store could not be read; nothing was written.
  StoreUnavailable,
  /// A write was sent, and it is unknown whether it has taken effect or still will.
  Undetermined,
};

/// Name of a result in messages.
[[nodiscard]] const char* Name(ChangeResult aResult);

/// Result of a change with its details.
struct ChangeOutcome
{
  ChangeResult result = ChangeResult::Undetermined;
  /// Revision of this change if it is committed, else the one found in the store.
  std::int64_t revision = 0;
  /// Author of the revision found in the store.
  std::string author;
  std::vector<SettingsError> errors;
  /// Scopes that may serve an older revision after this one is accepted.
  /// @see ScopesServingIsolated()
  std::vector<Scope> scopesServingIsolated;
};

/// Asks the caller to read kConfigurationKey, then to call OnRead() or OnReadFailed().
struct ReadConfiguration
{};

/// Asks the caller to write kConfigurationKey if its mod revision is still the given one
/// (0: the key does not exist), then to call OnSwapAnswered() or OnSwapUnanswered().
struct SwapConfiguration
{
  std::int64_t modRevision = 0;
  std::string text;
};

using ChangeAction = std::variant<ReadConfiguration, SwapConfiguration, ChangeOutcome>;

/// A value read from the store. The text is unset when the key does not exist.
struct StoredConfiguration
{
  std::optional<std::string> text;
  std::int64_t modRevision = 0;
};

/// Performs one change as a state machine: read, edit, validate, compare-and-swap.
///
/// After a lost reply the write may have taken effect. The change then reads the value
/// back and looks for its own nonce. Repeating the same conditional write is safe,
/// because at most one write for a mod revision takes effect.
class ConfigurationChange
{
public:
  explicit ConfigurationChange(ChangeRequest aRequest);

  [[nodiscard]] ChangeAction Start() const;
  [[nodiscard]] ChangeAction OnRead(const StoredConfiguration& aStored);
  [[nodiscard]] ChangeAction OnReadFailed();
  /// The store answered the write. @param aWritten whether the condition held and the
  /// value was written
  [[nodiscard]] ChangeAction OnSwapAnswered(bool aWritten);
  /// The store did not answer. The write may have taken effect or may still do so.
  [[nodiscard]] ChangeAction OnSwapUnanswered();

private:
  /// Applies the edit to the stored configuration, and writes the result if it is valid.
  [[nodiscard]] ChangeAction ProposeSwap(const StoredConfiguration& aStored);
  /// Determines from the stored configuration whether an earlier write of this change
  /// took effect, or repeats the write.
  [[nodiscard]] ChangeAction ResolveSwap(const StoredConfiguration& aStored);
  [[nodiscard]] ChangeAction Swap();
  [[nodiscard]] ChangeOutcome MakeCommittedOutcome() const;

  ChangeRequest request;
  /// The document that is being written; unset until the first write.
  std::optional<ConfigurationDocument> proposal;
  std::int64_t modRevision = 0;
  int failedReads = 0;
  int swapAttempts = 0;
  int unansweredSwaps = 0;
};

} // namespace toucanstand
