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

/// Sends logs to standard error as JSON lines with the process and VM in each.
void start_log(const std::string& process, const std::string& vm, const std::string& level);

/// Writes a line of normal operation.
void info(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line that an operator should look at.
void warn(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line on a failure.
void error(std::string_view event, std::initializer_list<field> fields = {});
/// Writes a line that is off by default.
void debug(std::string_view event, std::initializer_list<field> fields = {});

} // namespace siskindrift::observe
