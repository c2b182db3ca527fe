#include "siskindrift/routing/rendezvous.h"

#include <xxhash.h>

namespace siskindrift::routing {

std::uint64_t rendezvous_weight(std::string_view item, std::string_view node)
{
    const auto seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(item.data(), item.size(), seed);
}

} // namespace siskindrift::routing
