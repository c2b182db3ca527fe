#include "siskindrift/membership/endpoints.h"

#include <algorithm>

#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::membership {

std::vector<std::string> ranked_endpoints(const std::map<std::string, wire::vm_info_t>& vms,
                                          const std::string& caller,
                                          const std::string& failure_domain)
{
    std::vector<const wire::vm_info_t*> usable;
    for (const auto& [name, vm] : vms) {
        if (!vm.draining) {
            usable.push_back(&vm);
        }
    }
    if (usable.empty()) {
        for (const auto& [name, vm] : vms) {
            usable.push_back(&vm);
        }
    }
    std::sort(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
        const bool same_domain_a = a->failure_domain == failure_domain;
        const bool same_domain_b = b->failure_domain == failure_domain;
        if (same_domain_a != same_domain_b) {
            return same_domain_a;
        }
        return routing::rendezvous_weight(caller, a->vm) >
               routing::rendezvous_weight(caller, b->vm);
    });
    std::vector<std::string> addresses;
    addresses.reserve(usable.size());
    for (const auto* vm : usable) {
        addresses.push_back(vm->caller_address);
    }
    return addresses;
}

} // namespace siskindrift::membership
