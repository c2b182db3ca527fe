#include "resource_limits.h"

#include <algorithm>
#include <sys/resource.h>

namespace siskindrift::apps {
namespace {

constexpr std::uint64_t memory_per_kept = 3;
constexpr std::uint64_t default_kept_bytes = 48UL * 1024 * 1024;
// For files: the log, the replicated log and its snapshots.
constexpr std::uint64_t reserved_descriptors = 200;

std::uint64_t system_descriptors()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                                   : core::connection_ledger::unlimited;
}

} // namespace

std::uint64_t memory_limit(std::uint64_t memory_bytes)
{
    return memory_bytes == 0 ? default_kept_bytes : memory_bytes / memory_per_kept;
}

std::size_t connection_limit(std::uint64_t max_descriptors)
{
    const auto descriptors = max_descriptors != 0 ? max_descriptors : system_descriptors();
    return descriptors - std::min(reserved_descriptors, descriptors / 2);
}

http::server_resources external_resources(core::memory_ledger& memory,
                                          core::connection_ledger& connections)
{
    return {&memory, &connections, core::connection_kind::external};
}

net::mesh_options mesh_options(core::memory_ledger& memory, core::connection_ledger& connections)
{
    net::mesh_options options;
    options.memory = &memory;
    options.connections = &connections;
    return options;
}

} // namespace siskindrift::apps
