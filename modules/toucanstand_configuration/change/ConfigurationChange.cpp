#include "change/ConfigurationChange.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr int kMaximumFailedReads = 5;
constexpr int kMaximumSwapAttempts = 3;

ChangeOutcome MakeOutcome(ChangeResult aResult,
                          const std::optional<ConfigurationDocument>& aDocument)
{
  ChangeOutcome outcome;
  outcome.result = aResult;
  if (aDocument) {
    outcome.revision = aDocument->revision;
    outcome.author = aDocument->author;
  }
  return outcome;
}

ChangeOutcome MakeInvalidOutcome(std::vector<SettingsError> aErrors)
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

// Every change starts with a read, to learn the mod revision for the conditional write.
ChangeAction ConfigurationChange::Start() const
{
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::OnRead(const StoredConfiguration& aStored)
{
  return this->proposal ? this->ResolveSwap(aStored) : this->ProposeSwap(aStored);
}

ChangeAction ConfigurationChange::OnReadFailed()
{
  if (++this->failedReads < kMaximumFailedReads) {
    return ReadConfiguration{};
  }
  return MakeOutcome(this->proposal ? ChangeResult::Undetermined
                                    : ChangeResult::StoreUnavailable,
                     std::nullopt);
}

ChangeAction ConfigurationChange::OnSwapAnswered(bool aWritten)
{
  if (aWritten) {
    return this->MakeCommittedOutcome();
  }
  // The condition failed: read the value to learn who wrote it. It may be an earlier
  // attempt of this change whose reply was lost.
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::OnSwapUnanswered()
{
  ++this->unansweredSwaps;
  return ReadConfiguration{};
}

ChangeAction ConfigurationChange::ProposeSwap(const StoredConfiguration& aStored)
{
  json document = { { "defaults", json::object() }, { "exceptions", json::array() } };
  std::optional<ConfigurationDocument> current;
  if (aStored.text) {
    auto parsed = ParseConfiguration(*aStored.text);
    if (!parsed) {
      return MakeInvalidOutcome(parsed.LastReason());
    }
    current = std::move(*parsed);
    document = json::parse(current->text);
  }
  const std::int64_t revision = current ? current->revision : 0;
  if (this->request.baseRevision && *this->request.baseRevision != revision) {
    return MakeOutcome(ChangeResult::Conflict, current);
  }
  if (auto errors = this->request.edit(document); !errors.empty()) {
    return MakeInvalidOutcome(std::move(errors));
  }
  document["revision"] = revision + 1;
  document["author"] = this->request.author;
  document["nonce"] = this->request.nonce;
  document["reason"] = this->request.reason;
  // EncodeJson() replaces invalid UTF-8, whereas dump() would throw. An author or reason
  // from a command line may not be valid UTF-8.
  auto proposed = ParseConfiguration(EncodeJson(document));
  if (!proposed) {
    return MakeInvalidOutcome(proposed.LastReason());
  }
  this->proposal = std::move(*proposed);
  this->modRevision = aStored.modRevision;
  return this->Swap();
}

ChangeAction ConfigurationChange::ResolveSwap(const StoredConfiguration& aStored)
{
  std::optional<ConfigurationDocument> found;
  if (aStored.text) {
    found = std::move(ParseConfiguration(*aStored.text).AsOptional());
  }
  if (found && found->nonce == this->request.nonce) {
    return this->MakeCommittedOutcome();
  }
  if (aStored.modRevision == this->modRevision) {
    // The write has not taken effect, but a delayed copy of it could still arrive. Only
    // repeating the same conditional write resolves this.
    return this->swapAttempts < kMaximumSwapAttempts
             ? this->Swap()
             : ChangeAction(MakeOutcome(ChangeResult::Undetermined, found));
  }
  // This change may have been committed and then replaced by a later revision while its
  // reply was lost.
  const bool mayBeCommitted =
    this->unansweredSwaps > 0 && (!found || found->revision > this->proposal->revision);
  return MakeOutcome(mayBeCommitted ? ChangeResult::Undetermined : ChangeResult::Conflict,
                     found);
}

ChangeAction ConfigurationChange::Swap()
{
  ++this->swapAttempts;
  return SwapConfiguration{ this->modRevision, this->proposal->text };
}

ChangeOutcome ConfigurationChange::MakeCommittedOutcome() const
{
  auto outcome = MakeOutcome(ChangeResult::Committed, this->proposal);
  outcome.scopesServingIsolated = ScopesServingIsolated(*this->proposal);
  return outcome;
}

} // namespace toucanstand
