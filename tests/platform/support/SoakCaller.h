#pragma once

#include <functional>
#include <string>
#include <vector>

#include "network/Endpoint.h"
#include "random/Random.h"
#include "support/SoakRecords.h"

namespace toucanstand {

/// A caller of the soak. The seed determines how it uses each of its connections: how
/// fast it sends and reads, how often it uses it again, and what it sends early.
class SoakCaller
{
public:
  /// @returns false when the caller must stop
  using RequestEnded = std::function<bool(SoakRequest aRequest)>;

  /// What callers do with their connections.
  enum class Manners
  {
    /// Whatever HTTP allows.
    Any,
    /// Whole requests at once, each after the answer to the one before.
    Simple,
  };

  /// Time that each request allows for its answer.
  static constexpr auto kDeadline = std::chrono::seconds(12);

  /// @param aName start of the attempt ids
  SoakCaller(std::uint64_t aSeed,
             std::string aName,
             std::vector<Endpoint> aVms,
             Manners aManners = Manners::Any);

  /// Opens a connection to a random VM and sends requests on it until the VM closes it or
  /// the caller has sent enough.
  /// @returns false when the last request got no success, so that the caller should pause
  bool UseConnection(const RequestEnded& aRequestEnded);

  /// Sends one generation request at once on a connection of its own.
  SoakRequest Generate(std::size_t aVm);

private:
  enum class Sending
  {
    AtOnce,
    /// Pieces of head and body.
    InPieces,
    /// A body in chunks, the last one up to seconds after the head.
    InChunks,
  };
  enum class Trailing
  {
    Nothing,
    LineEnd,
    NextRequest,
  };
  struct Habits
  {
    Sending sending = Sending::AtOnce;
    Trailing trailing = Trailing::Nothing;
    bool readsSlowly = false;
    int requests = 1;
  };
  struct Piece
  {
    std::string bytes;
    std::chrono::milliseconds pauseBefore{ 0 };
  };

  [[nodiscard]] Habits DrawHabits();
  [[nodiscard]] SoakRequest NewRequest(std::size_t aVm, SoakTime aConnectedAt);
  [[nodiscard]] std::vector<Piece> MakePieces(const SoakRequest& aRequest,
                                              Sending aSending);
  void Send(CallerConnection& aConnection, SoakRequest& aRequest, Sending aSending);
  static void Receive(CallerConnection& aConnection,
                      SoakRequest& aRequest,
                      const Habits& aHabits);

  Random random;
  std::string name;
  std::vector<Endpoint> vms;
  Manners manners;
  int requestCount = 0;
};

} // namespace toucanstand
