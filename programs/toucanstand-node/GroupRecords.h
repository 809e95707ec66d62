#pragma once

#include <map>
#include <string>
#include <vector>

#include "machines/PlatformList.h"
#include "observation/Observation.h"
#include "observation/WorldView.h"
#include "records/DomainRecord.h"

namespace toucanstand {

/// The last known record of each fabric domain, and the candidates that follow from them.
class GroupRecords
{
public:
  static constexpr const char* kKeyPrefix = "/toucanstand/domains/";

  /// Text of a record with its store revision, for passing on to a peer.
  struct Copy
  {
    std::string text;
    std::int64_t revision = 0;
  };

  /// Takes over a record when it is valid and newer. @returns whether it did
  bool Offer(const DomainId& aDomain, const std::string& aText, std::int64_t aRevision);

  [[nodiscard]] const std::map<DomainId, Copy>& Copies() const { return this->copies; }

  /// Group of each server, by the records.
  [[nodiscard]] std::map<ServerId, std::string> GroupOf() const;

  /// Destinations that may take requests now.
  [[nodiscard]] std::vector<Candidate> Candidates(
    const std::map<ServerId, Observation>& aObservations,
    const PlatformList& aList,
    TimePoint aNow) const;

private:
  std::map<DomainId, Copy> copies;
  std::map<DomainId, std::vector<ReplicaGroup>> groups;
};

} // namespace toucanstand
