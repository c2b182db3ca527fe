#include "siskindrift/gateway/upstream_pool.h"

#include <algorithm>
#include <tuple>

namespace siskindrift::gateway {
namespace {

// Weight of the latest outcome in the moving average of the failure rate.
constexpr double failure_weight = 0.3;

} // namespace

std::string_view to_string(shortage what)
{
    switch (what) {
    case shortage::none:
        return "none";
    case shortage::upstream:
        return "upstream";
    case shortage::copy:
        return "copy";
    case shortage::reachable_copy:
        return "reachable_copy";
    case shortage::current_copy:
        return "current_copy";
    case shortage::untried_copy:
        return "untried_copy";
    case shortage::room:
        return "room";
    }
    return "none";
}

void upstream_pool::update_engine(const wire::engine_view_t& view)
{
    auto& engine = m_engines[view.upstream];
    const bool same_run = engine.born_ms == view.born_ms;
    engine.born_ms = view.born_ms;
    engine.requests = view.running + view.waiting;
    if (view.copies_included) {
        if (!view.delta || !same_run) {
            engine.versions.clear();
        }
        for (const auto& dropped : view.removed) {
            engine.versions.erase({dropped->model, dropped->adapter});
        }
        for (const auto& held : view.copies) {
            engine.versions[{held->model, held->adapter}] = held->version;
        }
    }
    auto& stats = m_stats[view.upstream];
    stats.other_tokens = view.pending_tokens > stats.reported_tokens
                             ? view.pending_tokens - stats.reported_tokens
                             : 0;
    stats.other_requests =
        engine.requests > stats.in_flight ? engine.requests - stats.in_flight : 0;
}

void upstream_pool::set_current_version(const adapter_name& name, std::uint64_t version,
                                        std::optional<core::time_point> named_at)
{
    auto& versions = m_versions[name];
    versions.record(version, named_at);
    if (named_at) {
        versions.forget_before(*named_at - m_options.old_version_grace);
    }
}

// An upstream that was restarted is reachable until an attempt shows otherwise.
bool upstream_pool::refuses_connections(const fleet::roster_entry& entry,
                                        const upstream_stats& stats, core::time_point now) const
{
    return stats.born_ms == entry.info.born_ms &&
           stats.failed_connects >= m_options.failed_connects_before_unreachable &&
           now - stats.last_connect_failure < m_options.ejection_time;
}

bool upstream_pool::is_silent(const fleet::roster_entry& entry, const upstream_stats& stats,
                              core::time_point now) const
{
    return stats.born_ms == entry.info.born_ms && !stats.requests_by_adapter.empty() &&
           stats.in_flight >= m_options.min_silent_requests &&
           now - stats.quiet_since > m_options.engine_silence_limit;
}

std::vector<std::string> upstream_pool::unreachable_upstreams(core::time_point now) const
{
    std::vector<std::string> list;
    for (const auto& [id, stats] : m_stats) {
        const auto* entry = m_roster.find(id);
        if (entry != nullptr && refuses_connections(*entry, stats, now)) {
            list.push_back(id);
        }
    }
    return list;
}

void upstream_pool::record_activity(const std::string& upstream, core::time_point now,
                                    core::time_point opened)
{
    auto& stats = m_stats[upstream];
    stats.quiet_since = now;
    m_last_activity = now;
    if (opened >= stats.last_connect_failure) {
        stats.failed_connects = 0;
    }
}

void upstream_pool::record_connect_failure(const std::string& upstream, core::time_point now)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    ++stats.failed_connects;
    stats.last_connect_failure = now;
}

void upstream_pool::record_unreached_elsewhere(const std::string& upstream, core::time_point now)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    stats.unreached_elsewhere = now;
}

void upstream_pool::record_probe(const std::string& upstream, bool connected, core::time_point now)
{
    if (connected) {
        m_stats[upstream].failed_connects = 0;
        m_last_activity = now;
        return;
    }
    record_connect_failure(upstream, now);
}

void upstream_pool::record_rejection(const std::string& upstream, core::time_point now)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    stats.window = std::max(1.0, stats.in_flight * m_options.rejection_decrease);
    stats.last_rejection = now;
}

void upstream_pool::record_admission(const std::string& upstream)
{
    auto& stats = m_stats[upstream];
    if (stats.window > 0) {
        stats.window += 1 / stats.window;
    }
}

