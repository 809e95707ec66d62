#include "http/HttpMessage.h"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

bool SameName(std::string_view aLeft, std::string_view aRight)
{
  const auto lower = [](unsigned char aCharacter) { return std::tolower(aCharacter); };
  return std::ranges::equal(aLeft, aRight, {}, lower, lower);
}

} // namespace

HttpHeaders::HttpHeaders(
  std::initializer_list<std::pair<std::string, std::string>> aFields)
  : fields(aFields)
{
}

void HttpHeaders::Add(std::string aName, std::string aValue)
{
  this->fields.emplace_back(std::move(aName), std::move(aValue));
}

std::string_view HttpHeaders::Find(std::string_view aName) const
{
  const auto found = std::ranges::find_if(
    this->fields, [aName](const auto& aField) { return SameName(aField.first, aName); });
  return found == this->fields.end() ? std::string_view{}
                                     : std::string_view(found->second);
}

bool HttpHeaders::Has(std::string_view aName) const
{
  return std::ranges::any_of(
    this->fields, [aName](const auto& aField) { return SameName(aField.first, aName); });
}

HttpResponse ErrorResponse(int aStatus, std::string_view aType, std::string_view aMessage)
{
  const nlohmann::json body = { { "error",
                                  { { "type", aType }, { "message", aMessage } } } };
  return JsonResponse(aStatus, EncodeJson(body));
}

HttpResponse JsonResponse(int aStatus, std::string aText)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(aText);
  return response;
}

} // namespace toucanstand
