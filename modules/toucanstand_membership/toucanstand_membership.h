#pragma once

/// Which entry VMs are alive, who observes which backend server, and whether this node
/// has enough contact to serve.
#include "dissemination/Dissemination.h"
#include "dissemination/Notices.h"
#include "isolation/EntryQuorum.h"
#include "isolation/Isolation.h"
#include "members/Membership.h"
#include "messages/MembershipMessageText.h"
#include "observers/ObservationTable.h"
#include "observers/ObserverAssignment.h"
