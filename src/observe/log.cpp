#include "siskindrift/observe/log.h"

#include <boost/json.hpp>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "siskindrift/observe/log_rate_limiter.h"

namespace siskindrift::observe {
namespace {

namespace json = boost::json;

// About one burst of `log_rate_limiter`. When the queue is full, its oldest line is dropped.
constexpr std::size_t queued_lines = 256;

/// The log of this process.
struct process_log {
    std::string common_fields; ///< Fields of every line as JSON, without the braces.
    std::mutex mutex;          ///< Guards the members below; last in the lock order.
    log_rate_limiter rate_limiter;
    std::size_t reported_overrun = 0; ///< Lines dropped by the queue and already reported.
};

process_log& process_log_instance()
{
    static process_log log;
    return log;
}

std::string render(std::string_view event, std::initializer_list<field> fields)
{
    json::object line;
    line["event"] = event;
    for (const auto& [name, value] : fields) {
        line[name] = value;
    }
    // The logger's pattern already opens the object, so the opening brace is removed.
    return process_log_instance().common_fields + json::serialize(line).substr(1);
}

// Logs how many lines were dropped, so that a reader does not conclude from a missing line that
// the event did not occur.
void log_dropped_lines(spdlog::logger& logger, core::time_point now)
{
    auto& log = process_log_instance();
    if (const auto lines = log.rate_limiter.take_dropped_counts(now)) {
        logger.log(spdlog::level::warn, render("log_lines_left_out", {{"routine", (*lines)[0]},
                                                                      {"failure", (*lines)[1]},
                                                                      {"belief", (*lines)[2]}}));
    }
    const auto pool = spdlog::thread_pool();
    const auto overrun = pool ? pool->overrun_counter() : 0;
    if (overrun != log.reported_overrun) {
        const auto dropped = overrun - std::exchange(log.reported_overrun, overrun);
        logger.log(spdlog::level::warn, render("log_lines_overrun", {{"lines", dropped}}));
    }
}

void write(spdlog::level::level_enum level, line_priority priority, std::string_view event,
           std::initializer_list<field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) {
        return;
    }
    const auto text = render(event, fields);
    const auto now = core::boottime_clock{}.now();
    const std::lock_guard lock{process_log_instance().mutex};
    log_dropped_lines(*logger, now);
    if (process_log_instance().rate_limiter.admit(priority, text.size(), now)) {
        logger->log(level, text);
    }
}

} // namespace

void start_log(const std::string& process, const std::string& vm, const std::string& level)
{
    spdlog::init_thread_pool(queued_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        process + "-" + vm, std::make_shared<spdlog::sinks::stdout_sink_st>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
    const auto common = json::serialize(json::value{{"process", process}, {"vm", vm}});
    process_log_instance().common_fields = common.substr(1, common.size() - 2) + ",";
}

void stop_log()
{
    spdlog::shutdown();
}

void routine(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::info, line_priority::routine, event, fields);
}

void info(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::info, line_priority::failure, event, fields);
}

void warn(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::warn, line_priority::state_change, event, fields);
}

void error(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::err, line_priority::state_change, event, fields);
}

void debug(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::debug, line_priority::routine, event, fields);
}

} // namespace siskindrift::observe
