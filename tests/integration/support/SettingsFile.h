#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace toucanstand {

/// A settings file in the temporary directory; removed with the object.
class SettingsFile
{
public:
  explicit SettingsFile(const nlohmann::json& aSettings);
  ~SettingsFile();
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  /// `--config=PATH`.
  [[nodiscard]] std::string Option() const;

private:
  std::string path;
};

} // namespace toucanstand
