// Looks up the route of a request.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/gateway/deployment.h"

namespace siskindrift::gateway {

/// Index of routes by host and path prefix. Lookup time is linear in the number of routes of a
/// host.
class route_table {
public:
    route_table() = default;
    explicit route_table(const deployment& document);

    /// Returns the route with the longest prefix that matches a request.
    /// @param host value of the Host header; a port is ignored.
    /// @param target request target; the query is ignored.
    /// @return the route, or null if none matches.
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// Returns the service for request @p request_id on @p matched, chosen by the route's weights.
    /// The same request id always gets the same service.
    [[nodiscard]] static const std::string& choose_service(const route& matched,
                                                           std::string_view request_id);

private:
    std::map<std::string, std::vector<route>, std::less<>> m_by_host; ///< Longest prefix first.
};

} // namespace siskindrift::gateway
