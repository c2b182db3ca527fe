#include "siskindrift/gateway/upstream_places.h"

#include <algorithm>

namespace siskindrift::gateway {

bool upstream_places::record_answer(const place_answer& answer, core::time_point now)
{
    const auto found = m_upstreams.find(answer.upstream);
    const bool was_limited = found != m_upstreams.end() && found->second.limited &&
                             found->second.born_ms == answer.born_ms;
    const auto service = m_services.find(answer.service);
    if (!answer.limited) {
        const auto began = was_limited                   ? found->second.limited_at
                           : service != m_services.end() ? service->second
                                                         : core::time_point::max();
        if (answer.sent < began) {
            return false; // nothing ends, or the answer may be older than the one that began it
        }
        if (service != m_services.end() && answer.sent >= service->second) {
            m_services.erase(service);
        }
    }
    else {
        m_services.try_emplace(answer.service, now);
    }
    auto& state = m_upstreams[answer.upstream];
    state.limited = answer.limited;
    state.born_ms = answer.born_ms;
    state.slots = answer.slots;
    if (answer.limited && !was_limited) {
        state.limited_at = now;
        state.places = 0;
        state.released = true; // tells the leader what is in use
    }
    return answer.limited != was_limited;
}

void upstream_places::set_limited(const std::string& service, const std::string& upstream,
                                  std::uint64_t born_ms, std::uint32_t slots, core::time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || found->second.born_ms < born_ms) {
        record_answer({service, upstream, born_ms, slots, true, now}, now);
    }
}

void upstream_places::end(const std::string& upstream)
{
    auto& state = m_upstreams[upstream];
    state.in_use -= state.in_use > 0 ? 1 : 0;
    state.released = state.limited;
    if (state.in_use == 0 && !state.limited && m_services.empty()) {
        m_upstreams.erase(upstream);
    }
}

void upstream_places::set_leader(bool known, std::size_t gateways)
{
    m_leader_known = known;
    m_gateways = std::max<std::size_t>(gateways, 1);
}

bool upstream_places::is_limited(const std::string& upstream, std::uint64_t born_ms) const
{
    const auto found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && found->second.limited && found->second.born_ms >= born_ms;
}

bool upstream_places::has_place(const std::string& upstream, std::uint64_t born_ms,
                                core::time_point now) const
{
    if (!is_limited(upstream, born_ms)) {
        return true;
    }
    const auto& state = m_upstreams.at(upstream);
    if (!m_leader_known) {
        // Without a leader each gateway keeps to an equal part.
        return state.in_use < std::max<std::size_t>(state.slots / m_gateways, 1);
    }
    return state.in_use < state.places && now < state.valid_until;
}

bool upstream_places::is_full(const std::string& upstream, core::time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && found->second.limited &&
           (!m_leader_known || now < found->second.full_until);
}

bool upstream_places::has_news() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& item) {
        const auto& state = item.second;
        return state.limited && (state.released || state.wanted > 0 || state.in_use > 0);
    });
}

void upstream_places::report_again()
{
    for (auto& [upstream, state] : m_upstreams) {
        state.released = state.released || state.limited;
        state.told_at = {};
        state.asked_at.reset();
        state.answer_timeout = {};
    }
}

std::vector<wire::place_wish_t> upstream_places::take_wishes(core::time_point now)
{
    std::vector<wire::place_wish_t> wishes;
    for (auto& [upstream, state] : m_upstreams) {
        const bool open = state.asked_at && now - *state.asked_at < state.answer_timeout;
        const auto since = now - state.told_at;
        const bool due = state.wanted > 0 || (state.released && since >= m_options.release_delay) ||
                         (state.in_use > 0 && since >= m_options.renewal_interval);
        if (!state.limited || open || !due) {
            continue;
        }
        wire::place_wish_t wish;
        wish.upstream = upstream;
        wish.born_ms = state.born_ms;
        wish.in_use = state.in_use;
        wish.waiting = std::exchange(state.wanted, 0);
        wishes.push_back(std::move(wish));
        // Only the answer to the last question counts, so each must have the time to arrive.
        const auto timeout = state.asked_at ? state.answer_timeout * 2 : state.answer_timeout;
        state.answer_timeout =
            std::clamp(timeout, m_options.answer_timeout, m_options.max_answer_timeout);
        state.asked_at = now;
        state.told_at = now;
        state.released = false;
        // The leader may give what isn't in use to others as soon as it is told.
        state.places = std::min(state.places, state.in_use);
    }
    return wishes;
}

void upstream_places::apply(const wire::place_grant_t& grant, core::time_point asked,
                            core::time_point now)
{
    const auto found = m_upstreams.find(grant.upstream);
    if (found == m_upstreams.end() || !found->second.limited) {
        return;
    }
    auto& state = found->second;
    // Of several questions only the last was told what is in use now.
    if (!state.asked_at || asked + core::milliseconds{1} < *state.asked_at) {
        return;
    }
    state.asked_at.reset();
    if (now - asked < state.answer_timeout / 2) {
        state.answer_timeout /= 2;
    }
    state.places = grant.places;
    state.valid_until = asked + m_options.lifetime;
    if (state.places <= state.in_use) {
        state.full_until = now + m_options.refusal_pause;
    }
}

} // namespace siskindrift::gateway
