#include "logging/Logging.h"

#include <chrono>
#include <memory>

#include <nlohmann/json.hpp>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

/// Writes each record as one JSON object; spdlog's patterns do not escape messages.
class JsonLineFormatter : public spdlog::formatter
{
public:
  void format(
    const spdlog::details::log_msg& aMessage, // NOLINT(readability-identifier-naming)
    spdlog::memory_buf_t& aOutput) override
  {
    using std::chrono::milliseconds;
    const auto sinceEpoch = aMessage.time.time_since_epoch();
    const auto level = spdlog::level::to_string_view(aMessage.level);
    const nlohmann::json line = {
      { "unix_ms", std::chrono::duration_cast<milliseconds>(sinceEpoch).count() },
      { "level", std::string(level.data(), level.size()) },
      { "program",
        std::string(aMessage.logger_name.data(), aMessage.logger_name.size()) },
      { "message", std::string(aMessage.payload.data(), aMessage.payload.size()) },
    };
    const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    aOutput.append(text.data(), text.data() + text.size());
  }

  [[nodiscard]] std::unique_ptr<spdlog::formatter> clone()
    const override // NOLINT(readability-identifier-naming)
  {
    return std::make_unique<JsonLineFormatter>();
  }
};

} // namespace

void ConfigureLogging(const std::string& aProgram,
                      const std::string& aLevel,
                      LogFormat aFormat)
{
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  auto logger = std::make_shared<spdlog::logger>(aProgram, sink);
  logger->set_level(spdlog::level::from_str(aLevel));
  logger->flush_on(spdlog::level::info);
  if (aFormat == LogFormat::JsonLines) {
    logger->set_formatter(std::make_unique<JsonLineFormatter>());
  }
  spdlog::set_default_logger(std::move(logger));
}

} // namespace toucanstand
