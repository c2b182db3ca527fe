// Idempotency keys in UUIDv7 format, which contains the creation time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindrift::core {

/// Returns the creation time of @p key in milliseconds since the Unix epoch, or none when it is
/// not a UUIDv7 in canonical text form.
[[nodiscard]] std::optional<std::uint64_t> key_time_ms(std::string_view key);

/// Returns a UUIDv7.
/// @param time_ms creation time in milliseconds since the Unix epoch.
/// @param high random bits, of which the lowest 26 are used.
/// @param low random bits, of which the lowest 48 are used.
[[nodiscard]] std::string make_idempotency_key(std::uint64_t time_ms, std::uint64_t high,
                                               std::uint64_t low);

} // namespace siskindrift::core
