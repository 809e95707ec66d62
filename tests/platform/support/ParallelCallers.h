#pragma once

#include <functional>
#include <future>
#include <vector>

namespace toucanstand {

/// Callers that each run in a thread of their own.
class ParallelCallers
{
public:
  void Start(std::function<void()> aCaller);
  /// Waits until all callers have ended. Throws what one of them threw.
  void WaitForAll();

private:
  std::vector<std::future<void>> callers;
};

} // namespace toucanstand
