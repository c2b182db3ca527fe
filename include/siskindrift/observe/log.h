// Structured logs: one JSON object a line.
#pragma once

#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace siskindrift::observe {

/// A field of a log line.
struct field {
    template <class Value>
    field(std::string_view field_name, const Value& from)
        : name(field_name), value(boost::json::value_from(from))
    {
    }

    std::string_view name;
    boost::json::value value;
};

/// Sends logs to standard output as JSON lines with the process and VM in each. A thread of its
/// own writes them, so that a reader that stalls never holds up the caller; the lines that wait
/// are bounded, as are the bytes a second (see `log_budget`), and what is missing is told.
void start_log(const std::string& process, const std::string& vm, const std::string& level);
/// Writes what is still queued. Call it last.
void stop_log();

/// Writes a line of an ordinary success; the first to be left out.
void routine(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line on one request that went wrong, or of normal operation.
void info(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line that an operator should look at.
void warn(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line on a failure.
void error(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line that is off by default.
void debug(std::string_view event, std::initializer_list<field> fields = {});

} // namespace siskindrift::observe
