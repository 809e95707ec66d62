#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "serving/ZoneDistances.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A model that replica groups of a pool may run.
struct ModelTerms
{
  std::string name;
  /// Engines of one replica group.
  std::size_t groupSize = 1;
  /// Factor on all times of a group that runs this model.
  double paceFactor = 1.0;
  /// The share of all engines that the model's work is expected to need, before any was
  /// measured.
  double engineShare = 1.0;
  /// Time to load the weights from the weight store, with no other load in progress.
  Duration loadTime{ 0 };
  /// Time to join a group with weights that are staged on the host.
  Duration warmTime{ 0 };
};

/// What a replica group's work costs, as the operator states it for a pool of engines.
struct EngineCostModel
{
  /// Requests that a group runs at once.
  std::size_t slots = 1;
  /// Duration of one token step without any request.
  Duration stepTime{ 0 };
  /// Added to a step for each request that is writing.
  Duration stepTimePerWriter{ 0 };
  /// Added to a step for 1,000 tokens of context of a writing request.
  Duration stepTimePerThousandContext{ 0 };
  /// Token steps that one pass with writers executes.
  std::size_t stepsPerPass = 1;
  /// Prompt tokens read in a second.
  double promptTokensPerSecond = 1.0;
  /// Most prompt tokens read in one step.
  std::size_t promptChunk = 1;
  /// Time from the order to open a group until it serves.
  Duration openTime{ 0 };
  /// Loads from the weight store that may start in a second, over all engines.
  double loadsPerSecond = 1.0;
  /// Loads beyond this number slow one another down.
  std::size_t concurrentLoads = 1;
  /// Mean prompt and answer of a request, in tokens.
  double usualPromptTokens = 0;
  double usualAnswerTokens = 0;
  std::vector<ModelTerms> models;
  ZoneDistances zoneDistances;

  /// The terms of a model; null when the pool does not run it.
  [[nodiscard]] const ModelTerms* FindModel(const std::string& aName) const;

  /// Duration of a token step with that many writers, at pace 1.
  [[nodiscard]] Duration StepTime(double aWriters) const;

  /// Engine time of one request in a full group, at pace 1.
  [[nodiscard]] Duration WorkOf(double aPromptTokens, double aAnswerTokens) const;
};

} // namespace toucanstand
