#pragma once

#include <optional>
#include <string>

#include "Call.h"
#include "ServingState.h"
#include "errors/Result.h"
#include "placement/GroupPlacement.h"

namespace toucanstand {

/// Why a call is given up.
struct CallRefusal
{
  std::string reason;
  Duration retryAfter{ 0 };
};

/// Asks the admission whether a call that could be placed is accepted; counts and logs
/// what is not.
class CallAdmission
{
public:
  /// Both must outlive this object.
  CallAdmission(ServingState& aState, const Call& aCall);

  /// @param aMustPlace accept the call whatever is predicted
  [[nodiscard]] std::optional<CallRefusal> Decide(
    const Result<PlacementChoice, NoEligibleGroup>& aChoice,
    bool aMustPlace,
    TimePoint aNow);

private:
  [[nodiscard]] AdmissionRequest MakeRequest(bool aMustPlace, TimePoint aNow) const;
  [[nodiscard]] Duration ExcessPromptTime() const;
  CallRefusal Refuse(const char* aReason,
                     const char* aCause,
                     const PlacementOutlook& aOutlook,
                     const AdmissionDecision& aDecision);

  ServingState& state;
  const Call& call;
};

} // namespace toucanstand
