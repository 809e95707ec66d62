#include "EventStreamReader.h"

namespace toucanstand {

namespace {

constexpr std::string_view kDataField = "data:";

} // namespace

bool EventStreamReader::Feed(std::string_view aBytes,
                             const std::function<void(std::string_view)>& aListener)
{
  this->pending += aBytes;
  std::size_t start = 0;
  for (auto end = this->pending.find('\n'); end != std::string::npos;
       end = this->pending.find('\n', start)) {
    auto line = std::string_view(this->pending).substr(start, end - start);
    start = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kDataField)) {
      line.remove_prefix(kDataField.size());
      line.remove_prefix(line.starts_with(' ') ? 1 : 0);
      aListener(line);
    }
  }
  this->pending.erase(0, start);
  return this->pending.size() <= kMaximumEventBytes;
}

} // namespace toucanstand
