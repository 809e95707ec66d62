#pragma once

#include <map>
#include <set>
#include <vector>

#include "observation/Observation.h"

namespace toucanstand {

/// How a poll of a backend server failed.
enum class PollFailure
{
  /// The server's machine answered that nothing listens.
  Refused,
  /// No usable answer. The fault may be between this node and the server only.
  NoAnswer,
};

/// The latest observation of each backend server, from own polls and from other
/// observers.
class ObservationTable
{
public:
  /// Time for which an unanswered poll does not outweigh a report of the server.
  static constexpr Duration kReachableValidity = std::chrono::seconds(2);
  /// An observation of another observer that is younger is not sent once more. Above a
  /// poll interval and the time for which observations are collected, and far enough
  /// below kReachableValidity for a silent observer to be replaced in time.
  static constexpr Duration kDuplicateSuppressionTime = std::chrono::milliseconds(750);

  /// Takes over the answer to an own poll. @returns whether the state changed, other
  /// than the load
  bool RecordOwn(const Observation& aObservation, TimePoint aNow);

  /// Notes that an own poll failed.
  bool RecordPollFailure(const ServerId& aServer, PollFailure aFailure, TimePoint aNow);

  /// Takes over an observation of another observer when it is newer.
  bool RecordReceived(const Observation& aObservation);

  /// Drops the servers that are not in the set.
  void RetainOnly(const std::set<ServerId>& aServers);

  /// Own observations that the other nodes do not know yet.
  [[nodiscard]] std::vector<Observation> TakeUnsent();

  [[nodiscard]] const std::map<ServerId, Observation>& All() const
  {
    return this->observations;
  }

private:
  bool Record(const Observation& aObservation);

  std::map<ServerId, Observation> observations;
  /// When the latest observation of another observer was made, for the servers for
  /// which this node stays silent.
  std::map<ServerId, TimePoint> peerObservedAt;
  std::set<ServerId> unsent;
};

} // namespace toucanstand
