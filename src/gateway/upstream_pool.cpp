#include "siskindrift/gateway/upstream_pool.h"

#include <algorithm>

namespace siskindrift::gateway {
namespace {

constexpr double failure_weight = 0.3; // of the latest outcome in the share of failures

} // namespace

void upstream_pool::update_engine(const wire::engine_view_t& view)
{
    auto& at = m_views[view.upstream];
    at.born_ms = view.born_ms;
    at.running = view.running + view.waiting;
    if (view.copies_included) {
        at.versions.clear();
        for (const auto& held : view.copies) {
            at.versions[{held->model, held->adapter}] = held->version;
        }
    }
    auto& known = m_records[view.upstream];
    known.other_tokens =
        view.pending_tokens > known.told_tokens ? view.pending_tokens - known.told_tokens : 0;
    known.others = at.running > known.in_flight ? at.running - known.in_flight : 0;
}

void upstream_pool::set_current_version(const adapter_name& name, std::uint64_t version,
                                        core::time_point now)
{
    auto& named = m_named[name];
    if (version > named.first) {
        named = {version, now};
    }
}

bool upstream_pool::ejected(const record& at, core::time_point now) const
{
    return at.failures >= m_options.failures_before_ejection &&
           at.failing > m_options.ejection_share && now - at.failed < m_options.failure_memory;
}

// Returns, for an engine, the time before a further prompt's first token in ms; for others the
// share of slots in use.
double upstream_pool::load(const fleet::roster_entry& item, const record& at, bool engine) const
{
    const double slots = std::max(1U, item.info.slots);
    const double busy = static_cast<double>(at.in_flight + at.others) / slots;
    if (!engine) {
        return busy + at.failing;
    }
    const auto tokens = static_cast<double>(at.pending_tokens + at.other_tokens);
    return tokens / m_options.prompt_tokens_per_ms + m_options.full_ms * busy +
           m_options.failing_ms * at.failing;
}

std::optional<std::uint64_t> upstream_pool::copy_at(const fleet::roster_entry& item,
                                                    const adapter_name& wanted) const
{
    const auto view = m_views.find(item.info.id);
    if (view != m_views.end() && view->second.born_ms == item.info.born_ms) {
        const auto held = view->second.versions.find(wanted);
        return held == view->second.versions.end() ? std::nullopt : std::optional{held->second};
    }
    for (const auto& held : item.info.copies) {
        if (held->model == wanted.first && held->adapter == wanted.second) {
            return held->version;
        }
    }
    return std::nullopt;
}

bool upstream_pool::accepts_version(const adapter_name& name, std::uint64_t version,
                                    bool newest_exists, double wait_ms, core::time_point now) const
{
    const auto named = m_named.find(name);
    if (named == m_named.end() || version >= named->second.first) {
        return true;
    }
    const auto since = now - named->second.second;
    const double begins_ms = static_cast<double>(core::to_ms(since)) + wait_ms;
    return !newest_exists && since < m_options.old_version_grace &&
           begins_ms < m_options.old_version_wait_ms;
}

pool_choice upstream_pool::choose(const std::string& service, const adapter_name& wanted,
                                  const std::set<std::string>& tried, core::time_point now)
{
    struct candidate {
        const fleet::roster_entry* item;
        std::optional<std::uint64_t> version;
        double load;
        bool ejected;
    };
    std::vector<candidate> candidates;
    bool any = false;
    const auto named = m_named.find(wanted);
    const auto newest = named == m_named.end() ? 0 : named->second.first;
    bool newest_exists = false;
    for (const auto& [id, item] : m_roster.entries()) {
        if (item.info.service != service || !m_roster.usable(item, now)) {
            continue;
        }
        any = true;
        const auto version = wanted.first.empty() ? std::nullopt : copy_at(item, wanted);
        if (!wanted.first.empty() && !version) {
            continue;
        }
        newest_exists = newest_exists || (version && *version >= newest);
        const auto& at = m_records[id];
        candidates.push_back(
            {&item, version, load(item, at, !wanted.first.empty()), ejected(at, now)});
    }
    std::erase_if(candidates, [&](const candidate& one) {
        return tried.contains(one.item->info.id) ||
               (one.version &&
                !accepts_version(wanted, *one.version, newest_exists, one.load, now));
    });
    pool_choice choice;
    if (candidates.empty()) {
        choice.result = any && !wanted.first.empty() ? pool_choice::kind::adapter_not_loaded
                                                     : pool_choice::kind::none;
        return choice;
    }
    // Equal loads are drawn, so that gateways don't all choose the same upstream.
    for (std::size_t i = candidates.size() - 1; i > 0; --i) {
        std::swap(candidates[i], candidates[core::uniform_below(m_random, i + 1)]);
    }
    const auto better = [](const candidate& left, const candidate& right) {
        return std::pair{left.ejected, left.load} < std::pair{right.ejected, right.load};
    };
    const candidate least = *std::min_element(candidates.begin(), candidates.end(), better);
    // Many gateways with the same old view would all choose the same engine: each looks at two.
    constexpr std::size_t looked_at = 2;
    const bool engines = !wanted.first.empty();
    if (engines && m_gateways >= m_options.many_gateways && candidates.size() > looked_at) {
        if (!least.ejected) {
            std::erase_if(candidates, [](const candidate& one) { return one.ejected; });
        }
        // Their order was drawn, so the first two are any two.
        candidates.resize(std::min(candidates.size(), looked_at));
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), better);
    choice.result = pool_choice::kind::send;
    choice.upstream = best->item->info.id;
    choice.address = best->item->info.address;
    if (!wanted.second.empty()) {
        if (*best->version != 0) {
            choice.adapter_version = best->version; // unknown until the engine reports it
        }
        choice.crowded =
            least.ejected || least.load > m_options.crowded_ms || *best->version < newest;
    }
    return choice;
}

