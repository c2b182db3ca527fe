#include "siskindrift/gateway/deployment.h"

#include <algorithm>
#include <set>
#include <utility>

namespace siskindrift::gateway {
namespace {

std::optional<std::string> validation_error(const route& item, const deployment& document)
{
    const auto location = "route \"" + item.name + "\": ";
    if (item.prefix.empty() || item.prefix.front() != '/' || item.prefix.back() != '/') {
        return location + "prefix \"" + item.prefix + "\" does not begin and end with a slash";
    }
    if (item.timeout <= core::duration::zero()) {
        return location + "timeout is 0";
    }
    std::uint64_t total_weight = 0;
    for (const auto& weighted : item.services) {
        if (!document.services.contains(weighted.service)) {
            return location + "service \"" + weighted.service + "\" does not exist";
        }
        total_weight += weighted.weight;
    }
    if (total_weight == 0) {
        return location + "the weights of its services add up to 0";
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> validation_error(const deployment& document)
{
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const auto& item : document.routes) {
        if (auto error = validation_error(item, document)) {
            return error;
        }
        if (!host_prefixes.emplace(item.host, item.prefix).second) {
            return "two routes have the host \"" + item.host + "\" and the prefix \"" +
                   item.prefix + "\"";
        }
    }
    return std::nullopt;
}

bool engine_capacity::can_hold(const std::string& model, const std::string& adapter) const
{
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const engine_model& item) { return item.name == model; });
    if (weights_mb <= 0 || found == models.end()) {
        return true;
    }
    return found->weights_mb + (adapter.empty() ? 0 : found->adapter_mb) <= weights_mb;
}

} // namespace siskindrift::gateway
