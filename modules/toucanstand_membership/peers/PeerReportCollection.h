#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "network/Endpoint.h"
#include "peers/PeerReport.h"
#include "peers/PeerReportAggregator.h"
#include "peers/ZoneAggregate.h"
#include "time/BootClock.h"

namespace toucanstand {

/// The latest reports of single VMs and the latest aggregates of zones that a VM
/// received, and their sums, in which no VM is counted twice.
///
/// Of two aggregates that share a VM, the one that arrived later counts; the report of a
/// VM counts if no such aggregate contains it. VMs may be in several of them for a second
/// while a relay is lost or VMs know of different relays.
class PeerReportCollection
{
public:
  struct Received
  {
    PeerReport report;
    TimePoint receivedAt{};
    Endpoint endpoint;
    /// Zone of the sender; empty if it is not known.
    ZoneId zone;
  };

  /// @param aOwn the VM that receives; aggregates that contain it do not count
  explicit PeerReportCollection(VmId aOwn);

  /// @returns false if a newer report of this run of the sender has arrived; it is
  /// dropped.
  bool Add(Received aReceived);
  /// @returns the senders whose reports and aggregates do not count any more; nothing if
  /// a newer aggregate of this run of the sender has arrived, and this one is dropped.
  std::optional<std::vector<VmId>> Add(ZoneAggregate aAggregate, TimePoint aNow);

  /// Name under which the aggregate of a relay counts, other than that of its own report.
  [[nodiscard]] static VmId AggregateOf(const VmId& aRelay);

  /// Whether an aggregate that arrived since then contains the VM.
  [[nodiscard]] bool IsInAggregateSince(const VmId& aVm, TimePoint aTime) const;

  void RemoveOlderThan(TimePoint aTime);

  /// Reports of single VMs, whether they count or not.
  [[nodiscard]] const std::map<VmId, Received>& Reports() const { return this->reports; }

  /// The reports, and sums of aggregates, that count and arrived since then.
  [[nodiscard]] std::vector<const PeerReport*> CountingSince(TimePoint aTime) const;

  /// The demand at all VMs of CountingSince().
  [[nodiscard]] std::map<std::string, double> DemandSince(TimePoint aTime) const;

  /// The aggregate of the reports of a zone's VMs that arrived since then and of the own
  /// report. It has the news of these reports alone; news of other zones would return to
  /// where they came from and seem newer each time.
  [[nodiscard]] ZoneAggregate SumOfZone(const ZoneId& aZone,
                                        const PeerReport& aOwnReport,
                                        TimePoint aSince,
                                        TimePoint aNow) const;

private:
  struct ReceivedAggregate
  {
    ZoneAggregate aggregate;
    TimePoint receivedAt{};
  };

  VmId own;
  std::map<VmId, Received> reports;
  /// By the relay that sent it.
  std::map<VmId, ReceivedAggregate> aggregates;
};

} // namespace toucanstand
