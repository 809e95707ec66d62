#pragma once

#include "CallRequest.h"
#include "http/CancelSwitch.h"

namespace toucanstand {

/// Why a call is being cancelled.
enum class CancelReason
{
  None,
  CallerLeft,
  DeadlinePassed,
  /// A planned stop needs the answer now.
  Stopping,
};

/// A call in progress.
struct CallState
{
  CallRequest request;
  CancelSwitch cancel;
  CancelReason cancelReason = CancelReason::None;
  /// A request of the call has been sent to a backend server.
  bool sent = false;

  /// Ends whatever the call waits for; only the first reason counts.
  void Cancel(CancelReason aReason)
  {
    if (this->cancelReason == CancelReason::None) {
      this->cancelReason = aReason;
      this->cancel.Trip();
    }
  }
};

} // namespace toucanstand
