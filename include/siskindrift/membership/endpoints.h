// Ranks the VMs that a caller can connect to.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::membership {

/// Returns the addresses at which @p caller can reach the service, the preferred ones first.
///
/// VMs in @p failure_domain precede all others. Draining VMs are omitted unless all are draining.
/// Within a failure domain the order is stable for a caller and differs between callers, which
/// spreads the callers over the VMs.
/// @param vms known VMs by name.
/// @param caller identifies the caller.
/// @param failure_domain failure domain of the caller.
[[nodiscard]] std::vector<std::string>
ranked_endpoints(const std::map<std::string, wire::vm_info_t>& vms, const std::string& caller,
                 const std::string& failure_domain);

} // namespace siskindrift::membership
