#pragma once

/// Claims for calls that must not be repeated: their records, the decisions about them
/// and the messages between entry and ledger.
#include "claims/ClaimMachine.h"
#include "claims/ClaimRecord.h"
#include "claims/RetentionLease.h"
#include "messages/ClaimMessages.h"
