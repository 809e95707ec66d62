#include "settings/EndpointSetting.h"

namespace toucanstand {

Endpoint ReadEndpoint(SettingsReader& aReader,
                      std::string_view aKey,
                      const std::optional<Endpoint>& aDefault)
{
  std::optional<std::string> defaultText;
  if (aDefault) {
    defaultText = aDefault->Text();
  }
  const auto endpoint = Endpoint::Parse(aReader.Text(aKey, defaultText));
  if (!endpoint && aReader.Has(aKey)) {
    aReader.Reject(aKey, SettingsRule::InRange, "address:port");
  }
  return endpoint.value_or(Endpoint{});
}

} // namespace toucanstand
