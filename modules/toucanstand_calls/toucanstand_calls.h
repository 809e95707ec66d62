#pragma once

/// Classification of failed attempts on backend servers, evidence of crashes, and the
/// ways to reach the servers.
#include "attempts/AttemptClassification.h"
#include "crashes/CrashProbeSeries.h"
#include "paths/BackendPaths.h"
