#pragma once

/// Classification of failed attempts on backend servers.
#include "attempts/AttemptClassification.h"
