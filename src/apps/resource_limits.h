// Limits of what the connections of a process may take together.
#pragma once

#include <cstddef>
#include <cstdint>

#include "siskindrift/core/connection_ledger.h"
#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/http/server.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// Returns the bytes that connections may keep. The rest of the memory holds the process itself.
/// @param memory_bytes limit on the memory of the process; 0: unknown.
[[nodiscard]] std::uint64_t memory_limit(std::uint64_t memory_bytes);

/// Returns how many connections may be open. The other descriptors are left for files.
/// @param max_descriptors limit on the descriptors of the process; 0: that of the system.
[[nodiscard]] std::size_t connection_limit(std::uint64_t max_descriptors);

/// Returns what a server for callers, operators and others outside the deployment shares.
[[nodiscard]] http::server_resources external_resources(core::memory_ledger& memory,
                                                        core::connection_ledger& connections);

/// Returns options of connections between processes, which share the same limits.
[[nodiscard]] net::mesh_options mesh_options(core::memory_ledger& memory,
                                             core::connection_ledger& connections);

} // namespace siskindrift::apps
