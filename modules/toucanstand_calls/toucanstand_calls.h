#pragma once

/// What an exchange with a backend server means for the decisions on a call.
#include "attempts/AttemptClassification.h"
