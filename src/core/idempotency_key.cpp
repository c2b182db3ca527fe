#include "siskindrift/core/idempotency_key.h"

#include <array>
#include <cstdio>

namespace siskindrift::core {
namespace {

constexpr std::size_t key_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;

std::optional<std::uint64_t> hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<std::uint64_t>(digit - '0');
    }
    const char lower = static_cast<char>(digit | 0x20);
    if (lower >= 'a' && lower <= 'f') {
        return static_cast<std::uint64_t>(lower - 'a') + 10;
    }
    return std::nullopt;
}

bool is_dash_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

std::optional<std::uint64_t> key_time_ms(std::string_view key)
{
    if (key.size() != key_length || key[version_position] != '7') {
        return std::nullopt;
    }
    const auto variant = hex_value(key[variant_position]);
    if (!variant || (*variant & 0xC) != 0x8) {
        return std::nullopt;
    }
    std::uint64_t time = 0;
    for (std::size_t i = 0; i < key_length; ++i) {
        if (is_dash_position(i)) {
            if (key[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto digit = hex_value(key[i]);
        if (!digit) {
            return std::nullopt;
        }
        constexpr std::size_t time_digits_end = 13;
        if (i < time_digits_end) {
            time = time << 4 | *digit;
        }
    }
    return time;
}

std::string make_idempotency_key(std::uint64_t time_ms, std::uint64_t high, std::uint64_t low)
{
    std::array<char, key_length + 1> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>(time_ms >> 16), static_cast<unsigned>(time_ms & 0xFFFF),
                  static_cast<unsigned>(high & 0xFFF),
                  static_cast<unsigned>((high >> 12 & 0x3FFF) | 0x8000),
                  static_cast<unsigned long long>(low & 0xFFFF'FFFF'FFFF));
    return text.data();
}

} // namespace siskindrift::core
