#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "network/Endpoint.h"
#include "random/Random.h"
#include "settings/SettingsReader.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A part of the schedule; the rate changes linearly from start to end.
struct LoadPhase
{
  double startRate = 0;
  double endRate = 0;
  Duration length{ 0 };
};

/// An account that sends requests.
struct LoadAccount
{
  std::string name;
  double weight = 1;
};

enum class RequestKind
{
  Chat,
  Lookup,
  Order,
};

/// One kind of request in the mix.
struct RequestProfile
{
  std::string name;
  RequestKind kind = RequestKind::Chat;
  double weight = 1;
  double worth = 1;
  /// Deadline, also sent as Request-Timeout-Ms.
  Duration timeout{ 0 };
  std::uint64_t maxTokens = 0;
  bool streamed = true;
  /// Number of distinct system prompts, and their length in characters.
  std::uint64_t prefixes = 1;
  std::uint64_t prefixCharacters = 0;
  /// Path of lookups and orders; lookups append an item number.
  std::string path;
  /// Share of the callers that give up after a given time, and share of those that
  /// send the same request again.
  double abandonShare = 0;
  Duration abandonAfter{ 0 };
  double againShare = 0;
};

/// What the generator sends. The schedule is open-loop: requests start at their times
/// whether earlier ones were answered or not.
struct LoadPlan
{
  std::vector<Endpoint> targets;
  std::uint64_t seed = 1;
  /// False when the targets are stand-ins, which send no outcome header.
  bool requireOutcome = true;
  std::vector<LoadPhase> phases;
  std::vector<LoadAccount> accounts;
  std::vector<RequestProfile> requests;

  [[nodiscard]] Duration Length() const;
};

/// Reads a plan; when the reader has errors the plan must not be used.
[[nodiscard]] LoadPlan ReadLoadPlan(SettingsReader& aReader);

/// Draws the arrivals of a plan: a Poisson process whose rate follows the phases.
class ArrivalSchedule
{
public:
  ArrivalSchedule(const LoadPlan& aPlan, Random& aRandom);

  /// Time of the next arrival since the start of the schedule; nothing at its end.
  [[nodiscard]] std::optional<Duration> Next();

private:
  const LoadPlan& plan;
  Random& random;
  std::size_t phase = 0;
  double phaseStart = 0;
  double time = 0;
};

} // namespace toucanstand
