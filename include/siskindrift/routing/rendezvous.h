// Rendezvous hashing: all VMs compute the same ranking of nodes without communication.
#pragma once

#include <cstdint>
#include <string_view>

namespace siskindrift::routing {

/// Returns the weight of @p node for @p item. The node with the largest weight ranks first.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view item, std::string_view node);

} // namespace siskindrift::routing
