#include "siskindrift/gateway/route_table.h"

#include <algorithm>
#include <xxhash.h>

namespace siskindrift::gateway {

route_table::route_table(const deployment& document)
{
    for (const auto& item : document.routes) {
        m_by_host[item.host].push_back(item);
    }
    for (auto& [host, routes] : m_by_host) {
        std::sort(routes.begin(), routes.end(), [](const route& left, const route& right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_by_host.find(host.substr(0, host.find(':')));
    if (routes == m_by_host.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto found =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [&](const route& item) { return path.starts_with(item.prefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

const std::string& route_table::choose_service(const route& matched, std::string_view request_id)
{
    std::uint64_t total_weight = 0;
    for (const auto& weighted : matched.services) {
        total_weight += weighted.weight;
    }
    auto offset = XXH3_64bits(request_id.data(), request_id.size()) %
                  std::max<std::uint64_t>(total_weight, 1);
    for (const auto& weighted : matched.services) {
        if (offset < weighted.weight) {
            return weighted.service;
        }
        offset -= weighted.weight;
    }
    return matched.services.back().service;
}

} // namespace siskindrift::gateway
