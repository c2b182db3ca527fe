// Structured logs: one JSON object per line.
#pragma once

#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace siskindrift::observe {

/// A field of a log line: a key and any value that Boost.JSON can convert.
struct field {
    template <class Value>
    field(std::string_view field_name, const Value& from)
        : name(field_name), value(boost::json::value_from(from))
    {
    }

    std::string_view name;
    boost::json::value value;
};

/// Starts logging to standard output as JSON lines, each with the process and the VM. A separate
/// thread writes them, so that a stalled reader never blocks the caller. The queue of that thread
/// and the bytes per second (see `log_rate_limiter`) are limited; the number of dropped lines is
/// logged.
/// @param level lowest level to log, by its spdlog name.
void start_log(const std::string& process, const std::string& vm, const std::string& level);
/// Writes all queued lines and ends logging. No other function may be called afterwards.
void stop_log();

/// Logs a routine success at level info, with the priority `line_priority::routine`.
void routine(std::string_view event, std::initializer_list<field> fields = {});
/// Logs a failure of one request or an event of normal operation, with the priority
/// `line_priority::failure`.
void info(std::string_view event, std::initializer_list<field> fields = {});
/// Logs an event that an operator should look at, with the priority `line_priority::state_change`.
void warn(std::string_view event, std::initializer_list<field> fields = {});
/// Logs a failure, with the priority `line_priority::state_change`.
void error(std::string_view event, std::initializer_list<field> fields = {});
/// Logs at a level that is off by default, with the priority `line_priority::routine`.
void debug(std::string_view event, std::initializer_list<field> fields = {});

} // namespace siskindrift::observe
