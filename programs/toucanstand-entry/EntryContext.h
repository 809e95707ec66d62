#pragma once

#include <map>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "AdmissionGate.h"
#include "ClaimLink.h"
#include "EntrySettings.h"
#include "SuspectLink.h"
#include "answers/AnswerDurations.h"
#include "attempts/RetryBudget.h"
#include "crashes/CrashQuarantine.h"
#include "document/EffectiveConfiguration.h"
#include "http/HttpClient.h"
#include "lifecycle/StopSchedule.h"
#include "messages/MessagePort.h"
#include "metrics/MetricsRegistry.h"
#include "observation/WorldView.h"
#include "random/Random.h"
#include "routing/Router.h"

namespace toucanstand {

/// What the calls of one entry process share.
struct EntryContext
{
  EntryContext(boost::asio::io_context& aLoop,
               EntrySettings aSettings,
               MetricsRegistry& aMetrics,
               Random aRandom);

  /// The router of a pool; made on first use.
  Router& RouterFor(const PoolId& aPool);

  /// Candidates of a pool that may be used now.
  [[nodiscard]] std::vector<const Candidate*> UsableCandidates(const PoolId& aPool,
                                                               TimePoint aNow) const;

  /// Takes over a snapshot of the node process.
  void OnWorldView(WorldView aView, TimePoint aNow);

  /// Takes over a configuration.
  void OnConfiguration(EffectiveConfiguration aConfiguration);

  /// Lengthens a period by up to half of it at random, so that callers who are refused
  /// together do not come back together.
  [[nodiscard]] Duration Spread(Duration aPeriod);

  /// False while new work must be refused: no recent snapshot, or the node is isolated.
  [[nodiscard]] bool MayServe(TimePoint aNow) const;

  boost::asio::io_context& loop;
  EntrySettings settings;
  MetricsRegistry& metrics;
  Random random;
  HttpClient client;
  MessagePort port;
  ClaimLink claims;
  SuspectLink suspects;
  AdmissionGate gate;
  RetryBudget budget;
  CrashQuarantine quarantine;
  EffectiveConfiguration configuration;
  WorldView view;
  std::map<PoolId, Router> routers;
  AnswerDurations answerDurations;
  /// Times of the planned stop, once it has begun.
  std::optional<StopSchedule> stopSchedule;
  /// Calls that may have run and got no answer because of the planned stop.
  std::size_t callsEndedByStop = 0;
  bool draining = false;

private:
  [[nodiscard]] RouterSettings SettingsFor(const PoolId& aPool) const;
};

} // namespace toucanstand
