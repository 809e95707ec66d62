#pragma once

namespace toucanstand {

/// Which observations a VM reports to its peers.
enum class NewsScope
{
  /// Those of this VM. If peers passed on each other's, each message would move the time
  /// of an observation on by its delay.
  Own,
  /// Also those that peers reported; for a relay's reports to its subscribers.
  All,
};

} // namespace toucanstand