bool upstream_pool::is_full(const fleet::roster_entry& entry, const upstream_stats& stats,
                            core::time_point now) const
{
    const auto elapsed = now - stats.last_rejection;
    return stats.born_ms == entry.info.born_ms && elapsed < m_options.window_lifetime &&
           (elapsed < m_options.rejection_pause || stats.in_flight >= stats.window);
}

void upstream_pool::reset_if_restarted(const std::string& upstream, upstream_stats& stats,
                                       core::time_point now)
{
    const auto* entry = m_roster.find(upstream);
    if (entry != nullptr && stats.born_ms != entry->info.born_ms) {
        stats.born_ms = entry->info.born_ms;
        stats.failed_connects = 0;
        stats.quiet_since = now;
        stats.paused_until = {};
        stats.unreached_elsewhere = {};
        stats.last_rejection = {};
        stats.losses = loss_guard{m_options.losses};
    }
}

// All requests of this gateway wait for upstreams, of which there are several: rather the path than
// all of these is silent.
bool upstream_pool::path_suspected(core::time_point now) const
{
    if (now - m_last_activity <= m_options.path_silence_limit) {
        return false;
    }
    return std::count_if(m_stats.begin(), m_stats.end(), [&](const auto& item) {
               const auto& stats = item.second;
               const bool waits =
                   stats.in_flight > 0 && now - stats.quiet_since > m_options.path_silence_limit;
               return waits || stats.failed_connects > 0;
           }) > 1;
}

bool upstream_pool::needs_probes(core::time_point now) const
{
    return std::any_of(m_stats.begin(), m_stats.end(), [&](const auto& item) {
        const auto* entry = m_roster.find(item.first);
        return entry != nullptr && m_roster.usable(*entry, now) &&
               (item.second.in_flight > 0 || item.second.failed_connects > 0);
    });
}

std::vector<std::pair<std::string, std::string>>
upstream_pool::take_upstreams_to_probe(core::time_point now)
{
    const bool all = path_suspected(now);
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (!m_roster.usable(entry, now)) {
            continue;
        }
        auto& stats = m_stats[id];
        const bool waits = now - stats.last_probe < m_options.probe_interval;
        if (!waits && (all || stats.failed_connects > 0)) {
            due.emplace_back(id, entry.info.address);
        }
    }
    std::shuffle(due.begin(), due.end(), m_random);
    due.resize(std::min(due.size(), m_options.max_probes));
    for (const auto& [id, address] : due) {
        m_stats[id].last_probe = now;
    }
    return due;
}

bool upstream_pool::has_lost_all(core::time_point now) const
{
    bool any = false;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (!m_roster.usable(entry, now)) {
            continue;
        }
        const auto stats = m_stats.find(id);
        if (stats == m_stats.end() || !refuses_connections(entry, stats->second, now)) {
            return false;
        }
        any = true;
    }
    return any;
}

bool upstream_pool::is_lost(const std::string& upstream, core::time_point now) const
{
    const auto* entry = m_roster.find(upstream);
    const auto stats = m_stats.find(upstream);
    return entry != nullptr && stats != m_stats.end() &&
           refuses_connections(*entry, stats->second, now) &&
           now - stats->second.quiet_since > m_options.give_up_silence;
}

bool upstream_pool::is_ejected(const upstream_stats& stats, core::time_point now) const
{
    return stats.consecutive_failures >= m_options.failures_before_ejection &&
           stats.failure_rate > m_options.ejection_failure_rate &&
           now - stats.last_failure < m_options.ejection_time;
}

// Returns, for an engine, the estimated delay of the first token of another request in ms; for
// other upstreams the fraction of slots in use. Both include a penalty for failures.
double upstream_pool::load(const fleet::roster_entry& entry, const upstream_stats& stats,
                           bool engine, core::time_point now) const
{
    const double slots = std::max(1U, entry.info.slots);
    const double busy = static_cast<double>(stats.in_flight + stats.other_requests) / slots;
    if (!engine) {
        return busy + failure_penalty(stats, now);
    }
    const auto tokens = static_cast<double>(stats.pending_tokens + stats.other_tokens);
    return tokens / m_options.prefill_tokens_per_ms + m_options.full_batch_delay_ms * busy +
           m_options.failure_cost_ms * stats.failure_rate;
}

// Returns the penalty for the failures of an upstream without an engine. It expires: where other
// upstreams are idle, nothing is sent to this one that could show that it is sound again.
double upstream_pool::failure_penalty(const upstream_stats& stats, core::time_point now) const
{
    const auto counted = std::clamp(stats.consecutive_failures, 1U, m_options.max_counted_failures);
    const auto lifetime = m_options.ejection_time * (1U << (counted - 1));
    return now - stats.last_failure < lifetime ? stats.failure_rate : 0;
}