void upstream_pool::record_sent(const std::string& upstream, const adapter_name& name,
                                std::uint32_t tokens)
{
    auto& at = m_records[upstream];
    at.pending_tokens += tokens;
    ++at.in_flight;
    if (!name.second.empty()) {
        ++at.uses[name];
    }
}

void upstream_pool::record_prompt_read(const std::string& upstream, std::uint32_t tokens)
{
    auto& at = m_records[upstream];
    at.pending_tokens -= std::min<std::uint64_t>(at.pending_tokens, tokens);
}

std::vector<wire::engine_share_t> upstream_pool::take_token_shares()
{
    std::vector<wire::engine_share_t> list;
    for (auto& [id, at] : m_records) {
        at.told_tokens = at.pending_tokens;
        if (at.pending_tokens > 0) {
            wire::engine_share_t item;
            item.upstream = id;
            item.pending_tokens = at.pending_tokens;
            list.push_back(std::move(item));
        }
    }
    return list;
}

void upstream_pool::record_ended(const std::string& upstream, const adapter_name& name)
{
    auto& at = m_records[upstream];
    at.in_flight -= at.in_flight > 0 ? 1 : 0;
    const auto use = at.uses.find(name);
    if (use != at.uses.end() && --use->second == 0) {
        at.uses.erase(use);
    }
}

void upstream_pool::record_outcome(const std::string& upstream, bool failed, core::time_point now)
{
    auto& at = m_records[upstream];
    at.failing = at.failing * (1 - failure_weight) + (failed ? failure_weight : 0);
    at.failures = failed ? at.failures + 1 : 0;
    if (failed) {
        at.failed = now;
    }
}

void upstream_pool::record_load(const std::string& upstream, const upstream_load& load)
{
    auto& at = m_records[upstream];
    const auto total = load.running + load.waiting;
    at.others = total > at.in_flight ? total - at.in_flight : 0;
}

void upstream_pool::record_missing_adapter(const std::string& upstream, const adapter_name& name)
{
    if (const auto view = m_views.find(upstream); view != m_views.end()) {
        view->second.versions.erase(name);
    }
}

std::vector<wire::adapter_use_t> upstream_pool::adapter_uses() const
{
    std::vector<wire::adapter_use_t> list;
    for (const auto& [id, at] : m_records) {
        for (const auto& [name, running] : at.uses) {
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
    std::erase_if(m_records, [&](const auto& item) {
        return item.second.in_flight == 0 && m_roster.find(item.first) == nullptr;
    });
    std::erase_if(m_views, [&](const auto& item) { return m_roster.find(item.first) == nullptr; });
}

} // namespace siskindrift::gateway
