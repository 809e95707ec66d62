#include "SettingsFile.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace toucanstand {

SettingsFile::SettingsFile(const nlohmann::json& aSettings)
{
  this->path =
    (std::filesystem::temp_directory_path() / "toucanstand-settings-XXXXXX").string();
  const int descriptor = ::mkstemp(this->path.data());
  const std::string text = aSettings.dump();
  if (descriptor < 0 || ::write(descriptor, text.data(), text.size()) !=
                          static_cast<ssize_t>(text.size())) {
    throw std::runtime_error("cannot write " + this->path);
  }
  ::close(descriptor);
}

SettingsFile::~SettingsFile()
{
  std::remove(this->path.c_str());
}

std::string SettingsFile::Option() const
{
  return "--config=" + this->path;
}

} // namespace toucanstand
