#pragma once

namespace toucanstand {

/// Prints the latency of a lookup through an entry process and directly at the service,
/// with 1 and 64 concurrent callers. Both paths are measured in one run.
void MeasureOverhead();

} // namespace toucanstand
