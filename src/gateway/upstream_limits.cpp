#include "siskindrift/gateway/upstream_limits.h"

#include <algorithm>

#include "siskindrift/fleet/retry_timing.h"

namespace siskindrift::gateway {
namespace {

std::uint32_t age_ms(core::time_point at, core::time_point now)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_ms(now - at), 0));
}

std::optional<core::request_rate> effective_rate(std::optional<core::request_rate> named)
{
    if (!named || *named >= fleet::max_limit) {
        return std::nullopt;
    }
    return std::max(*named, fleet::min_limit);
}

} // namespace

bool upstream_limits::apply_limits(const wire::fleet_update_t& update, core::time_point now)
{
    if (!update.limits_included || update.limits_generation <= m_generation) {
        return false;
    }
    m_generation = update.limits_generation;
    auto before = std::exchange(m_limits, {});
    for (const auto& item : update.limits) {
        const auto old = before.find(item->upstream);
        const bool same = old != before.end() && old->second.born_ms == item->born_ms &&
                          old->second.rate == core::request_rate{item->per_s};
        m_limits[item->upstream] = {item->born_ms, core::request_rate{item->per_s},
                                    same ? old->second.at : now};
        if (!same) {
            forget_refusal(item->upstream);
        }
        const auto permits = m_permits.find(item->upstream);
        if (permits != m_permits.end() && old != before.end() &&
            old->second.born_ms != item->born_ms) {
            permits->second.unanswered.clear(); // they ended with the former run
            permits->second.settled = true;
        }
    }
    // What was observed here either became known to all or was overruled by a newer answer.
    std::erase_if(m_observed, [&](const auto& item) {
        const auto& [upstream, own] = item;
        const auto found = m_limits.find(upstream);
        const bool agrees = found == m_limits.end() ? !own.answer.rate.has_value()
                                                    : found->second.born_ms == own.answer.born_ms &&
                                                          found->second.rate == own.answer.rate;
        return agrees || now - own.at > m_options.observation_interval;
    });
    std::erase_if(m_permits, [&](const auto& item) {
        return find(item.first) == nullptr && !m_observed.contains(item.first);
    });
    return true;
}

const upstream_limits::known_limit* upstream_limits::find(const std::string& upstream) const
{
    const auto found = m_limits.find(upstream);
    return found == m_limits.end() ? nullptr : &found->second;
}

std::optional<core::request_rate> upstream_limits::limit_of(const std::string& upstream,
                                                            std::uint64_t born_ms) const
{
    const auto own = m_observed.find(upstream);
    if (own != m_observed.end() && own->second.answer.born_ms >= born_ms) {
        return own->second.answer.rate;
    }
    const auto* known = find(upstream);
    // The limit may be named by a run that this gateway doesn't know yet.
    return known != nullptr && known->born_ms >= born_ms ? known->rate : std::nullopt;
}

bool upstream_limits::record_answer(const limit_answer& answer, core::time_point now)
{
    auto fresh = answer;
    fresh.rate = effective_rate(answer.rate);
    const auto current = limit_of(answer.upstream, answer.born_ms);
    if (fresh.rate == current) {
        if (const auto own = m_observed.find(answer.upstream); own != m_observed.end()) {
            own->second.at = now;
            own->second.answer.sent = answer.sent;
        }
        return false;
    }
    const auto own = m_observed.find(answer.upstream);
    const auto* known = find(answer.upstream);
    const auto known_at = own != m_observed.end() ? own->second.at
                          : known != nullptr      ? known->at
                                                  : core::time_point{};
    // Of answers that overlap, the lower limit counts: either may be the newer one.
    const bool lower = fresh.rate && (!current || *fresh.rate < *current);
    if (!lower && answer.sent < known_at) {
        return false;
    }
    if (m_observed.size() >= m_options.max_limits && own == m_observed.end()) {
        return false;
    }
    m_observed[answer.upstream] = {fresh, now, {}};
    forget_refusal(answer.upstream);
    return true;
}

// The leader refused for as long as the former limit takes to give a permit.
void upstream_limits::forget_refusal(const std::string& upstream)
{
    if (const auto found = m_permits.find(upstream); found != m_permits.end()) {
        found->second.refused_until = {};
    }
}

send_admission upstream_limits::admission(const std::string& upstream, std::uint64_t born_ms,
                                          core::time_point now) const
{
    auto result = rate_admission(upstream, born_ms, now);
    if (result.result == send_admission::kind::refused ||
        m_places.has_place(upstream, born_ms, now)) {
        return result;
    }
    result.result = m_places.is_full(upstream, now) ? send_admission::kind::refused
                                                    : send_admission::kind::needs_permit;
    result.retry_after = m_options.full_retry_after;
    result.waits_for_place = true;
    return result;
}

send_admission upstream_limits::rate_admission(const std::string& upstream, std::uint64_t born_ms,
                                               core::time_point now) const
{
    if (!limit_of(upstream, born_ms)) {
        return {};
    }
    const auto found = m_permits.find(upstream);
    if (found == m_permits.end()) {
        return {send_admission::kind::needs_permit, {}};
    }
    const auto& own = found->second;
    if (own.held > 0 && now < own.valid_until) {
        return {};
    }
    if (now < own.refused_until) {
        return {send_admission::kind::refused, std::max(own.retry_at, own.refused_until) - now};
    }
    return {send_admission::kind::needs_permit, {}};
}

