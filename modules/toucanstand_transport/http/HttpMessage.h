#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucanstand {

/// Header fields in order; names compare without regard to case.
class HttpHeaders
{
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> aFields);

  /// Adds a field, keeping any with the same name.
  void Add(std::string aName, std::string aValue);

  /// Value of the first field of that name; empty when there is none.
  [[nodiscard]] std::string_view Find(std::string_view aName) const;

  [[nodiscard]] bool Has(std::string_view aName) const;

  /// True when fields of that name have different values, so that readers of the first
  /// and of the last one would act on different requests.
  [[nodiscard]] bool IsAmbiguous(std::string_view aName) const;

  [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& Fields() const
  {
    return this->fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> fields;
};

/// One HTTP request without its framing.
struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/// One HTTP response without its framing.
struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// A JSON error body `{"error":{"type":...,"message":...}}` with its content type.
[[nodiscard]] HttpResponse ErrorResponse(int aStatus,
                                         std::string_view aType,
                                         std::string_view aMessage);

/// A response with a JSON text.
[[nodiscard]] HttpResponse JsonResponse(int aStatus, std::string aText);

} // namespace toucanstand