std::optional<loss_guard> upstream_pool::record_loss(const std::string& upstream,
                                                     core::time_point sent, core::time_point now)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    return stats.losses.record_loss(sent, now) ? std::optional{stats.losses} : std::nullopt;
}

bool upstream_pool::record_response(const std::string& upstream, core::time_point sent)
{
    return m_stats[upstream].losses.record_response(sent);
}

// Leaves only the candidate that gets a trial, or else those that don't lose their requests.
// @p others tells whether an upstream works. Returns the time until the next trial if no candidate
// is left.
std::optional<core::duration> upstream_pool::hold_back_suspected(std::vector<candidate>& candidates,
                                                                 bool repeatable, bool others,
                                                                 core::time_point now)
{
    const auto losses = [&](const candidate& one) -> loss_guard& {
        return m_stats[one.entry->info.id].losses;
    };
    const auto held = [&](const candidate& one) {
        return others ? losses(one).suspected() : losses(one).needs_trials();
    };
    const auto trial =
        std::find_if(candidates.begin(), candidates.end(), [&](const candidate& one) {
            return held(one) && (others ? losses(one).is_trial_due_beside_others(repeatable, now)
                                        : losses(one).is_trial_due(now));
        });
    if (trial != candidates.end()) {
        candidates = {*trial};
        return std::nullopt;
    }
    std::optional<core::duration> next;
    for (const auto& one : candidates) {
        if (held(one)) {
            const auto time =
                std::max(losses(one).time_to_trial(now), m_options.losses.first_pause);
            next = std::min(next.value_or(time), time);
            losses(one).record_passed_over();
        }
    }
    std::erase_if(candidates, held);
    return candidates.empty() ? next : std::nullopt;
}

std::optional<std::uint64_t> upstream_pool::held_version(const fleet::roster_entry& entry,
                                                         const adapter_name& wanted) const
{
    const auto engine = m_engines.find(entry.info.id);
    if (engine != m_engines.end() && engine->second.born_ms == entry.info.born_ms) {
        const auto held = engine->second.versions.find(wanted);
        return held == engine->second.versions.end() ? std::nullopt : std::optional{held->second};
    }
    for (const auto& held : entry.info.copies) {
        if (held->model == wanted.first && held->adapter == wanted.second) {
            return held->version;
        }
    }
    return std::nullopt;
}

bool upstream_pool::accepts_version(const adapter_name& name, std::uint64_t version,
                                    bool current_exists, double wait_ms, core::time_point now) const
{
    const auto versions = m_versions.find(name);
    const auto elapsed =
        versions == m_versions.end() ? std::nullopt : versions->second.outdated_for(version, now);
    if (!elapsed) {
        return true;
    }
    const double start_ms = static_cast<double>(core::to_ms(*elapsed)) + wait_ms;
    return !current_exists && *elapsed < m_options.old_version_grace &&
           start_ms < m_options.old_version_latest_start_ms;
}

