#include "http/HttpMessage.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"
#include "text/AsciiCase.h"

namespace toucanstand {

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
  const auto found = std::ranges::find_if(this->fields, [aName](const auto& aField) {
    return EqualIgnoringCase(aField.first, aName);
  });
  return found == this->fields.end() ? std::string_view{}
                                     : std::string_view(found->second);
}

bool HttpHeaders::Has(std::string_view aName) const
{
  return std::ranges::any_of(this->fields, [aName](const auto& aField) {
    return EqualIgnoringCase(aField.first, aName);
  });
}

bool HttpHeaders::IsAmbiguous(std::string_view aName) const
{
  const auto first = this->Find(aName);
  return std::ranges::any_of(this->fields, [aName, first](const auto& aField) {
    return EqualIgnoringCase(aField.first, aName) && aField.second != first;
  });
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
