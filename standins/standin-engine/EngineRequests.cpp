#include "EngineRequests.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "common/TokenFunction.h"
#include "serialization/BoundedJson.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

constexpr std::uint64_t kMostTokens = 1'000'000;
constexpr std::uint64_t kDefaultTokens = 16;

/// Reads a header with a number; a missing one keeps the default.
template<typename T>
bool ReadNumber(const HttpHeaders& aHeaders, const char* aName, T& aNumber)
{
  if (!aHeaders.Has(aName)) {
    return true;
  }
  const auto text = aHeaders.Find(aName);
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, aNumber);
  return error == std::errc{} && end == last;
}

} // namespace

std::optional<EngineRequest> ReadEngineRequest(const HttpRequest& aRequest)
{
  const auto body = DecodeJson(aRequest.body);
  if (!body || !body->is_object()) {
    return std::nullopt;
  }
  EngineRequest request;
  request.maxTokens = kDefaultTokens;
  if (const auto found = body->find("max_tokens"); found != body->end()) {
    if (!found->is_number_unsigned()) {
      return std::nullopt;
    }
    request.maxTokens = found->get<std::uint64_t>();
  }
  request.id = aRequest.headers.Find("Request-Id");
  request.prompt = PromptOf(*body);
  request.prefix = PrefixFingerprint(*body);
  bool valid = ReadNumber(aRequest.headers, "Priority", request.priority) &&
               ReadNumber(aRequest.headers, "Resume-Offset", request.resumeOffset);
  if (aRequest.headers.Has("Group")) {
    request.group = aRequest.headers.Find("Group");
  }
  if (aRequest.headers.Has("Generation")) {
    request.generation = 0;
    valid = valid && ReadNumber(aRequest.headers, "Generation", *request.generation);
  }
  valid = valid && request.maxTokens >= 1 && request.maxTokens <= kMostTokens &&
          request.resumeOffset <= request.maxTokens && !request.prompt.empty();
  return valid ? std::optional(std::move(request)) : std::nullopt;
}

std::optional<EngineOrder> ReadEngineOrder(const HttpRequest& aRequest)
{
  const auto body = DecodeJson(aRequest.body);
  if (!body) {
    return std::nullopt;
  }
  SettingsReader reader(*body);
  EngineOrder order;
  order.fence = reader.Whole("fence", 0, INT64_MAX);
  order.group = reader.Text("group");
  order.generation = reader.Whole("generation", 0, INT64_MAX);
  order.members = reader.TextList("members");
  order.model = reader.Text("model", "");
  reader.Finish();
  return reader.Errors().empty() ? std::optional(std::move(order)) : std::nullopt;
}

HttpResponse NotRunResponse(int aStatus, std::string_view aType)
{
  auto response = ErrorResponse(aStatus, aType, "the request has not run");
  response.headers.Add("Not-Run", "true");
  return response;
}

} // namespace toucanstand
