#include "siskindrift/fleet/entry_check.h"

#include "siskindrift/net/mesh.h"

namespace siskindrift::fleet {

std::optional<std::string> entry_error(const wire::fleet_upstream_t& entry)
{
    if (entry.id.empty() || entry.id.size() > max_name_bytes) {
        return "the id has " + std::to_string(entry.id.size()) + " bytes";
    }
    if (entry.service.empty() || entry.service.size() > max_name_bytes) {
        return "the name of the service has " + std::to_string(entry.service.size()) + " bytes";
    }
    if (entry.slots > max_slots) {
        return "it has " + std::to_string(entry.slots) + " slots";
    }
    // Upstreams that have gone need no address.
    if (entry.state != wire::fleet_state::gone && !net::parse_address(entry.address)) {
        return "the address is not IP:port: " + entry.address.substr(0, max_name_bytes);
    }
    return std::nullopt;
}

} // namespace siskindrift::fleet
