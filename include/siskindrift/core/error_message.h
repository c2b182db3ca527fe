// Error text of functions that return an empty optional on failure.
#pragma once

#include <string>
#include <utility>

namespace siskindrift::core {

/// Output parameter for the error text of a function that returns an empty optional on failure.
class error_message {
public:
    /// Replaces the text.
    void set(std::string text) { m_text = std::move(text); }
    /// Returns the text that was set last; empty when there was no error.
    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace siskindrift::core
