#include "siskindrift/gateway/origin_lookup.h"

#include <set>

namespace siskindrift::gateway {

std::string_view to_string(origin_source source)
{
    switch (source) {
    case origin_source::own:
        return "own";
    case origin_source::told:
        return "told";
    case origin_source::only_version:
        return "only_version";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

bool origin_lookup::add_answer(const wire::stream_origin_answer_t& answer, bool from_coordinator)
{
    m_answers.push_back(answer);
    const bool sure = answer.count == wire::version_count::one;
    m_sure_coordinators += from_coordinator && sure ? 1 : 0;
    m_leader_is_sure = m_leader_is_sure || (from_coordinator && sure && answer.leads);
    return m_answers.size() >= m_asked;
}

origin_decision origin_lookup::decide(const fleet::software_versions& own) const
{
    const wire::stream_origin_t* latest = nullptr;
    for (const auto& answer : m_answers) {
        if (answer.origin && (latest == nullptr || answer.origin->attempt > latest->attempt)) {
            latest = answer.origin.get();
        }
    }
    if (latest != nullptr) {
        return {origin_source::told, latest->software_version};
    }
    std::set<std::string> only;
    bool several = own.count == wire::version_count::several;
    if (own.count == wire::version_count::one) {
        only.insert(own.only);
    }
    for (const auto& answer : m_answers) {
        several = several || answer.count == wire::version_count::several;
        if (answer.count == wire::version_count::one) {
            only.insert(answer.only_version);
        }
    }
    if (several || only.size() > 1) {
        return {};
    }
    // A gateway that is out of step may be beside a coordinator that is, too.
    const bool most_are_sure = m_sure_coordinators * 2 > m_coordinators;
    if (only.empty() || !(most_are_sure || m_leader_is_sure)) {
        origin_decision unsure;
        unsure.may_become_known = true;
        return unsure;
    }
    return {origin_source::only_version, *only.begin()};
}

} // namespace siskindrift::gateway
