#include "json_log.hpp"

#include <easylogging++.h>

#include <nlohmann/json.hpp>

#include "eelgrassledge/core/time.hpp"

INITIALIZE_EASYLOGGINGPP

namespace eelgrassledge {

namespace {

auto configure_logger() -> void {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

}  // namespace

auto make_json_log(const std::string& instance, log_level lowest) -> event_log {
    configure_logger();
    return [instance, lowest](log_level level, std::string_view event, const std::vector<log_field>& fields) {
        if (level < lowest) {
            return;
        }
        nlohmann::json line{{"at_unix_us", wall_clock_now()},
                            {"level", to_string(level)},
                            {"instance", instance},
                            {"event", event}};
        for (const auto& field : fields) {
            line[field.name] = field.value;
        }
        LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    };
}

}  // namespace eelgrassledge
