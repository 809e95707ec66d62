#pragma once

/// Selection of the candidate for each attempt of a request.
#include "routing/Router.h"
#include "routing/RouterSettings.h"
#include "routing/SubsetAssignment.h"
