#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "http/HttpClient.h"
#include "metrics/MetricsRegistry.h"
#include "random/Random.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Limits of one process towards the store.
struct EtcdStoreSettings
{
  Endpoint endpoint;
  Duration timeout = std::chrono::seconds(2);
  /// Calls a second that this process may make, with a burst of as many.
  double callsPerSecond = 50;
  /// Longest random pause before a watch is armed again.
  Duration watchPause = std::chrono::seconds(2);
};

/// PlatformStore over the JSON gateway of the etcd v3 API.
/// @see https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
class EtcdStore final : public PlatformStore
{
public:
  /// @param aMetrics must outlive the store.
  EtcdStore(boost::asio::io_context& aLoop,
            EtcdStoreSettings aSettings,
            MetricsRegistry& aMetrics,
            Random aRandom);
  ~EtcdStore() override;

  Task<Result<StoredValue, StoreFailure>> Read(std::string aKey) override;
  Task<Result<std::vector<StoredValue>, StoreFailure>> ReadPrefix(
    std::string aPrefix) override;
  Task<Result<StoreRevision, StoreFailure>> CreateIfAbsent(std::string aKey,
                                                           std::string aValue,
                                                           StoreLease aLease) override;
  Task<Result<StoreRevision, StoreFailure>> ReplaceIf(std::string aKey,
                                                      StoreRevision aExpected,
                                                      std::string aValue,
                                                      StoreLease aLease) override;
  Task<Result<Done, StoreFailure>> DeleteIf(std::string aKey,
                                            StoreRevision aExpected) override;
  Task<Result<StoreLease, StoreFailure>> GrantLease(
    std::chrono::seconds aDuration) override;
  Task<Result<Done, StoreFailure>> KeepLeaseAlive(StoreLease aLease) override;
  Task<Result<Done, StoreFailure>> RevokeLease(StoreLease aLease) override;
  [[nodiscard]] TimePoint LastReply() const override;

  /// Receives each value of a watched key, newest revision last; nothing when deleted.
  using WatchListener = std::function<void(const Result<StoredValue, StoreFailure>&)>;

  /// Calls the listener with the present value and each later one, until the store is
  /// destroyed. The watch is armed again after a failure, with a random pause.
  void Watch(std::string aKey, WatchListener aListener);

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

} // namespace toucanstand
