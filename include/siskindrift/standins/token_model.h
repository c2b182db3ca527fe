// Text generation of the stand-in engines. The text depends only on the adapter and the prompt, so
// that a caller can check every response.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskindrift::standins {

/// Generates a deterministic text, one token at a time.
class token_model {
public:
    /// @param adapter name of the adapter, "adapter@version".
    /// @param prompt only its words matter, not the number of spaces between them.
    token_model(std::string_view adapter, std::string_view prompt);

    /// Returns the next token with its leading space.
    std::string next();

private:
    void update_state(std::string_view word);

    std::uint64_t m_state;
};

/// Returns the text that a stand-in engine generates.
/// @param tokens number of tokens.
[[nodiscard]] std::string expected_text(std::string_view adapter, std::string_view prompt,
                                        std::uint32_t tokens);

} // namespace siskindrift::standins
