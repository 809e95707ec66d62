#include "change/ConfigurationChange.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr int kMaximumFailedReads = 5;
constexpr int kMaximumSwaps = 3;

ChangeOutcome Found(ChangeResult aResult,
                    const std::optional<ConfigurationDocument>& aFound)
{
  ChangeOutcome outcome;
  outcome.result = aResult;
  if (aFound) {
    outcome.revision = aFound->revision;
    outcome.author = aFound->author;
  }
  return outcome;
}

ChangeOutcome Invalid(std::vector<SettingsError> aErrors)
{
  ChangeOutcome outcome;
  outcome.result = ChangeResult::Invalid;
  outcome.errors = std::move(aErrors);
  return outcome;
}

} // namespace

const char* Name(ChangeResult aResult)
{
  constexpr std::array kNames = {
    "committed", "conflict", "invalid", "store-unavailable", "undetermined"
  };
  return kNames.at(static_cast<std::size_t>(aResult));
}

ConfigurationChange::ConfigurationChange(ChangeRequest aRequest)
  : request(std::move(aRequest))
{
}

// The first step of the protocol is a read whatever the state.
ChangeAction ConfigurationChange::Start() const
{
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::OnRead(const StoredConfiguration& aStored)
{
  return this->proposal ? this->Resolve(aStored) : this->Prepare(aStored);
}

ChangeAction ConfigurationChange::OnReadFailed()
{
  if (++this->reads < kMaximumFailedReads) {
    return ReadConfiguration{};
  }
  return Found(this->proposal ? ChangeResult::Undetermined
                              : ChangeResult::StoreUnavailable,
               std::nullopt);
}

ChangeAction ConfigurationChange::OnSwapped(bool aWritten)
{
  if (aWritten) {
    return this->Committed();
  }
  // The condition failed: read who won. It may have been an earlier try of this change.
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::OnSwapUnanswered()
{
  ++this->unanswered;
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::Prepare(const StoredConfiguration& aStored)
{
  json document = { { "defaults", json::object() }, { "exceptions", json::array() } };
  std::optional<ConfigurationDocument> current;
  if (aStored.text) {
    auto parsed = ParseConfiguration(*aStored.text);
    if (!parsed) {
      return Invalid(parsed.LastReason());
    }
    current = std::move(*parsed);
    document = json::parse(current->text);
  }
  const std::int64_t revision = current ? current->revision : 0;
  if (this->request.baseRevision && *this->request.baseRevision != revision) {
    return Found(ChangeResult::Conflict, current);
  }
  if (auto errors = this->request.edit(document); !errors.empty()) {
    return Invalid(std::move(errors));
  }
  document["revision"] = revision + 1;
  document["author"] = this->request.author;
  document["nonce"] = this->request.nonce;
  document["reason"] = this->request.reason;
  // An author or reason from a command line need not be valid UTF-8.
  auto proposed = ParseConfiguration(EncodeJson(document));
  if (!proposed) {
    return Invalid(proposed.LastReason());
  }
  this->proposal = std::move(*proposed);
  this->modRevision = aStored.modRevision;
  return this->Swap();
}

ChangeAction ConfigurationChange::Resolve(const StoredConfiguration& aStored)
{
  std::optional<ConfigurationDocument> found;
  if (aStored.text) {
    found = std::move(ParseConfiguration(*aStored.text).AsOptional());
  }
  if (found && found->nonce == this->request.nonce) {
    return this->Committed();
  }
  if (aStored.modRevision == this->modRevision) {
    // Not written so far, but a delayed write could still arrive: only the same
    // conditional write again settles it.
    return this->swaps < kMaximumSwaps
             ? this->Swap()
             : ChangeAction(Found(ChangeResult::Undetermined, found));
  }
  // A later revision may have been built on this change while its reply was lost.
  const bool mayHaveWon =
    this->unanswered > 0 && (!found || found->revision > this->proposal->revision);
  return Found(mayHaveWon ? ChangeResult::Undetermined : ChangeResult::Conflict, found);
}

ChangeAction ConfigurationChange::Swap()
{
  ++this->swaps;
  return SwapConfiguration{ this->modRevision, this->proposal->text };
}

ChangeOutcome ConfigurationChange::Committed() const
{
  auto outcome = Found(ChangeResult::Committed, this->proposal);
  outcome.uncovered = UncoveredScopes(*this->proposal);
  return outcome;
}

} // namespace toucanstand
