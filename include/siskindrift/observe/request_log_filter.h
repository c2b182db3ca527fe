// Selects from logs the lines that explain what happened to one request.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskindrift::observe {

/// A parsed log line.
struct log_line {
    std::int64_t at_ms = 0; ///< Milliseconds since the Unix epoch, by the clock of the VM.
    std::string time;       ///< As logged: ISO 8601, UTC.
    std::string vm;
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields, as text.

    /// Returns the field @p name, or an empty string.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Collects log lines of several processes and selects those that explain a request.
class request_log_filter {
public:
    /// Parses and stores one line. Text before the JSON object is skipped; a line without a valid
    /// object, time or event is counted as unreadable.
    void read_line(std::string_view text);

    /// Returns the lines that explain @p request, ordered by time; empty when no line names it:
    /// - the lines that name the request;
    /// - the state changes, during the request, of the VMs that logged those lines;
    /// - the `order` lines, during the request, for the adapters that those lines name;
    /// - the `adapters_wanted` lines during the request, if those lines name an adapter.
    [[nodiscard]] std::vector<log_line> lines_for_request(const std::string& request) const;
    /// Returns how many lines could not be parsed.
    [[nodiscard]] std::size_t unreadable() const { return m_unreadable; }
    /// Returns how many lines the processes report as dropped.
    [[nodiscard]] std::uint64_t dropped_lines() const { return m_dropped_lines; }

private:
    std::vector<log_line> m_lines;
    std::size_t m_unreadable = 0;
    std::uint64_t m_dropped_lines = 0;
};

/// Formats a line for display: time, VM, event and the fields that are not empty.
[[nodiscard]] std::string to_text(const log_line& line);

} // namespace siskindrift::observe
