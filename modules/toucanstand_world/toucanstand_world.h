#pragma once

/// What is known about machines, contracts, observations and replica groups, and how old
/// that knowledge is.
#include "contracts/ClientAccount.h"
#include "contracts/Contract.h"
#include "contracts/RoutingStrategy.h"
#include "groups/ReplicaGroup.h"
#include "machines/BackendServer.h"
#include "machines/PlatformList.h"
#include "machines/Vm.h"
#include "observation/Observation.h"
#include "observation/WorldView.h"
#include "observation/WorldViewText.h"
