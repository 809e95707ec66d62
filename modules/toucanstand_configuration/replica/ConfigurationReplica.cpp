#include "replica/ConfigurationReplica.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

void ConfigurationReplica::AddListener(Listener aListener)
{
  this->listeners.push_back(std::move(aListener));
}

OfferOutcome ConfigurationReplica::Offer(std::string_view aText, TimePoint aNow)
{
  const auto outcome = this->AdoptIfNewer(aText, aNow);
  ++this->outcomeCounts.at(static_cast<std::size_t>(outcome));
  if (outcome == OfferOutcome::Adopted) {
    for (const auto& listener : this->listeners) {
      listener(*this->current);
    }
  }
  return outcome;
}

std::int64_t ConfigurationReplica::Revision() const
{
  return this->current ? this->current->revision : 0;
}

std::optional<Duration> ConfigurationReplica::Age(TimePoint aNow) const
{
  if (!this->current) {
    return std::nullopt;
  }
  return aNow - this->adoptedAt;
}

std::uint64_t ConfigurationReplica::OutcomeCount(OfferOutcome aOutcome) const
{
  return this->outcomeCounts.at(static_cast<std::size_t>(aOutcome));
}

nlohmann::json ConfigurationReplica::Describe(TimePoint aNow) const
{
  nlohmann::json description = {
    { "revision", this->Revision() },
    { "adopted", this->OutcomeCount(OfferOutcome::Adopted) },
    { "not_newer", this->OutcomeCount(OfferOutcome::NotNewer) },
    { "invalid", this->OutcomeCount(OfferOutcome::Invalid) }
  };
  if (this->current) {
    description["author"] = this->current->author;
    description["reason"] = this->current->reason;
    description["exceptions"] = this->current->exceptions.size();
    description["age_ms"] = ToMilliseconds(aNow - this->adoptedAt).count();
  }
  if (!this->lastErrors.empty()) {
    description["last_error"] = toucanstand::Describe(this->lastErrors.front());
  }
  return description;
}

OfferOutcome ConfigurationReplica::AdoptIfNewer(std::string_view aText, TimePoint aNow)
{
  auto document = ParseConfiguration(aText);
  if (!document) {
    this->lastErrors = document.LastReason();
    return OfferOutcome::Invalid;
  }
  if (document->revision <= this->Revision()) {
    return OfferOutcome::NotNewer;
  }
  this->current = std::move(*document);
  this->adoptedAt = aNow;
  return OfferOutcome::Adopted;
}

} // namespace toucanstand
