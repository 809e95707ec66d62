#pragma once

/// Attempts, outcomes, stream resumption, crash quarantine, progress timeouts and
/// coalescing of identical requests.
#include "answers/StreamAssembler.h"
#include "attempts/AttemptFailure.h"
#include "attempts/AttemptTracker.h"
#include "attempts/RetryBudget.h"
#include "crashes/CrashQuarantine.h"
#include "crashes/HomeServers.h"
#include "crashes/SuspectArbiter.h"
#include "joins/RequestCoalescer.h"
#include "outcomes/CallOutcome.h"
#include "progress/ProgressWatch.h"
