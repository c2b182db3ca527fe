// Idempotency keys that carry their creation time (UUIDv7).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindrift::core {

/// Returns the creation time in milliseconds since the epoch that a UUIDv7 carries,
/// or none when @p key is not a UUIDv7 in its canonical text form.
[[nodiscard]] std::optional<std::uint64_t> key_time_ms(std::string_view key);

/// Returns the UUIDv7 of a creation time and 74 random bits taken from two words.
[[nodiscard]] std::string make_idempotency_key(std::uint64_t time_ms, std::uint64_t high,
                                               std::uint64_t low);

} // namespace siskindrift::core
