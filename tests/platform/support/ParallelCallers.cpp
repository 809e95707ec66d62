#include "support/ParallelCallers.h"

#include <algorithm>
#include <utility>

namespace toucanstand {

void ParallelCallers::Start(std::function<void()> aCaller)
{
  this->callers.push_back(std::async(std::launch::async, std::move(aCaller)));
}

void ParallelCallers::WaitForAll()
{
  std::ranges::for_each(this->callers, [](auto& aCaller) { aCaller.get(); });
  this->callers.clear();
}

} // namespace toucanstand
