#pragma once

#include "http/HttpClient.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// While it exists, a request that is cut off is logged with the bytes of its server that
/// have arrived and were not read.
class UnreadBytesScope
{
public:
  /// Both must outlive the object.
  UnreadBytesScope(HttpExchange& aExchange, const HttpClientStream& aStream)
    : exchange(aExchange)
  {
    this->exchange.Progress().countUnreadBytes = [&aStream] {
      return aStream.UnreadBytes();
    };
  }
  ~UnreadBytesScope() { this->exchange.Progress().countUnreadBytes = nullptr; }
  UnreadBytesScope(const UnreadBytesScope&) = delete;
  UnreadBytesScope& operator=(const UnreadBytesScope&) = delete;

private:
  HttpExchange& exchange;
};

} // namespace toucanstand
