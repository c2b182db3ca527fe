// The text that a stand-in model generates: a function of adapter and context alone, so
// that a caller can check every answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskindrift::standins {

/// Generates words one at a time.
class token_model {
public:
    /// Starts after the words of @p context.
    token_model(std::string_view adapter, std::string_view context);

    /// Returns the next piece of text, its leading space included.
    std::string next();

private:
    void take(std::string_view word);

    std::uint64_t m_state;
};

/// Returns the whole answer of @p tokens pieces.
[[nodiscard]] std::string expected_text(std::string_view adapter, std::string_view context,
                                        std::uint32_t tokens);

} // namespace siskindrift::standins
