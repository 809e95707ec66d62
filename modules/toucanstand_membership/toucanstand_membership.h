#pragma once

/// Which entry VMs are alive, who observes which backend server, and whether this node
/// has enough contact to serve.
#include "dissemination/GossipQueue.h"
#include "dissemination/NoticeTable.h"
#include "isolation/EntryQuorum.h"
#include "isolation/IsolationDetector.h"
#include "members/Membership.h"
#include "messages/MembershipMessageText.h"
#include "observers/ObservationTable.h"
#include "observers/ObserverAssignment.h"
