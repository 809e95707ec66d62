#pragma once

namespace toucanstand {

/// Prints the time per decision of Router and AdmissionController by the number of
/// candidates and accounts.
void MeasureDecisionCost();

} // namespace toucanstand