pool_choice upstream_pool::choose(const std::string& service, const adapter_name& wanted,
                                  const std::set<std::string>& tried, core::time_point now,
                                  const std::string& permitted,
                                  const std::optional<software_pin>& pin, bool repeatable,
                                  const send_preference& preference)
{
    std::optional<core::duration> retry_after; // of upstreams that have used up their limits
    bool any_unlimited = false;
    bool waits_for_place = false;
    std::vector<candidate> candidates;
    bool any_full = false;
    bool any_usable = false;
    shortage lacks = shortage::upstream; // of the upstream that comes nearest to being chosen
    bool any_reachable = false;
    std::vector<std::string> unreached; // refuse the connections of this gateway only
    const auto versions = m_versions.find(wanted);
    const auto current_version = versions == m_versions.end() ? 0 : versions->second.current();
    bool current_exists = false;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (entry.info.service != service || (pin && !pin->allows(entry.info))) {
            continue;
        }
        const bool usable = m_roster.usable(entry, now);
        if (!usable && !(pin && m_roster.may_go_on(entry, now))) {
            continue;
        }
        any_usable = any_usable || usable;
        lacks = std::max(lacks, shortage::copy);
        auto& stats = m_stats[id];
        const bool paused = now < stats.paused_until && stats.born_ms == entry.info.born_ms;
        any_unlimited = any_unlimited || (!m_limits.limit_of(id, entry.info.born_ms) && !paused &&
                                          !m_limits.places().is_limited(id, entry.info.born_ms));
        // A run that refused a connection may have been followed by one of another version.
        if (pin && stats.last_connect_failure > entry.last_heard) {
            continue;
        }
        const bool refuses = refuses_connections(entry, stats, now);
        const bool unreachable = refuses || is_silent(entry, stats, now);
        any_reachable = any_reachable || !refuses;
        const auto version = wanted.first.empty() ? std::nullopt : held_version(entry, wanted);
        const bool ended = now - stats.unreached_elsewhere < m_options.ejection_time;
        if (refuses && !ended && (wanted.first.empty() || version)) {
            unreached.push_back(id);
        }
        const bool trial_due =
            now - stats.last_trial >= m_options.unreachable_trial_interval && !tried.contains(id);
        if (unreachable && !wanted.first.empty() && !trial_due) {
            lacks = version ? std::max(lacks, shortage::reachable_copy) : lacks;
            continue;
        }
        if (!wanted.first.empty() && !version) {
            continue;
        }
        auto admission = m_limits.admission(id, entry.info.born_ms, now);
        if (paused) {
            admission = {send_admission::kind::refused, stats.paused_until - now};
        }
        if (admission.result == send_admission::kind::refused) {
            lacks = shortage::room;
            if (!tried.contains(id)) {
                retry_after =
                    std::min(retry_after.value_or(admission.retry_after), admission.retry_after);
                waits_for_place = waits_for_place || admission.waits_for_place;
            }
            continue;
        }
        current_exists = current_exists || (version && *version >= current_version);
        if (version && is_full(entry, stats, now)) {
            lacks = shortage::room;
            any_full = true;
            continue;
        }
        candidates.push_back(
            {&entry, version, load(entry, stats, !wanted.first.empty(), now),
             unreachable || !usable || is_ejected(stats, now) || preference.avoided.contains(id),
             admission.result == send_admission::kind::needs_permit, refuses,
             preference.preferred.contains(id)});
    }
    // One that has rejected this request works too.
    const bool any_sound =
        std::any_of(candidates.begin(), candidates.end(), [&](const candidate& one) {
            return !one.ejected && !m_stats[one.entry->info.id].losses.suspected();
        });
    std::erase_if(candidates, [&](const candidate& one) {
        const bool was_tried = tried.contains(one.entry->info.id);
        const bool old =
            one.version && !accepts_version(wanted, *one.version, current_exists, one.load, now);
        if (was_tried || old) {
            lacks = std::max(lacks, old ? shortage::current_copy : shortage::untried_copy);
        }
        return was_tried || old;
    });
    if (wanted.first.empty()) {
        if (const auto next = hold_back_suspected(candidates, repeatable, any_sound, now)) {
            lacks = shortage::room;
            retry_after = std::min(retry_after.value_or(*next), *next);
        }
    }
    pool_choice choice;
    if (candidates.empty()) {
        choice.lacks = lacks;
        choice.unreachable = !unreached.empty() || (any_usable && !any_reachable);
        choice.unreached = std::move(unreached);
        if (retry_after && (wanted.first.empty() || !any_unlimited)) {
            choice.result = pool_choice::kind::limited;
            choice.retry_after = *retry_after;
            choice.waits_for_place = waits_for_place;
            return choice;
        }
        // An engine without a limit or with more room can load it.
        choice.crowded = retry_after.has_value() || any_full;
        choice.result = any_usable && !wanted.first.empty() ? pool_choice::kind::adapter_not_loaded
                                                            : pool_choice::kind::none;
        return choice;
    }
    // Shuffled, so that gateways do not all choose the same one of several equally loaded
    // upstreams.
    for (std::size_t i = candidates.size() - 1; i > 0; --i) {
        std::swap(candidates[i], candidates[core::uniform_below(m_random, i + 1)]);
    }
    const auto is_other = [&](const candidate& one) {
        return one.needs_permit || one.entry->info.id != permitted;
    };
    const auto better = [&](const candidate& left, const candidate& right) {
        return std::tuple{left.ejected, is_other(left), left.load, !left.preferred} <
               std::tuple{right.ejected, is_other(right), right.load, !right.preferred};
    };
    const candidate least_loaded = *std::min_element(candidates.begin(), candidates.end(), better);
    // Many gateways with the same outdated view would all choose the same engine, so each of them
    // compares only two random engines.
    constexpr std::size_t compared = 2;
    const bool uses_engines = !wanted.first.empty();
    if (uses_engines && m_gateway_count >= m_options.two_choices_gateways &&
        candidates.size() > compared && is_other(least_loaded)) {
        if (!least_loaded.ejected) {
            std::erase_if(candidates, [](const candidate& one) { return one.ejected; });
        }
        // The candidates are shuffled, so the first two are random.
        candidates.resize(std::min(candidates.size(), compared));
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), better);
    choice.unreachable = best->refuses && !unreached.empty();
    if (best->ejected) {
        m_stats[best->entry->info.id].last_trial = now;
    }
    choice.result = best->needs_permit ? pool_choice::kind::needs_permit : pool_choice::kind::send;
    choice.upstream = best->entry->info.id;
    choice.address = best->entry->info.address;
    if (!wanted.second.empty()) {
        if (*best->version != 0) {
            choice.adapter_version = best->version; // 0 until the engine reports it
        }
        choice.crowded = least_loaded.ejected || least_loaded.load > m_options.crowded_delay_ms ||
                         *best->version < current_version;
    }
    return choice;
}

