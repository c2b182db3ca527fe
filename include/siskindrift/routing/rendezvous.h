// Rendezvous hashing: an order that all VMs compute alike without talking.
#pragma once

#include <cstdint>
#include <string_view>

namespace siskindrift::routing {

/// Returns the weight of @p node for @p item; the largest weight comes first.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view item, std::string_view node);

} // namespace siskindrift::routing
