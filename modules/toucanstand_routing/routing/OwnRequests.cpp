#include "routing/OwnRequests.h"

#include <algorithm>

namespace toucanstand {

namespace {

constexpr Duration kBinWidth = std::chrono::milliseconds(50);

std::int64_t BinOf(TimePoint aWhen)
{
  return aWhen.time_since_epoch() / kBinWidth;
}

} // namespace

void OwnRequests::OnSent(TimePoint aNow)
{
  this->AdvanceBins(aNow);
  ++this->changes[static_cast<std::size_t>(this->newestBin) % kBins];
  ++this->outstanding;
}

bool OwnRequests::OnFinished(TimePoint aNow)
{
  if (this->outstanding == 0) {
    return false;
  }
  this->AdvanceBins(aNow);
  --this->changes[static_cast<std::size_t>(this->newestBin) % kBins];
  --this->outstanding;
  return true;
}

double OwnRequests::OutstandingAt(TimePoint aWhen, TimePoint aNow)
{
  this->AdvanceBins(aNow);
  std::int64_t count = this->outstanding;
  const std::int64_t oldest =
    std::max(BinOf(aWhen) + 1, this->newestBin - static_cast<std::int64_t>(kBins) + 1);
  for (std::int64_t bin = oldest; bin <= this->newestBin; ++bin) {
    count -= this->changes[static_cast<std::size_t>(bin) % kBins];
  }
  return static_cast<double>(std::max<std::int64_t>(count, 0));
}

void OwnRequests::AdvanceBins(TimePoint aNow)
{
  const std::int64_t bin = BinOf(aNow);
  const std::int64_t first =
    std::max(this->newestBin + 1, bin - static_cast<std::int64_t>(kBins) + 1);
  for (std::int64_t passed = first; passed <= bin; ++passed) {
    this->changes[static_cast<std::size_t>(passed) % kBins] = 0;
  }
  this->newestBin = std::max(this->newestBin, bin);
}

} // namespace toucanstand
