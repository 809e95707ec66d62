#include "outcomes/CallOutcome.h"

namespace toucanstand {

const char* WireName(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::NotRun:
      return "not-run";
    case CallOutcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace toucanstand
