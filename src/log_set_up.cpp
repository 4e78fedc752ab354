#include "log_json.h"

#include <primrosehead/log.h>

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace primrosehead {

namespace {

constexpr const char* text_pattern = "%Y-%m-%dT%H:%M:%S.%e %l %v";

std::shared_ptr<spdlog::sinks::sink> make_sink(const std::string& file)
{
    if (file.empty()) {
        return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
}

} // namespace

status configure_logging(const log_settings& settings, std::string_view process)
{
    try {
        auto logger =
            std::make_shared<spdlog::logger>(std::string(process), make_sink(settings.file));
        if (settings.format == "json") {
            logger->set_formatter(std::make_unique<log_json_formatter>(process));
        }
        else {
            logger->set_pattern(text_pattern, spdlog::pattern_time_type::utc);
        }
        logger->set_level(spdlog::level::from_str(settings.level));
        logger->flush_on(spdlog::level::warn);
        spdlog::set_default_logger(std::move(logger));
    }
    catch (const spdlog::spdlog_ex& thrown) {
        return error{error_kind::bad_settings, "Can't open the log: " + std::string(thrown.what()),
                     "Set $.log.file to a file that this user may write.", ran::no,
                     clock::duration::zero()};
    }
    return {};
}

} // namespace primrosehead
