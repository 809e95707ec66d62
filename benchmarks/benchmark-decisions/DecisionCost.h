#pragma once

namespace toucanstand {

/// Prints the time per decision of Router by number of candidates and of
/// AdmissionController by number of accounts.
void MeasureDecisionCost();

} // namespace toucanstand
