#pragma once

#include <stdexcept>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "KeyValueState.h"

namespace toucanstand {

/// A request that the gateway cannot translate.
class MalformedRequest : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// A 64-bit number, as a string or a number; 0 when it is missing.
/// @throws MalformedRequest
[[nodiscard]] std::int64_t ReadNumber(const nlohmann::json& aObject,
                                      const std::string& aName);

/// A field in either spelling, `mod_revision` or `modRevision`; null when it is missing.
/// @throws MalformedRequest when aObject is not an object
[[nodiscard]] const nlohmann::json& ReadField(const nlohmann::json& aObject,
                                              const std::string& aName);

/// Requests of the gateway. @throws MalformedRequest
[[nodiscard]] KeyRange ReadKeyRange(const nlohmann::json& aRequest);
[[nodiscard]] PutOperation ReadPutOperation(const nlohmann::json& aRequest);
[[nodiscard]] RangeOperation ReadRangeOperation(const nlohmann::json& aRequest);
[[nodiscard]] StoreTransaction ReadTransaction(const nlohmann::json& aRequest);

/// Sets a field to a number as a string, unless it is 0.
void AddNumber(nlohmann::json& aObject, const char* aName, std::int64_t aNumber);

/// Replies of the gateway.
[[nodiscard]] nlohmann::json DescribeKeyValue(const KeyValue& aKeyValue);
[[nodiscard]] nlohmann::json DescribeReply(const OperationReply& aReply,
                                           const nlohmann::json& aHeader);

/// Name of a reply within a transaction's responses.
[[nodiscard]] const char* ResponseField(const OperationReply& aReply);

} // namespace toucanstand
