#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "document/ConfigurationText.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Result of offering a document to a replica.
enum class OfferOutcome
{
  Adopted,
  /// The revision in force is the same or higher.
  NotNewer,
  /// The document breaks a rule and is rejected. The revision in force stays.
  Invalid,
};

inline constexpr std::size_t kOfferOutcomeCount = 3;

/// The configuration in force on this node. Its revision never decreases.
class ConfigurationReplica
{
public:
  using Listener = std::function<void(const ConfigurationDocument&)>;

  /// Adds a function that is called on each adoption, in the order of registration.
  void AddListener(Listener aListener);

  /// Adopts a document from the store or a peer if it is valid and newer.
  OfferOutcome Offer(std::string_view aText, TimePoint aNow);

  /// Revision in force; 0 when there is none.
  [[nodiscard]] std::int64_t Revision() const;
  [[nodiscard]] const std::optional<ConfigurationDocument>& Current() const
  {
    return this->current;
  }
  /// Time since the revision in force was adopted; unset when there is none.
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const;
  /// Errors of the last document that was rejected.
  [[nodiscard]] const std::vector<SettingsError>& LastErrors() const
  {
    return this->lastErrors;
  }
  [[nodiscard]] std::uint64_t OutcomeCount(OfferOutcome aOutcome) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  OfferOutcome AdoptIfNewer(std::string_view aText, TimePoint aNow);

  std::optional<ConfigurationDocument> current;
  TimePoint adoptedAt{};
  std::vector<Listener> listeners;
  std::vector<SettingsError> lastErrors;
  std::array<std::uint64_t, kOfferOutcomeCount> outcomeCounts{};
};

} // namespace toucanstand
