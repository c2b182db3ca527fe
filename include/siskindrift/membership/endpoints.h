// Which entry VMs a caller should use.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::membership {

/// Returns caller addresses for one caller, the best first: its own failure domain before
/// others, draining VMs left out unless no other is left, and an order that is stable for
/// a caller but differs between callers, so that callers spread.
[[nodiscard]] std::vector<std::string>
ranked_endpoints(const std::map<std::string, wire::vm_info_t>& vms, const std::string& caller,
                 const std::string& failure_domain);

} // namespace siskindrift::membership
