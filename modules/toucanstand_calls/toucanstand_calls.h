#pragma once

/// Classification of failed attempts on backend servers, and the ways to reach these.
#include "attempts/AttemptClassification.h"
#include "paths/BackendPaths.h"
