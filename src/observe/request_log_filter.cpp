#include "siskindrift/observe/request_log_filter.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <optional>
#include <set>

namespace siskindrift::observe {
namespace {

namespace json = boost::json;

constexpr std::int64_t max_clock_skew_ms = 100; // between the VMs of one deployment

// Events of a gateway that change how it handles requests, or that report dropped lines.
const std::set<std::string> state_change_events{
    "coordinator_lost", "coordinator_reached", "document_in_force", "draining",          "started",
    "leadership_begun", "leadership_ended",    "log_lines_overrun", "log_lines_left_out"};

std::string value_text(const json::value& value)
{
    return value.is_string() ? std::string{value.as_string()} : json::serialize(value);
}

// Reads YYYY-MM-DDTHH:MM:SS.mmmZ.
std::optional<std::int64_t> parse_time_ms(const std::string& time)
{
    std::tm parts{};
    int ms = 0;
    constexpr int fields = 7;
    const auto read =
        std::sscanf(time.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year, &parts.tm_mon,
                    &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &ms);
    if (read != fields) {
        return std::nullopt;
    }
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    constexpr std::int64_t ms_per_second = 1000;
    return static_cast<std::int64_t>(timegm(&parts)) * ms_per_second + ms;
}

std::int64_t number_of(const log_line& line, const std::string& name)
{
    const auto text = line.field(name);
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

std::string log_line::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

void request_log_filter::read_line(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        m_unreadable += text.empty() ? 0 : 1;
        return;
    }
    const auto body = text.substr(begin);
    json::error_code failed;
    const auto value = json::parse({body.data(), body.size()}, failed);
    const auto* object = failed ? nullptr : value.if_object();
    log_line line;
    for (const auto& item : object != nullptr ? *object : json::object{}) {
        line.fields[std::string{item.key()}] = value_text(item.value());
    }
    line.time = line.field("time");
    line.vm = line.field("vm");
    line.event = line.field("event");
    const auto at = parse_time_ms(line.time);
    if (!at || line.event.empty()) {
        ++m_unreadable;
        return;
    }
    line.at_ms = *at;
    if (line.event == "log_lines_left_out") {
        for (const auto* priority : {"routine", "failure", "belief"}) {
            m_dropped_lines += static_cast<std::uint64_t>(number_of(line, priority));
        }
    }
    if (line.event == "log_lines_overrun") {
        m_dropped_lines += static_cast<std::uint64_t>(number_of(line, "lines"));
    }
    for (const auto* common : {"time", "vm", "event", "process", "level"}) {
        line.fields.erase(common);
    }
    m_lines.push_back(std::move(line));
}

std::vector<log_line> request_log_filter::lines_for_request(const std::string& request) const
{
    std::vector<log_line> selected;
    std::set<std::string> gateways;
    std::set<std::string> adapters;
    std::int64_t begin = 0;
    std::int64_t end = 0;
    for (const auto& line : m_lines) {
        if (line.field("request") != request) {
            continue;
        }
        const auto arrived = line.at_ms - number_of(line, "age_ms");
        begin = selected.empty() ? arrived : std::min(begin, arrived);
        end = selected.empty() ? line.at_ms : std::max(end, line.at_ms);
        gateways.insert(line.vm);
        if (!line.field("adapter").empty()) {
            adapters.insert(line.field("adapter"));
        }
        selected.push_back(line);
    }
    if (selected.empty()) {
        return selected;
    }
    for (const auto& line : m_lines) {
        const bool while_open =
            line.at_ms >= begin - max_clock_skew_ms && line.at_ms <= end + max_clock_skew_ms;
        const bool concerns_gateway =
            gateways.contains(line.vm) && state_change_events.contains(line.event);
        const bool concerns_adapter =
            (line.event == "order" && adapters.contains(line.field("adapter"))) ||
            (line.event == "adapters_wanted" && !adapters.empty());
        if (while_open && (concerns_gateway || concerns_adapter)) {
            selected.push_back(line);
        }
    }
    std::stable_sort(
        selected.begin(), selected.end(),
        [](const log_line& left, const log_line& right) { return left.at_ms < right.at_ms; });
    return selected;
}

std::string to_text(const log_line& line)
{
    auto text = line.time + "  " + line.vm + "  " + line.event;
    for (const auto& [name, value] : line.fields) {
        if (!value.empty()) {
            text += "  " + name + "=" + value;
        }
    }
    return text;
}

} // namespace siskindrift::observe
