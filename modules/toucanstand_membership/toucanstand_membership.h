#pragma once

/// Membership of the entry VMs: which of them are alive, which of them observe each
/// backend server, and whether this node is isolated from the others.
#include "dissemination/GossipQueue.h"
#include "dissemination/NoticeTable.h"
#include "isolation/EntryQuorum.h"
#include "isolation/IsolationDetector.h"
#include "members/Membership.h"
#include "messages/MembershipMessageText.h"
#include "observers/ObservationTable.h"
#include "observers/ObserverAssignment.h"
