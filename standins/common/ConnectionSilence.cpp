#include "common/ConnectionSilence.h"

#include <algorithm>

namespace toucanstand {

namespace {

// A caller's port is reused for a new connection at some time. Connections without a
// request for longer than the server's idle timeout (75 s) are closed and forgotten.
constexpr Duration kForgetAfter = std::chrono::seconds(80);
constexpr std::size_t kMostCallers = 20'000;

} // namespace

bool ConnectionSilence::Admit(const Endpoint& aCaller, TimePoint aNow)
{
  if (this->callers.size() >= kMostCallers) {
    std::erase_if(this->callers, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.lastUsed > kForgetAfter;
    });
  }
  auto& caller = this->callers[aCaller];
  if (aNow - caller.lastUsed > kForgetAfter) {
    caller.silent = false;
  }
  caller.lastUsed = aNow;
  return !caller.silent;
}

void ConnectionSilence::SilenceOpen()
{
  ++this->serial;
  for (auto& [endpoint, caller] : this->callers) {
    caller.silent = true;
  }
}

} // namespace toucanstand
