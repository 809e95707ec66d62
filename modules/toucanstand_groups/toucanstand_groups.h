#pragma once

/// Formation of replica groups in a fabric domain, and the rules that permit a group to
/// serve.
#include "control/ControllerMessages.h"
#include "control/GroupController.h"
#include "permission/ServingPermission.h"
#include "planning/BaselinePlanners.h"
#include "planning/GroupPlanner.h"
#include "planning/PlanBuilder.h"
#include "planning/PlanningStrategy.h"
#include "planning/WeightBudget.h"
#include "records/DomainRecord.h"
