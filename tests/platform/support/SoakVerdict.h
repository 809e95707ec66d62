#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/SoakRecords.h"

namespace toucanstand {

/// Compares what the callers of the soak saw with the runs that the backend servers
/// recorded and with what was done to the VMs. docs/design.md, section 9, says what a
/// planned stop may do.
class SoakVerdict
{
public:
  /// What happened besides the requests.
  struct Facts
  {
    /// All processes, in the order of their starts.
    std::vector<SoakLife> lives;
    /// Number of runs by attempt id.
    std::map<std::string, std::size_t> runs;
    /// Attempt ids of the runs that a backend server broke off, stalled or falsified.
    std::set<std::string> failedRuns;
    std::chrono::milliseconds stopPeriod{ 0 };
    /// Programs of earlier builds, which do not keep the present promises of a planned
    /// stop: what their processes lose after SIGTERM is counted apart.
    std::set<std::string> earlierPrograms;
    std::string wholeStream;
    /// When an order to evacuate the zone was in the store: from the answer to the write
    /// until before the deletion.
    std::vector<SoakInterval> evacuations;
    /// When runs began at servers of the zone, by attempt id.
    std::multimap<std::string, SoakTime> runsInZone;
    /// By VM, when the store gave it no answers.
    std::map<std::size_t, std::vector<SoakInterval>> storeOutages;
  };

  /// Time after an order to evacuate a zone from which nothing runs there.
  static constexpr auto kEvacuationBound = std::chrono::seconds(5);

  explicit SoakVerdict(Facts aFacts);

  void Judge(const SoakRequest& aRequest);

  /// A line for each violated guarantee.
  std::vector<std::string> violations;
  /// Numbers of requests and processes that the design excuses, by the reason.
  std::map<std::string, std::size_t> excused;

private:
  void JudgeLife(const SoakLife& aLife);
  /// Judges that a run of the request began at a server of the zone.
  void JudgeRunInZone(const SoakRequest& aRequest, SoakTime aBegan);
  /// Whether the VM must know by a time of an order written before: it began after the
  /// write and so had to read the order first, or it had kEvacuationBound at a stretch in
  /// which it was not paused and the store answered it.
  [[nodiscard]] bool MustKnowOrder(std::size_t aVm,
                                   SoakTime aWritten,
                                   SoakTime aAt) const;
  void JudgeAnswer(const SoakRequest& aRequest);
  void JudgeMissingAnswer(const SoakRequest& aRequest, const SoakLife& aLife);
  void JudgeCutAnswer(const SoakRequest& aRequest, const SoakLife& aLife);
  void Report(const SoakRequest& aRequest, const std::string& aViolation);
  /// Reports an answer that is missing or was cut.
  void ReportLoss(const SoakRequest& aRequest,
                  const SoakLife& aLife,
                  const std::string& aViolation);
  [[nodiscard]] std::size_t Runs(const SoakRequest& aRequest) const;
  [[nodiscard]] const SoakLife& LifeOf(const SoakRequest& aRequest) const;
  /// The process that the VM had at a time.
  [[nodiscard]] const SoakLife& LifeAt(std::size_t aVm, SoakTime aTime) const;
  [[nodiscard]] std::string StopTime(const SoakLife& aLife, SoakTime aTime) const;

  Facts facts;
  std::chrono::milliseconds drain;
  std::chrono::milliseconds finalAnswersAfter;
};

} // namespace toucanstand
