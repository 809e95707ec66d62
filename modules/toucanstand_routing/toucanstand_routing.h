#pragma once

/// Choice of a backend candidate for one attempt.
#include "routing/Router.h"
#include "routing/RouterSettings.h"
#include "routing/SubsetAssignment.h"
