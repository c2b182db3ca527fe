// Tells from logs what happened to one request.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskindrift::observe {

/// A line of a log.
struct log_line {
    std::int64_t at_ms = 0; ///< Since the Unix epoch, by the clock of its machine.
    std::string time;
    std::string vm;
    std::string event;
    std::map<std::string, std::string> fields; ///< All others, as text.

    /// Returns the field @p name, or an empty text.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Collects the lines of logs and picks those that explain a request.
class request_log_filter {
public:
    /// Takes one line. Text before the JSON object is skipped; anything else is counted.
    void read_line(std::string_view text);

    /// Returns, by time, the lines of @p request, with what its gateway came to believe and the
    /// orders for its adapter while it was open. Empty when no line names the request.
    [[nodiscard]] std::vector<log_line> lines_for_request(const std::string& request) const;
    /// Returns how many lines were not understood.
    [[nodiscard]] std::size_t unreadable() const { return m_unreadable; }
    /// Returns how many lines the processes themselves said they left out.
    [[nodiscard]] std::uint64_t dropped_lines() const { return m_left_out; }

private:
    std::vector<log_line> m_lines;
    std::size_t m_unreadable = 0;
    std::uint64_t m_left_out = 0;
};

/// Returns a line as an operator reads it.
[[nodiscard]] std::string to_text(const log_line& line);

} // namespace siskindrift::observe
