#pragma once

namespace toucanstand {

/// Prints the latency of a lookup through an entry process and directly at the service,
/// with 1 and 64 concurrent callers, both paths in one run.
void MeasureOverhead();

} // namespace toucanstand
