#include "peers/PeerReportCollection.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace toucanstand {

namespace {

bool IsOutdated(const PeerReport& aReport, const PeerReport& aLatest)
{
  return aLatest.runNumber == aReport.runNumber && aReport.sequence <= aLatest.sequence;
}

bool Contains(const std::vector<VmId>& aVms, const VmId& aVm)
{
  return std::ranges::find(aVms, aVm) != aVms.end();
}

bool SharesVm(const ZoneAggregate& aLeft, const ZoneAggregate& aRight)
{
  return std::ranges::any_of(
    aLeft.vms, [&aRight](const VmId& aVm) { return Contains(aRight.vms, aVm); });
}

/// Appends the news of a report that was received that long ago.
void AppendNews(PeerReport& aSum, const PeerReport& aReport, Duration aAge)
{
  const auto append = [aAge](auto& aTo, auto aItems) {
    for (auto& item : aItems) {
      item.ageSeconds += ToSeconds(aAge);
      aTo.push_back(std::move(item));
    }
  };
  append(aSum.crashes, aReport.crashes);
  append(aSum.survivals, aReport.survivals);
  append(aSum.rateLimits, aReport.rateLimits);
}

} // namespace

PeerReportCollection::PeerReportCollection(VmId aOwn)
  : own(std::move(aOwn))
{
}

bool PeerReportCollection::Add(Received aReceived)
{
  const auto sender = aReceived.report.sender;
  const auto known = this->reports.find(sender);
  if (known != this->reports.end() &&
      IsOutdated(aReceived.report, known->second.report)) {
    return false;
  }
  this->reports[sender] = std::move(aReceived);
  return true;
}

std::optional<std::vector<VmId>> PeerReportCollection::Add(ZoneAggregate aAggregate,
                                                           TimePoint aNow)
{
  const auto sender = aAggregate.sum.sender;
  const auto known = this->aggregates.find(sender);
  const bool isOutdated = known != this->aggregates.end() &&
                          IsOutdated(aAggregate.sum, known->second.aggregate.sum);
  if (isOutdated || Contains(aAggregate.vms, this->own)) {
    return std::nullopt;
  }
  std::vector<VmId> replaced;
  std::ranges::copy_if(aAggregate.vms,
                       std::back_inserter(replaced),
                       [this](const VmId& aVm) { return this->reports.contains(aVm); });
  std::erase_if(this->aggregates, [&](const auto& aOther) {
    const bool isReplaced =
      aOther.first != sender && SharesVm(aOther.second.aggregate, aAggregate);
    if (isReplaced) {
      replaced.push_back(AggregateOf(aOther.first));
    }
    return isReplaced;
  });
  this->aggregates[sender] = { std::move(aAggregate), aNow };
  return replaced;
}

VmId PeerReportCollection::AggregateOf(const VmId& aRelay)
{
  return VmId("zone of " + aRelay.Value());
}

bool PeerReportCollection::IsInAggregateSince(const VmId& aVm, TimePoint aTime) const
{
  return std::ranges::any_of(
    this->aggregates | std::views::values, [&](const ReceivedAggregate& aReceived) {
      return aReceived.receivedAt >= aTime && Contains(aReceived.aggregate.vms, aVm);
    });
}

void PeerReportCollection::RemoveOlderThan(TimePoint aTime)
{
  const auto isOlder = [aTime](const auto& aItem) {
    return aItem.second.receivedAt < aTime;
  };
  std::erase_if(this->reports, isOlder);
  std::erase_if(this->aggregates, isOlder);
}

std::vector<const PeerReport*> PeerReportCollection::CountingSince(TimePoint aTime) const
{
  std::set<VmId> counted;
  std::vector<const PeerReport*> counting;
  for (const auto& [aggregate, receivedAt] : this->aggregates | std::views::values) {
    if (receivedAt >= aTime) {
      counted.insert(aggregate.vms.begin(), aggregate.vms.end());
      counting.push_back(&aggregate.sum);
    }
  }
  for (const auto& [vm, report] : this->reports) {
    if (report.receivedAt >= aTime && !counted.contains(vm)) {
      counting.push_back(&report.report);
    }
  }
  return counting;
}

std::map<std::string, double> PeerReportCollection::DemandSince(TimePoint aTime) const
{
  std::map<std::string, double> total;
  for (const auto* report : this->CountingSince(aTime)) {
    for (const auto& [model, seconds] : report->demand) {
      total[model] += seconds;
    }
  }
  return total;
}

ZoneAggregate PeerReportCollection::SumOfZone(const ZoneId& aZone,
                                              const PeerReport& aOwnReport,
                                              TimePoint aSince,
                                              TimePoint aNow) const
{
  PeerReportAggregator total;
  PeerReport news;
  ZoneAggregate aggregate{ aZone, { this->own }, {} };
  total.Add(aOwnReport);
  AppendNews(news, aOwnReport, Duration::zero());
  for (const auto& [vm, received] : this->reports) {
    if (received.zone == aZone && received.receivedAt >= aSince) {
      total.Add(received.report);
      AppendNews(news, received.report, aNow - received.receivedAt);
      aggregate.vms.push_back(vm);
    }
  }
  aggregate.sum = total.Total();
  aggregate.sum.crashes = std::move(news.crashes);
  aggregate.sum.survivals = std::move(news.survivals);
  aggregate.sum.rateLimits = std::move(news.rateLimits);
  return aggregate;
}

} // namespace toucanstand
