// Why the last call that returned std::nullopt did so.
#pragma once

#include <string>
#include <utility>

namespace siskindrift::core {

/// Receives the reason when a function returns an empty optional.
class error_message {
public:
    void set(std::string text) { m_text = std::move(text); }
    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace siskindrift::core
