#include "siskindrift/observe/log.h"

#include <boost/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace siskindrift::observe {
namespace {

namespace json = boost::json;

std::string& common_fields()
{
    static std::string fields;
    return fields;
}

void write(spdlog::level::level_enum level, std::string_view event,
           std::initializer_list<field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) {
        return;
    }
    json::object line;
    line["event"] = event;
    for (const auto& [name, value] : fields) {
        line[name] = value;
    }
    const auto text = json::serialize(line);
    // The pattern opens the object; the text's own opening brace is dropped.
    logger->log(level, common_fields() + text.substr(1));
}

} // namespace

void start_log(const std::string& process, const std::string& vm, const std::string& level)
{
    auto logger = spdlog::stderr_logger_mt(process + "-" + vm);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
    const auto common = json::serialize(json::value{{"process", process}, {"vm", vm}});
    common_fields() = common.substr(1, common.size() - 2) + ",";
}

void info(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::info, event, fields);
}

void warn(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::warn, event, fields);
}

void error(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::err, event, fields);
}

void debug(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::debug, event, fields);
}

} // namespace siskindrift::observe
