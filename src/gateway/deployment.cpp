#include "siskindrift/gateway/deployment.h"

#include <set>
#include <utility>

namespace siskindrift::gateway {
namespace {

std::optional<std::string> validation_error(const route& item, const deployment& document)
{
    const auto at = "route \"" + item.name + "\": ";
    if (item.prefix.empty() || item.prefix.front() != '/' || item.prefix.back() != '/') {
        return at + "prefix \"" + item.prefix + "\" does not begin and end with a slash";
    }
    if (item.timeout <= core::duration::zero()) {
        return at + "timeout is 0";
    }
    std::uint64_t weights = 0;
    for (const auto& share : item.services) {
        if (!document.services.contains(share.service)) {
            return at + "service \"" + share.service + "\" does not exist";
        }
        weights += share.weight;
    }
    if (weights == 0) {
        return at + "the weights of its services add up to 0";
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> validation_error(const deployment& document)
{
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& item : document.routes) {
        if (auto fault = validation_error(item, document)) {
            return fault;
        }
        if (!places.emplace(item.host, item.prefix).second) {
            return "two routes have the host \"" + item.host + "\" and the prefix \"" +
                   item.prefix + "\"";
        }
    }
    return std::nullopt;
}

} // namespace siskindrift::gateway
