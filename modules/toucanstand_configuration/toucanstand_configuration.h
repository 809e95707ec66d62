#pragma once

/// The operators' configuration: its document, what of it is in force on a node, how it
/// is changed and when a change is accepted.
#include "acceptance/AcceptanceTracker.h"
#include "change/ConfigurationChange.h"
#include "change/ConfigurationEdit.h"
#include "document/ConfigurationText.h"
#include "document/EffectiveConfiguration.h"
#include "replica/ConfigurationReplica.h"
