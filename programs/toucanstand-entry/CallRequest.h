#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "contracts/ClientAccount.h"
#include "contracts/Contract.h"
#include "http/HttpMessage.h"
#include "identifiers/Identifiers.h"
#include "joins/RequestCoalescer.h"

namespace toucanstand {

/// A caller's request after all its fields have been checked.
struct CallRequest
{
  RequestId id;
  ClientAccount account;
  Contract contract;
  WorkClass workClass = WorkClass::Short;
  /// Business value of the answer to this account.
  double worth = 1.0;
  /// Expected service in tokens; 1 for a plain service.
  double cost = 1.0;
  TimePoint arrivedAt{};
  TimePoint deadline{};
  /// The same for requests that make a server do the same.
  std::uint64_t fingerprint = 0;
  /// Hash of the beginning of the prompt.
  std::optional<std::uint64_t> prefix;
  /// Hash of what all turns of a conversation share; selects its home servers.
  std::optional<std::uint64_t> conversation;
  std::string idempotencyKey;
  bool isChat = false;
  AnswerForm form = AnswerForm::Whole;
  std::string method;
  std::string target;
  std::string contentType;
  /// What is sent to the backend server.
  std::string body;
};

/// Why a request is rejected before anything is done for it.
struct CallRejection
{
  int status = 400;
  const char* type = "malformed_request";
  std::string message;
};

} // namespace toucanstand
