#pragma once

/// The operators' configuration: parsing and validation, the values in force on a node,
/// changes, and acceptance of a change by a majority of the entry VMs.
#include "acceptance/AcceptanceTracker.h"
#include "change/ConfigurationChange.h"
#include "change/ConfigurationEdit.h"
#include "document/ConfigurationText.h"
#include "document/EffectiveConfiguration.h"
#include "replica/ConfigurationReplica.h"
