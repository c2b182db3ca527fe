#include "resource_limits.h"

namespace siskindrift::apps {
namespace {

constexpr std::uint64_t memory_per_kept = 3;
constexpr std::uint64_t default_kept_bytes = 48UL * 1024 * 1024;

} // namespace

std::uint64_t memory_limit(std::uint64_t memory_bytes)
{
    return memory_bytes == 0 ? default_kept_bytes : memory_bytes / memory_per_kept;
}

net::mesh_options mesh_options(core::memory_ledger& memory)
{
    net::mesh_options options;
    options.memory = &memory;
    return options;
}

} // namespace siskindrift::apps
