#include "siskindrift/control/software_version_manager.h"

#include <algorithm>

namespace siskindrift::control {
namespace {

wire::service_version_t to_wire(const std::pair<std::string, std::string>& item)
{
    wire::service_version_t made;
    made.service = item.first;
    made.version = item.second;
    return made;
}

} // namespace

std::optional<wire::change_software_versions_t>
software_version_manager::next_change(const state::service_versions& replicated,
                                      const fleet::software_history& history, core::time_point now)
{
    if (now - m_last_change < m_options.change_interval) {
        return std::nullopt;
    }
    wire::change_software_versions_t change;
    const auto heard = history.heard_within(m_options.retention, now);
    for (const auto& item : heard) {
        if (!replicated.contains(item)) {
            wire::append(change.add, to_wire(item));
        }
    }
    const auto complete = history.complete_since();
    if (complete && now - *complete > m_options.retention) {
        for (const auto& item : replicated) {
            if (!heard.contains(item)) {
                wire::append(change.remove, to_wire(item));
            }
        }
    }
    if (change.add.empty() && change.remove.empty()) {
        return std::nullopt;
    }
    m_last_change = now;
    return change;
}

void complete_origin_answer(wire::stream_origin_answer_t& answer, const std::string& service,
                            const state::service_versions& replicated)
{
    if (answer.count != wire::version_count::unsure) {
        return;
    }
    const auto is_of_service = [&](const auto& item) { return item.first == service; };
    const auto versions = std::count_if(replicated.begin(), replicated.end(), is_of_service);
    if (versions > 1) {
        answer.count = wire::version_count::several;
    }
    else if (versions == 1) {
        const auto& version =
            std::find_if(replicated.begin(), replicated.end(), is_of_service)->second;
        answer.count = version.empty() ? wire::version_count::unsure : wire::version_count::one;
        answer.only_version = version;
    }
}

} // namespace siskindrift::control
