#include "http/ProbeOutcome.h"

#include <array>
#include <cstddef>

#include "http/HttpClient.h"

namespace toucanstand {

const char* Name(ProbeOutcome aOutcome)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "answered", "other_answer", "other_server",
                                  "refused",  "broken",       "silent" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

ProbeOutcome ToProbeOutcome(HttpFailure aFailure)
{
  switch (aFailure) {
    case HttpFailure::ConnectRefused:
      return ProbeOutcome::Refused;
    case HttpFailure::SendBroken:
    case HttpFailure::BrokenBeforeHead:
      return ProbeOutcome::Broken;
    case HttpFailure::BrokenInBody:
    case HttpFailure::BodyTimedOut:
    case HttpFailure::Malformed:
    case HttpFailure::TooLarge:
      return ProbeOutcome::OtherAnswer;
    case HttpFailure::ConnectTimedOut:
    case HttpFailure::HeadTimedOut:
    case HttpFailure::Cancelled:
      return ProbeOutcome::Silent;
  }
  return ProbeOutcome::Silent;
}

} // namespace toucanstand
