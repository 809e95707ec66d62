#include <catch2/catch.hpp>

#include "FormationSimulation.h"
#include "formation/ModelDemand.h"
#include "random/Random.h"

using namespace toucanstand;
using std::chrono::seconds;

namespace {

constexpr std::size_t kEngines = 162;

EngineCostModel CostModel()
{
  EngineCostModel cost;
  cost.models = { { "large", 8, 1.0, 0.67, seconds(16), {} },
                  { "small", 2, 0.6, 0.33, seconds(12), {} } };
  return cost;
}

/// Engines that the model's share of all groups gives it.
double Engines(const ModelDemand& aDemand, const std::string& aModel)
{
  const double large = aDemand.TargetShare("large") * 8;
  const double small = aDemand.TargetShare("small") * 2;
  return (aModel == "large" ? large : small) / (large + small) * kEngines;
}

} // namespace

TEST_CASE("With one priority or enough engines the plan is the proportional one",
          "[formation]")
{
  // Guards earlier deployments.
  Random random(5);
  const ServerDirectory directory;
  const auto cost = CostModel();
  for (int number = 0; number < 2000; ++number) {
    FormationInputs inputs{ directory, cost, {} };
    inputs.work = { { "large", random.Fraction() * 20 },
                    { "small", random.Fraction() * 80 } };
    const bool isOnePriority = number % 2 == 0;
    inputs.mix = { { "large", { { 2, 1.0 } } }, { "small", { { 2, 3.0 } } } };
    if (!isOnePriority) {
      inputs.mix["small"] = { { 0, 1.0 } };
    }
    const ModelDemand proportional(inputs, kEngines);
    const ModelDemand byUrgency(inputs, kEngines, ModelDemand::Order::ByUrgency);
    if (isOnePriority || !ModelDemand::IsShort(inputs, kEngines)) {
      for (const auto* model : { "large", "small" }) {
        REQUIRE(byUrgency.TargetShare(model) == proportional.TargetShare(model));
        REQUIRE(byUrgency.MaxGroups(model) == proportional.MaxGroups(model));
      }
    } else {
      REQUIRE(byUrgency.TargetShare("small") > proportional.TargetShare("small"));
      REQUIRE(Engines(byUrgency, "large") >= 0.499 * Engines(proportional, "large"));
    }
  }
}

TEST_CASE(
  "When engines are short, the models with more urgent requests are supplied first",
  "[formation]")
{
  // Guards against rejecting urgent requests of one model while another model's less
  // urgent ones are served.
  const ServerDirectory directory;
  const auto cost = CostModel();
  FormationInputs inputs{ directory, cost, {} };
  // 128 engines busy for the large model, 72 for the small one.
  inputs.work = { { "large", 16 }, { "small", 60 } };
  inputs.mix = { { "large", { { 1, 1.0 }, { 2, 1.0 } } }, { "small", { { 0, 1.0 } } } };
  const auto small = [&] {
    return Engines(ModelDemand(inputs, kEngines, ModelDemand::Order::ByUrgency), "small");
  };
  CHECK(Engines(ModelDemand(inputs, kEngines), "small") < 60);
  CHECK(small() >= 72);
  // The less urgent half of the large model's requests gives way, not the other.
  inputs.mix["small"] = { { 1, 1.0 } };
  CHECK(small() >= 72);
  CHECK(kEngines - small() >= 64);
  inputs.mix["small"] = { { 5, 1.0 } };
  CHECK(small() >= 0.499 * Engines(ModelDemand(inputs, kEngines), "small"));
  // Work that the leader has seen none of counts as the least urgent.
  inputs.mix = { { "large", { { 1, 1.0 }, { 2, 1.0 } } } };
  CHECK(small() < Engines(ModelDemand(inputs, kEngines), "small"));
}

TEST_CASE("At the bound of enough engines both plans agree", "[formation]")
{
  // Guards against groups that move back and forth while the demand hovers there.
  const ServerDirectory directory;
  const auto cost = CostModel();
  FormationInputs inputs{ directory, cost, {} };
  inputs.mix = { { "large", { { 1, 1.0 } } }, { "small", { { 0, 1.0 } } } };
  for (double scale = 0.1;; scale += 0.001) {
    inputs.work = { { "large", 16 * scale }, { "small", 60 * scale } };
    if (ModelDemand::IsShort(inputs, kEngines)) {
      break;
    }
  }
  const ModelDemand byUrgency(inputs, kEngines, ModelDemand::Order::ByUrgency);
  CHECK(byUrgency.TargetShare("small") ==
        Approx(ModelDemand(inputs, kEngines).TargetShare("small")).epsilon(0.005));
}

TEST_CASE("Groups move to urgent requests only if the peak lasts longer than a load",
          "[formation]")
{
  // Guards against groups that are closed for a peak that is over before they serve
  // again.
  const ModelMix byUrgency{ { "large", { { 2, 1.0 } } }, { "small", { { 0, 1.0 } } } };
  const ModelMix onePriority{ { "large", { { 2, 1.0 } } }, { "small", { { 2, 1.0 } } } };
  const auto play = [](const ModelMix& aMix, Duration aPeak, Duration aAfter) {
    FormationSimulation simulation({ .domains = 4, .enginesPerDomain = 9 }, 7);
    simulation.SetLoad({ { "large", 4 }, { "small", 4 } }, aMix);
    simulation.Run(seconds(60));
    simulation.StartTraffic();
    simulation.SetLoad({ { "large", 6 }, { "small", 20 } }, aMix);
    simulation.Run(aPeak);
    simulation.SetLoad({ { "large", 4 }, { "small", 4 } }, aMix);
    simulation.Run(aAfter);
    return std::pair(simulation.OpenGroups("large"), simulation.OpenGroups("small"));
  };
  CHECK(play(byUrgency, seconds(12), seconds(0)) ==
        play(onePriority, seconds(12), seconds(0)));
  CHECK(play(byUrgency, seconds(12), seconds(30)) ==
        play(onePriority, seconds(12), seconds(30)));
  const auto urgent = play(byUrgency, seconds(120), seconds(0));
  const auto proportional = play(onePriority, seconds(120), seconds(0));
  INFO("by urgency " << urgent.first << " large, " << urgent.second
                     << " small; proportional " << proportional.first << " large, "
                     << proportional.second << " small");
  CHECK(urgent.second > proportional.second);
  CHECK(2 * urgent.first >= proportional.first);
}