void upstream_pool::record_sent(const std::string& upstream, const adapter_name& name,
                                core::time_point now, std::uint32_t tokens)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    if (stats.in_flight == 0) {
        stats.quiet_since = now;
    }
    stats.pending_tokens += tokens;
    stats.losses.record_sent(now);
    ++stats.in_flight;
    if (!name.second.empty()) {
        ++stats.requests_by_adapter[name];
    }
}

void upstream_pool::record_prompt_processed(const std::string& upstream, std::uint32_t tokens)
{
    auto& stats = m_stats[upstream];
    stats.pending_tokens -= std::min<std::uint64_t>(stats.pending_tokens, tokens);
}

std::vector<wire::engine_share_t> upstream_pool::take_token_shares()
{
    std::vector<wire::engine_share_t> list;
    for (auto& [id, stats] : m_stats) {
        stats.reported_tokens = stats.pending_tokens;
        if (stats.pending_tokens > 0) {
            wire::engine_share_t item;
            item.upstream = id;
            item.pending_tokens = stats.pending_tokens;
            list.push_back(std::move(item));
        }
    }
    return list;
}

void upstream_pool::record_ended(const std::string& upstream, const adapter_name& name)
{
    auto& stats = m_stats[upstream];
    stats.in_flight -= stats.in_flight > 0 ? 1 : 0;
    const auto use = stats.requests_by_adapter.find(name);
    if (use != stats.requests_by_adapter.end() && --use->second == 0) {
        stats.requests_by_adapter.erase(use);
    }
}

void upstream_pool::record_outcome(const std::string& upstream, bool failed, core::time_point now)
{
    auto& stats = m_stats[upstream];
    stats.failure_rate = stats.failure_rate * (1 - failure_weight) + (failed ? failure_weight : 0);
    stats.consecutive_failures = failed ? stats.consecutive_failures + 1 : 0;
    if (failed) {
        stats.last_failure = now;
    }
}

void upstream_pool::record_load(const std::string& upstream, const upstream_load& load)
{
    auto& stats = m_stats[upstream];
    const auto total = load.running + load.waiting;
    stats.other_requests = total > stats.in_flight ? total - stats.in_flight : 0;
}

void upstream_pool::record_pause(const std::string& upstream, core::time_point until,
                                 core::time_point now)
{
    auto& stats = m_stats[upstream];
    reset_if_restarted(upstream, stats, now);
    stats.paused_until = std::max(stats.paused_until, until);
}

void upstream_pool::record_missing_adapter(const std::string& upstream, const adapter_name& name)
{
    if (const auto engine = m_engines.find(upstream); engine != m_engines.end()) {
        engine->second.versions.erase(name);
    }
}

std::vector<wire::adapter_use_t> upstream_pool::adapter_uses() const
{
    std::vector<wire::adapter_use_t> list;
    for (const auto& [id, stats] : m_stats) {
        for (const auto& [name, running] : stats.requests_by_adapter) {
            wire::adapter_use_t item;
            item.upstream = id;
            item.model = name.first;
            item.adapter = name.second;
            item.running = running;
            list.push_back(std::move(item));
        }
    }
    return list;
}

void upstream_pool::remove_departed()
{
    std::erase_if(m_stats, [&](const auto& item) {
        return item.second.in_flight == 0 && m_roster.find(item.first) == nullptr;
    });
    std::erase_if(m_engines,
                  [&](const auto& item) { return m_roster.find(item.first) == nullptr; });
}

} // namespace siskindrift::gateway
