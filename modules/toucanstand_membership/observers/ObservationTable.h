#pragma once

#include <map>
#include <set>
#include <vector>

#include "observation/Observation.h"

namespace toucanstand {

/// How a poll of a backend server failed.
enum class PollFailure
{
  /// The connection was refused: the machine is up, but the server is not listening.
  Refused,
  /// No usable answer. The server may be up and only unreachable from this node.
  NoAnswer,
};

/// The latest observation of each backend server, from this node's polls and from other
/// observers.
class ObservationTable
{
public:
  /// An unanswered poll does not mark a server as unreachable while the latest
  /// observation that it is reachable is younger than this.
  static constexpr Duration kReachableValidity = std::chrono::seconds(2);
  /// An own observation is not sent while the other observer's observation of the same
  /// state is younger than this. Longer than a poll interval plus the time for which
  /// observations are collected before sending; sufficiently shorter than
  /// kReachableValidity that this node replaces a failed observer in time.
  static constexpr Duration kDuplicateSuppressionTime = std::chrono::milliseconds(750);

  /// Records the answer to a poll by this node.
  /// @returns whether reachability, group, generation or leaving changed
  bool RecordOwn(const Observation& aObservation, TimePoint aNow);

  /// Records that a poll by this node failed. @returns as RecordOwn()
  bool RecordPollFailure(const ServerId& aServer, PollFailure aFailure, TimePoint aNow);

  /// Records an observation of another observer if it is newer than the current one.
  /// @returns whether reachability, group, generation or leaving changed
  bool RecordReceived(const Observation& aObservation);

  /// Removes the servers that are not in the set.
  void RetainOnly(const std::set<ServerId>& aServers);

  /// Returns the observations to be sent to the other nodes and marks them as sent.
  [[nodiscard]] std::vector<Observation> TakeUnsent();

  [[nodiscard]] const std::map<ServerId, Observation>& All() const
  {
    return this->observations;
  }

private:
  bool Record(const Observation& aObservation);

  std::map<ServerId, Observation> observations;
  /// When the other observer made its latest observation, for the servers of which this
  /// node does not send its own observations.
  std::map<ServerId, TimePoint> peerObservedAt;
  std::set<ServerId> unsent;
};

} // namespace toucanstand
