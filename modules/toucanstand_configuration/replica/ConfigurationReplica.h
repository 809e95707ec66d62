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

/// What became of a document that was offered to a replica.
enum class OfferOutcome
{
  Adopted,
  /// The revision in force is as high or higher.
  NotNewer,
  /// Rejected as a whole; the revision in force stays.
  Invalid,
};

inline constexpr std::size_t kOfferOutcomeCount = 3;

/// The configuration in force on this node. It only ever moves to a higher revision.
class ConfigurationReplica
{
public:
  using Listener = std::function<void(const ConfigurationDocument&)>;

  /// Called on each adoption, in the order of registration.
  void AddListener(Listener aListener);

  /// Takes over a document from the store or a peer when it is newer.
  OfferOutcome Offer(std::string_view aText, TimePoint aNow);

  /// Revision in force; 0 when there is none.
  [[nodiscard]] std::int64_t Revision() const;
  [[nodiscard]] const std::optional<ConfigurationDocument>& Current() const
  {
    return this->current;
  }
  /// Time since the revision in force was adopted; nothing when there is none.
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const;
  /// Errors of the latest document that was rejected.
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
