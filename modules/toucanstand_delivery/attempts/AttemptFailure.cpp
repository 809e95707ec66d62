#include "attempts/AttemptFailure.h"

#include <array>
#include <cstddef>

namespace toucanstand {

namespace {

struct FailureTraits
{
  const char* name;
  bool provesNotRun;
  bool lostServer;
  bool abandoned;
};

// In the order of AttemptFailure.
constexpr std::array<FailureTraits, 14> kTraits = { {
  { "connect_refused", true, true, false },
  { "connect_timed_out", true, false, false },
  { "send_broken", false, true, false },
  { "no_answer_before_deadline", false, false, false },
  { "broken_before_head", false, true, false },
  { "broken_in_body", false, true, false },
  { "silent_connection", false, true, false },
  { "refused_as_not_run", true, false, false },
  { "server_error", false, false, false },
  { "caller_left", false, false, true },
  { "stopping", false, false, true },
  { "superseded", false, false, true },
  { "no_memory", false, false, true },
  { "server_evacuated", true, false, true },
} };

const FailureTraits& TraitsOf(AttemptFailure aFailure)
{
  return kTraits.at(static_cast<std::size_t>(aFailure));
}

} // namespace

bool ProvesNotRun(AttemptFailure aFailure)
{
  return TraitsOf(aFailure).provesNotRun;
}

bool FailedToConnect(AttemptFailure aFailure)
{
  return aFailure == AttemptFailure::ConnectRefused ||
         aFailure == AttemptFailure::ConnectTimedOut ||
         aFailure == AttemptFailure::ServerEvacuated;
}

bool IndicatesLostServer(AttemptFailure aFailure)
{
  return TraitsOf(aFailure).lostServer;
}

bool IsAbandoned(AttemptFailure aFailure)
{
  return TraitsOf(aFailure).abandoned;
}

const char* Name(AttemptFailure aFailure)
{
  return TraitsOf(aFailure).name;
}

} // namespace toucanstand
