#include "siskindrift/observe/log.h"

#include <boost/json.hpp>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "siskindrift/observe/log_budget.h"

namespace siskindrift::observe {
namespace {

namespace json = boost::json;

constexpr std::size_t queued_lines = 256; // a burst of the budget; the oldest go first

/// The log of this process.
struct process_log {
    std::string common_fields; ///< Of every line, without the braces.
    std::mutex mutex;          ///< Guards what follows; a leaf of the lock order.
    log_budget budget;
    std::size_t overrun = 0; ///< Lines that the queue dropped, as told so far.
};

process_log& the_log()
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
    // The pattern opens the object; the text's own opening brace is dropped.
    return the_log().common_fields + json::serialize(line).substr(1);
}

// Says how many lines are missing, for a reader must not take their absence for an answer.
void tell_left_out(spdlog::logger& logger, core::time_point now)
{
    auto& log = the_log();
    if (const auto lines = log.budget.take_left_out(now)) {
        logger.log(spdlog::level::warn, render("log_lines_left_out", {{"routine", (*lines)[0]},
                                                                      {"failure", (*lines)[1]},
                                                                      {"belief", (*lines)[2]}}));
    }
    const auto pool = spdlog::thread_pool();
    const auto overrun = pool ? pool->overrun_counter() : 0;
    if (overrun != log.overrun) {
        const auto lost = overrun - std::exchange(log.overrun, overrun);
        logger.log(spdlog::level::warn, render("log_lines_overrun", {{"lines", lost}}));
    }
}

void write(spdlog::level::level_enum level, line_weight weight, std::string_view event,
           std::initializer_list<field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) {
        return;
    }
    const auto text = render(event, fields);
    const auto now = core::boottime_clock{}.now();
    const std::lock_guard lock{the_log().mutex};
    tell_left_out(*logger, now);
    if (the_log().budget.admit(weight, text.size(), now)) {
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
    the_log().common_fields = common.substr(1, common.size() - 2) + ",";
}

void stop_log()
{
    spdlog::shutdown();
}

void routine(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::info, line_weight::routine, event, fields);
}

void info(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::info, line_weight::failure, event, fields);
}

void warn(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::warn, line_weight::belief, event, fields);
}

void error(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::err, line_weight::belief, event, fields);
}

void debug(std::string_view event, std::initializer_list<field> fields)
{
    write(spdlog::level::debug, line_weight::routine, event, fields);
}

} // namespace siskindrift::observe
