#include "siskindrift/standins/token_model.h"

#include <xxhash.h>

namespace siskindrift::standins {

token_model::token_model(std::string_view adapter, std::string_view prompt)
    : m_state(XXH3_64bits(adapter.data(), adapter.size()))
{
    std::size_t begin = prompt.find_first_not_of(' ');
    while (begin != std::string_view::npos) {
        const auto end = prompt.find(' ', begin);
        update_state(prompt.substr(begin, end - begin));
        begin = prompt.find_first_not_of(' ', end);
    }
}

void token_model::update_state(std::string_view word)
{
    m_state = XXH3_64bits_withSeed(word.data(), word.size(), m_state);
}

std::string token_model::next()
{
    constexpr std::uint64_t vocabulary_size = 9973;
    const auto word = "t" + std::to_string(m_state % vocabulary_size);
    update_state(word);
    return " " + word;
}

std::string expected_text(std::string_view adapter, std::string_view prompt, std::uint32_t tokens)
{
    token_model model{adapter, prompt};
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += model.next();
    }
    return text;
}

} // namespace siskindrift::standins
