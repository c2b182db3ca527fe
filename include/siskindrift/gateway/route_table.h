// Finds the route of a request.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/gateway/deployment.h"

namespace siskindrift::gateway {

/// Routes by host, longest prefix first. Pure; its cost grows with the routes of one host.
class route_table {
public:
    route_table() = default;
    explicit route_table(const deployment& document);

    /// Returns the route whose host is @p host and whose prefix is the longest that begins
    /// the path of @p target, or null.
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// Returns the service for the request @p request_id on @p from, by the route's weights.
    /// The same request always gets the same one.
    [[nodiscard]] static const std::string& choose_service(const route& from,
                                                           std::string_view request_id);

private:
    std::map<std::string, std::vector<route>, std::less<>> m_by_host;
};

} // namespace siskindrift::gateway
