// Limits of what the connections of a process may take together.
#pragma once

#include <cstdint>

namespace siskindrift::apps {

/// Returns the bytes that connections may keep. The rest of the memory holds the process itself.
/// @param memory_bytes limit on the memory of the process; 0: unknown.
[[nodiscard]] std::uint64_t memory_limit(std::uint64_t memory_bytes);

} // namespace siskindrift::apps