void upstream_limits::consume(const std::string& upstream, core::time_point now)
{
    const auto found = m_permits.find(upstream);
    if (found == m_permits.end()) {
        return;
    }
    auto& own = found->second;
    own.unanswered.push_back(now);
    if (own.held == 0) {
        return;
    }
    if (--own.held == 0 && now - own.granted_at < m_options.batch_time) {
        own.batch = std::min(own.batch * 2 + 1, m_options.max_batch);
    }
}

void upstream_limits::restore(const std::string& upstream)
{
    if (const auto found = m_permits.find(upstream); found != m_permits.end()) {
        auto& own = found->second;
        ++own.held;
        if (!own.unanswered.empty()) {
            own.unanswered.pop_back();
        }
    }
}

bool upstream_limits::record_received(const std::string& upstream, core::time_point sent)
{
    const auto found = m_permits.find(upstream);
    if (found == m_permits.end()) {
        return false;
    }
    auto& own = found->second;
    const auto received = std::erase_if(own.unanswered, [&](auto at) { return at <= sent; });
    own.settled = own.settled || received > 0;
    own.answered = own.answered || received > 0;
    return received > 0;
}

void upstream_limits::report_again()
{
    m_report_again = true;
    for (auto& [upstream, own] : m_permits) {
        own.settled = own.settled || !own.unanswered.empty();
    }
}

void upstream_limits::append_observations(wire::send_permit_query_t& query, core::time_point now)
{
    const bool all = std::exchange(m_report_again, false);
    for (auto& [upstream, own] : m_observed) {
        if (!all && now - own.told < m_options.observation_interval) {
            continue;
        }
        own.told = now;
        wire::limit_observation_t item;
        item.upstream = upstream;
        item.born_ms = own.answer.born_ms;
        item.ended = !own.answer.rate.has_value();
        item.per_s = own.answer.rate.value_or(core::request_rate{}).per_s;
        item.sent_age_ms = age_ms(own.answer.sent, now);
        item.age_ms = age_ms(own.at, now);
        wire::append(query.observed, std::move(item));
    }
}

std::optional<wire::send_permit_query_t> upstream_limits::take_query(core::time_point now)
{
    wire::send_permit_query_t query;
    query.vm = m_vm;
    query.sent_ms = static_cast<std::uint64_t>(core::to_ms(now.time_since_epoch()));
    append_observations(query, now);
    for (auto& [upstream, own] : m_permits) {
        own.settled =
            std::erase_if(own.unanswered,
                          [&](auto at) { return now - at > fleet::max_unanswered_time; }) > 0 ||
            own.settled;
        const bool open = own.asked_at && now - *own.asked_at < m_options.answer_timeout;
        if ((own.wanted == 0 && !own.settled) || open) {
            continue;
        }
        own.settled = false;
        wire::send_permit_wish_t wish;
        wish.upstream = upstream;
        wish.tells_unanswered = true;
        wish.answered = std::exchange(own.answered, false);
        wish.unanswered = static_cast<std::uint32_t>(own.unanswered.size()) +
                          (now < own.valid_until ? own.held : 0);
        wish.applied_ms = own.applied_ms;
        if (own.wanted > 0) {
            own.asked_at = now;
            wish.waiting = std::exchange(own.wanted, 0);
            wish.spare = own.batch;
        }
        wire::append(query.wishes, std::move(wish));
    }
    for (auto& wish : m_places.take_wishes(now)) {
        wire::append(query.places, std::move(wish));
    }
    if (query.observed.empty() && query.wishes.empty() && query.places.empty()) {
        return std::nullopt;
    }
    return query;
}

void upstream_limits::apply_grant(const wire::send_permit_grant_t& grant, core::time_point now)
{
    const core::time_point asked{core::milliseconds{grant.asked_ms}};
    for (const auto& item : grant.places) {
        m_places.apply(*item, asked, now);
    }
    for (const auto& item : grant.permits) {
        auto& own = m_permits[item->upstream];
        own.applied_ms = std::max(own.applied_ms, grant.asked_ms);
        if (own.asked_at && *own.asked_at <= asked + core::milliseconds{1}) {
            own.asked_at.reset();
        }
        if (now < asked + fleet::send_permit_lifetime && item->granted > 0) {
            if (now >= own.valid_until) {
                own.batch = own.held > 0 ? 0 : own.batch; // too many were asked for
                own.held = 0;
            }
            // The earlier permits may last longer: they end with the newest at the latest.
            own.valid_until = own.held > 0
                                  ? std::min(own.valid_until, asked + fleet::send_permit_lifetime)
                                  : asked + fleet::send_permit_lifetime;
            own.held += item->granted;
            own.granted_at = now;
        }
        if (item->next_ms > 0) {
            own.refused_until = now + core::milliseconds{item->next_ms};
            own.retry_at = now + core::milliseconds{item->retry_after_ms};
        }
    }
}

void upstream_limits::record_silence(const std::string& upstream, core::time_point now)
{
    auto& own = m_permits[upstream];
    own.wanted = 0;
    const bool may_be_answered = own.asked_at && now - *own.asked_at < m_options.answer_timeout;
    if (!may_be_answered) {
        own.asked_at.reset();
        own.refused_until = now + m_options.silence_pause;
        own.retry_at = own.refused_until;
    }
}

void upstream_limits::record_no_leader(const std::string& upstream, core::time_point now)
{
    auto& own = m_permits[upstream];
    own.wanted = 0;
    own.asked_at.reset();
    own.refused_until = now + m_options.silence_pause;
    own.retry_at = own.refused_until;
}

} // namespace siskindrift::gateway
