#pragma once

#include "CallRequest.h"
#include "document/EffectiveConfiguration.h"
#include "errors/Result.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Checks callers' requests and classifies them by the configuration in force.
class CallReader
{
public:
  /// @param aLongTokens requested tokens from which a chat counts as long work
  CallReader(VmId aVm, std::uint64_t aRunNumber, std::int64_t aLongTokens);

  /// Reads one request. A rejected one was not run.
  Result<CallRequest, CallRejection> Read(const HttpRequest& aRequest,
                                          const EffectiveConfiguration& aConfiguration,
                                          TimePoint aNow);

private:
  std::optional<CallRejection> ReadDeadline(const HttpRequest& aRequest,
                                            CallRequest& aCall);
  std::optional<CallRejection> ReadChat(const HttpRequest& aRequest,
                                        CallRequest& aCall) const;
  std::optional<CallRejection> ReadService(const HttpRequest& aRequest,
                                           CallRequest& aCall) const;

  std::string idPrefix;
  std::int64_t longTokens;
  std::uint64_t nextNumber = 1;
};

} // namespace toucanstand
