// Checks what other writers say of upstreams before it is used, stored or passed on.
#pragma once

#include <optional>
#include <string>

#include "siskindrift/wire/messages.h"

namespace siskindrift::fleet {

/// Largest number of requests that an upstream may say it runs at once.
inline constexpr std::uint64_t max_slots = 1'000'000;
/// Largest length of an upstream's id and of the name of its service, in bytes.
inline constexpr std::size_t max_name_bytes = 256;

/// Returns why an entry names no upstream that requests can be sent to, or none.
[[nodiscard]] std::optional<std::string> entry_error(const wire::fleet_upstream_t& entry);

} // namespace siskindrift::fleet
