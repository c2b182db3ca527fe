// Limits of what the connections of a process may take together.
#pragma once

#include <cstdint>

#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// Returns the bytes that connections may keep. The rest of the memory holds the process itself.
/// @param memory_bytes limit on the memory of the process; 0: unknown.
[[nodiscard]] std::uint64_t memory_limit(std::uint64_t memory_bytes);

/// Returns options of connections between processes, which share the same limit.
[[nodiscard]] net::mesh_options mesh_options(core::memory_ledger& memory);

} // namespace siskindrift::apps
