#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "store/PlatformStore.h"

namespace toucanstand {

/// A 64-bit number of the gateway, which writes them as strings; 0 when it is missing.
[[nodiscard]] std::int64_t ReadWhole(const nlohmann::json& aObject, const char* aKey);

/// A `mvccpb.KeyValue`; nothing when it is malformed.
[[nodiscard]] std::optional<StoredValue> ReadKeyValue(const nlohmann::json& aObject);

/// Condition of a transaction: a revision of the key equals a number.
/// @param aTarget `CREATE` or `MOD` @param aField its field, for example `mod_revision`
[[nodiscard]] nlohmann::json Comparison(const std::string& aKey,
                                        const char* aTarget,
                                        const char* aField,
                                        StoreRevision aValue);

/// Write of a transaction.
[[nodiscard]] nlohmann::json PutRequest(const std::string& aKey,
                                        const std::string& aValue,
                                        StoreLease aLease);

// Bodies of calls. GCC 12 rejects braced lists inside a co_await expression, so functions
// make them.
[[nodiscard]] nlohmann::json KeyBody(const std::string& aKey);
[[nodiscard]] nlohmann::json IdBody(StoreLease aLease);
[[nodiscard]] nlohmann::json GrantBody(std::chrono::seconds aDuration);
[[nodiscard]] nlohmann::json WatchBody(const std::string& aKey, StoreRevision aFrom);
[[nodiscard]] nlohmann::json TransactionBody(nlohmann::json aCompare,
                                             nlohmann::json aOperation);

/// End of the range that holds every key with the prefix.
[[nodiscard]] std::string PrefixEnd(std::string aPrefix);

} // namespace toucanstand
