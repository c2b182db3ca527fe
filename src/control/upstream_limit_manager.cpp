#include "siskindrift/control/upstream_limit_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "siskindrift/fleet/retry_timing.h"
#include "siskindrift/fleet/send_permits.h"

namespace siskindrift::control {
namespace {

constexpr std::uint32_t max_permits_per_wish = 256;

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint32_t ms_until(double tokens, core::request_rate rate)
{
    constexpr double ms_per_second = 1000;
    return static_cast<std::uint32_t>(
        std::ceil(std::max(tokens, 0.0) / rate.per_s * ms_per_second));
}

std::optional<core::request_rate> effective_rate(const wire::limit_observation_t& observed)
{
    const core::request_rate rate{observed.per_s};
    if (observed.ended || !std::isfinite(rate.per_s) || rate >= fleet::max_limit) {
        return std::nullopt;
    }
    return std::max(rate, fleet::min_limit);
}

bool is_lower(std::optional<core::request_rate> left, std::optional<core::request_rate> right)
{
    return left && (!right || *left < *right);
}

} // namespace

void upstream_limit_manager::begin_term(core::time_point now)
{
    m_term_began = now;
    m_observed.clear();
    m_buckets.clear();
    m_proposed_on.reset();
}

std::optional<core::request_rate>
upstream_limit_manager::rate_of(const std::string& upstream,
                                const state::upstream_limits& limits) const
{
    if (const auto found = m_observed.find(upstream); found != m_observed.end()) {
        return found->second.rate;
    }
    const auto* limit = limits.find(upstream);
    return limit != nullptr ? std::optional{limit->rate} : std::nullopt;
}

bool upstream_limit_manager::record_observation(const wire::limit_observation_t& observed,
                                                const state::upstream_limits& limits,
                                                core::time_point now)
{
    const auto sent = now - core::milliseconds{observed.sent_age_ms};
    const auto rate = effective_rate(observed);
    const auto* replicated = limits.find(observed.upstream);
    const auto known = m_observed.find(observed.upstream);
    std::uint64_t born_ms = 0;
    auto at = m_term_began;
    if (known != m_observed.end()) {
        born_ms = known->second.born_ms;
        at = known->second.at;
    }
    else if (replicated != nullptr) {
        born_ms = replicated->born_ms;
    }
    else {
        at = {}; // nothing is known that it could contradict
    }
    const auto current = rate_of(observed.upstream, limits);
    const bool same_run = observed.born_ms == born_ms;
    const bool newer =
        same_run ? sent >= at || is_lower(rate, current) : observed.born_ms > born_ms;
    if (!newer || (known == m_observed.end() && m_observed.size() >= m_options.max_limits)) {
        return false;
    }
    m_observed[observed.upstream] = {observed.born_ms, rate,
                                     now - core::milliseconds{observed.age_ms}};
    return rate != current;
}

std::optional<wire::change_upstream_limits_t>
upstream_limit_manager::next_change(const state::upstream_limits& limits, const run_lookup& run_of,
                                    core::time_point now)
{
    if (m_proposed_on == limits.generation || now - m_last_change < m_options.change_interval) {
        return std::nullopt;
    }
    wire::change_upstream_limits_t change;
    const auto has_ended = [&](const std::string& upstream, std::uint64_t born_ms) {
        const auto run = run_of(upstream);
        return run ? *run > born_ms : now - m_term_began > m_options.announcement_wait;
    };
    std::erase_if(m_observed,
                  [&](const auto& item) { return has_ended(item.first, item.second.born_ms); });
    for (const auto& [upstream, limit] : limits.entries) {
        const auto observed = m_observed.find(upstream);
        const bool named = observed == m_observed.end() || observed->second.rate;
        if (!named || has_ended(upstream, limit.born_ms)) {
            change.remove.push_back(upstream);
        }
    }
    for (const auto& [upstream, observed] : m_observed) {
        const auto* limit = limits.find(upstream);
        const bool known =
            limit != nullptr && limit->born_ms == observed.born_ms && limit->rate == observed.rate;
        if (observed.rate && !known) {
            wire::upstream_limit_t item;
            item.upstream = upstream;
            item.born_ms = observed.born_ms;
            item.per_s = observed.rate->per_s;
            wire::append(change.set, std::move(item));
        }
    }
    if (change.set.empty() && change.remove.empty()) {
        return std::nullopt;
    }
    for (const auto& upstream : change.remove) {
        m_buckets.erase(upstream);
    }
    m_proposed_on = limits.generation;
    m_last_change = now;
    return change;
}

void upstream_limit_manager::refill(bucket& item, core::request_rate rate,
                                    core::time_point now) const
{
    const auto most = m_options.burst + rate.per_s * seconds(m_options.burst_time);
    item.tokens = std::min(item.tokens + rate.per_s * seconds(now - item.refilled), most);
    item.refilled = now;
}

// Applies what a gateway tells of the requests that it sent under its permits.
void upstream_limit_manager::record_unanswered(bucket& item, const wire::send_permit_wish_t& wish,
                                               const permit_sender& sender,
                                               core::time_point now) const
{
    for (auto& [vm, sends] : item.senders) {
        std::erase_if(sends.granted, [&](const grant_record& grant) {
            return now - grant.at > fleet::max_unanswered_time;
        });
        if (now - sends.former_at > fleet::max_unanswered_time) {
            sends.former = 0;
        }
    }
    std::erase_if(item.senders, [&](const auto& known) {
        return now - known.second.told_at > fleet::max_unanswered_time;
    });
    if (!wish.tells_unanswered || sender.vm.empty()) {
        return;
    }
    auto& sends = item.senders[sender.vm];
    if (wish.applied_ms < sends.applied_ms) {
        // A new process, which doesn't know what its predecessor sent.
        sends.former += sends.told;
        for (const auto& grant : std::exchange(sends.granted, {})) {
            sends.former += grant.permits;
        }
        sends.former_at = now;
    }
    sends.applied_ms = wish.applied_ms;
    sends.told = wish.unanswered;
    sends.told_at = now;
    std::erase_if(sends.granted,
                  [&](const grant_record& grant) { return grant.asked_ms <= wish.applied_ms; });
    if (item.heard != core::time_point{} &&
        sender.heard - item.heard > m_options.announcement_gap) {
        item.trials.next = now;
    }
    item.heard = sender.heard;
    if (wish.answered) {
        item.answered_at = now;
        sends.trials = {};
        // The connections of former processes ended with them, so only the upstream held those.
        for (auto& [vm, known] : item.senders) {
            known.former = now - known.former_at > fleet::late_arrival_limit ? 0 : known.former;
        }
    }
}

std::uint32_t upstream_limit_manager::count_unanswered(const bucket& item)
{
    std::uint32_t number = 0;
    for (const auto& [vm, sends] : item.senders) {
        number += sends.told + sends.former;
        for (const auto& grant : sends.granted) {
            number += grant.permits;
        }
    }
    return number;
}

std::uint32_t upstream_limit_manager::unanswered(const std::string& upstream) const
{
    const auto found = m_buckets.find(upstream);
    return found == m_buckets.end() ? 0 : count_unanswered(found->second);
}

bool upstream_limit_manager::take_trial(trial_schedule& trials, core::time_point now) const
{
    if (now < trials.next) {
        return false;
    }
    trials.pause = std::clamp<core::duration>(trials.pause * 2, m_options.first_trial_pause,
                                              m_options.max_trial_pause);
    trials.next = now + trials.pause;
    trials.last = now;
    return true;
}

std::uint32_t upstream_limit_manager::take_room(bucket& item, core::request_rate rate,
                                                const std::string& vm, core::time_point now) const
{
    const auto most = static_cast<std::uint32_t>(m_options.unanswered +
                                                 rate.per_s * seconds(m_options.unanswered_time));
    const auto number = count_unanswered(item);
    if (number < most) {
        item.trials = {now + m_options.first_trial_pause, now, m_options.first_trial_pause};
        return most - number;
    }
    item.tokens = std::min(item.tokens, 1.0); // none are saved up for the time after
    if (item.tokens < 1) {
        return 0;
    }
    const auto sends = item.senders.find(vm);
    const bool answers_again =
        sends != item.senders.end() && sends->second.trials.last < item.answered_at;
    if (answers_again && take_trial(sends->second.trials, now)) {
        return 1;
    }
    return take_trial(item.trials, now) ? 1 : 0;
}

wire::send_permit_t upstream_limit_manager::grant(const wire::send_permit_wish_t& wish,
                                                  const state::upstream_limits& limits,
                                                  core::time_point now, const permit_sender& sender)
{
    wire::send_permit_t permit;
    permit.upstream = wish.upstream;
    const auto waiting = std::min(wish.waiting, max_permits_per_wish);
    const auto rate = rate_of(wish.upstream, limits);
    if (!rate) {
        permit.granted = waiting;
        return permit;
    }
    const auto observed = m_observed.find(wish.upstream);
    const auto since = observed == m_observed.end() ? m_term_began : observed->second.at;
    bucket fresh;
    fresh.refilled = since;
    fresh.next_return = now;
    auto& item = m_buckets.try_emplace(wish.upstream, fresh).first->second;
    refill(item, *rate, now);
    const auto* replicated = limits.find(wish.upstream);
    const auto born_ms = observed != m_observed.end() ? observed->second.born_ms
                         : replicated != nullptr      ? replicated->born_ms
                                                      : item.born_ms;
    if (std::exchange(item.born_ms, born_ms) != born_ms) {
        item.senders.clear(); // the former run receives nothing any more
    }
    record_unanswered(item, wish, sender, now);
    const auto room = waiting > 0 ? take_room(item, *rate, sender.vm, now) : 0;
    const auto available = std::min(static_cast<std::uint32_t>(item.tokens), room);
    const auto spare = std::min(
        wish.spare, static_cast<std::uint32_t>(rate->per_s * seconds(m_options.spare_time)));
    permit.granted = std::min(available, waiting + std::min(spare, max_permits_per_wish));
    item.tokens -= permit.granted;
    if (const auto sends = item.senders.find(sender.vm);
        sends != item.senders.end() && permit.granted > 0) {
        sends->second.granted.push_back({sender.asked_ms, permit.granted, now});
    }
    if (permit.granted < waiting) {
        permit.next_ms =
            room > permit.granted
                ? ms_until(1 - item.tokens, *rate)
                : std::max(ms_until(1 - item.tokens, *rate),
                           static_cast<std::uint32_t>(core::to_ms(m_options.unanswered_retry)));
        // Each refused caller gets a time of its own, at the rate of the limit.
        const auto interval = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(1 / rate->per_s));
        const auto first = now + core::milliseconds{permit.next_ms};
        const auto refused = waiting - permit.granted;
        item.next_return = std::min(std::max(item.next_return + interval * refused, first),
                                    now + m_options.max_retry_after);
        permit.retry_after_ms = static_cast<std::uint32_t>(core::to_ms(item.next_return - now));
    }
    return permit;
}

} // namespace siskindrift::control
