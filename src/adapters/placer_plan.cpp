// Planning of the placer: which adapters to load on which engines, and which to evict.
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <unordered_map>
#include <xxhash.h>

#include "siskindrift/adapters/placer.h"

namespace siskindrift::adapters {
namespace {

constexpr double full_batch_delay_ms = 400; // delay of a first token by a full batch
// Cost of evicting an adapter that has just been used: it is likely to be requested again soon.
constexpr double recent_victim_penalty_ms = 300;
constexpr double rejected_wait_ms = 1e9;  // longer than any load
constexpr double tie_break_range_ms = 20; // selects one engine among engines of equal cost
constexpr double unlimited_mb = std::numeric_limits<double>::infinity();

// Returns a hash of an adapter and an engine, scaled to [0, 1].
double tie_break_fraction(adapter_key key, const std::string& engine)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(XXH3_64bits_withSeed(engine.data(), engine.size(), key)) / range;
}

} // namespace

std::vector<placer::demand> placer::collect_demands(core::time_point now) const
{
    std::map<std::pair<adapter_key, std::string_view>, demand> demands;
    for (const auto& [vm, state] : m_gateways) {
        for (const auto& [wished, wish] : state.wishes) {
            if (now - wish.last_reported > m_options.wish_lifetime) {
                continue;
            }
            const auto& [name, software] = wished;
            if (m_unplaceable.contains(name.first)) {
                continue; // gateways refuse its requests
            }
            const auto key = key_of(name);
            auto& sum = demands[{key, software}];
            const auto left = wish.time_left - (now - wish.last_reported);
            sum.time_left = sum.waiting == 0 ? left : std::min(sum.time_left, left);
            sum.name = &name;
            sum.key = key;
            sum.software_version = software;
            sum.since =
                sum.waiting == 0 ? wish.first_reported : std::min(sum.since, wish.first_reported);
            sum.waiting += wish.waiting;
            sum.late += wish.late;
            if (wish.late < wish.waiting) {
                sum.timely_left =
                    std::min(sum.timely_left, wish.timely_left - (now - wish.last_reported));
            }
            sum.prompt_tokens += wish.prompt_tokens;
            sum.crowded = sum.crowded || wish.crowded;
            sum.rejected += wish.rejected;
        }
    }
    std::vector<demand> list;
    list.reserve(demands.size());
    for (const auto& [key, item] : demands) {
        list.push_back(item);
    }
    // Streams that have begun first, then where a copy serves most requests in time, then those
    // that are late soonest. By deadlines alone, kinds of requests that may take long would wait
    // for all others, and be late.
    std::sort(list.begin(), list.end(), [this](const demand& left, const demand& right) {
        return std::tuple{left.software_version.empty(), worth_of(right), left.timely_left,
                          left.time_left, left.key} < std::tuple{right.software_version.empty(),
                                                                 worth_of(left), right.timely_left,
                                                                 right.time_left, right.key};
    });
    return list;
}

double placer::worth_of(const demand& wanted) const
{
    return wanted.waiting - wanted.late + wanted.rejected +
           m_options.late_request_weight * wanted.late;
}

bool placer::can_serve(const engine_state& engine, const demand& wanted)
{
    return wanted.software_version.empty() || engine.software_version == wanted.software_version;
}

const placer::copy_summary* placer::copy_index::find(const demand& wanted) const
{
    if (wanted.software_version.empty()) {
        const auto found = all.find(wanted.key);
        return found == all.end() ? nullptr : &found->second;
    }
    const auto found = by_software.find({wanted.key, wanted.software_version});
    return found == by_software.end() ? nullptr : &found->second;
}

placer::copy_index placer::index_copies(core::time_point now) const
{
    const auto interval = many_slots_idle(now) ? m_options.additional_copy_interval_idle
                                               : m_options.additional_copy_interval;
    copy_index index;
    const bool others_unlimited = has_unlimited_engines();
    for (const auto& [id, engine] : m_engines) {
        if (!is_usable(engine) || (others_unlimited && m_limited.contains(id))) {
            continue;
        }
        const auto wait_ms =
            static_cast<double>(engine.pending_tokens) / m_options.prefill_tokens_per_ms;
        for (const auto& [name, held] : engine.copies) {
            const bool stalled = held.state == copy_state::loading && !is_loading(held, now);
            if (name.second.empty() || stalled) {
                continue;
            }
            const auto key = key_of(name);
            for (auto* sum :
                 {&index.all[key], &index.by_software[{key, engine.software_version}]}) {
                const bool loaded = held.state == copy_state::loaded;
                const bool settling =
                    held.additional && (!loaded || now - held.loaded_at < interval);
                ++(settling ? sum->fresh : sum->settled);
                if (held.version < newest_version(name)) {
                    continue;
                }
                sum->loading = sum->loading || held.state == copy_state::loading;
                if (loaded) {
                    sum->min_wait_ms = std::min(sum->min_wait_ms.value_or(wait_ms), wait_ms);
                }
            }
        }
    }
    return index;
}

bool placer::has_unlimited_engines() const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        return is_usable(item.second) && !m_limited.contains(item.first);
    });
}

// A copy may be in use although no gateway has reported it yet.
core::duration placer::min_idle_before_eviction() const
{
    return m_options.min_idle_before_eviction +
           m_options.usage_delay_per_gateway * m_gateways.size();
}

// An engine that has held the adapter recently loads it ten times as fast as any other engine, so
// a short wait for that engine costs less than a load elsewhere.
bool placer::should_wait_for_recent_engine(const demand& wanted, core::time_point now) const
{
    if (now - wanted.since > m_options.recent_engine_wait_limit) {
        return false;
    }
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        return is_usable(item.second) && can_serve(item.second, wanted) &&
               held_recently(item.second, wanted.key) && !item.second.copies.contains(*wanted.name);
    });
}

bool placer::may_evict(const engine_state& engine, const adapter_name& name,
                       const adapter_copy& held, const std::unordered_set<adapter_key>& wished,
                       core::time_point now) const
{
    const auto idle = now - held.last_used;
    if (held.state != copy_state::loaded || name.second.empty() || in_use(engine, name) ||
        idle <= m_options.min_idle_before_eviction) {
        return false;
    }
    const auto report_delay = min_idle_before_eviction();
    if (idle > report_delay) {
        return true;
    }
    // The requests that waited for the load start before their gateways report it.
    const auto key = key_of(name);
    return held.used && !wished.contains(key) && m_use_rates.known(now) &&
           m_use_rates.per_second(key, now) * std::chrono::duration<double>(report_delay).count() <=
               m_options.max_unreported_uses;
}

std::vector<placer::eviction> placer::find_evictable(const engine_state& engine,
                                                     const std::unordered_set<adapter_key>& wished,
                                                     core::time_point now) const
{
    // A copy that came too late for its requests should serve the next one.
    std::vector<std::tuple<bool, core::time_point, adapter_name>> found;
    for (const auto& [name, held] : engine.copies) {
        if (may_evict(engine, name, held, wished, now)) {
            found.emplace_back(!held.used && m_unserved.find(name) != nullptr, held.last_used,
                               name);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<eviction> list;
    for (const auto& [unserved, last_used, name] : found) {
        const auto idle_s = std::chrono::duration<double>(now - last_used);
        list.push_back({name, size_mb(engine, name),
                        recent_victim_penalty_ms / std::max(idle_s.count(), 1.0)});
    }
    return list;
}

std::optional<std::vector<const placer::eviction*>>
placer::load_offer::make_room(double size_mb) const
{
    std::vector<const eviction*> chosen;
    auto slots = free_slots;
    auto mb = free_mb;
    for (const auto& item : evictable) {
        if (slots > 0 && mb >= size_mb) {
            break;
        }
        chosen.push_back(&item);
        ++slots;
        mb += item.size_mb;
    }
    if (slots == 0 || mb < size_mb) {
        return std::nullopt;
    }
    // Leaves what a larger one behind it has made room for as well.
    std::erase_if(chosen, [&](const eviction* item) {
        const bool needed = slots == 1 || mb - item->size_mb < size_mb;
        slots -= needed ? 0 : 1;
        mb -= needed ? 0 : item->size_mb;
        return !needed;
    });
    return chosen;
}

// Gateways count the prompts that waited for a load as pending at its engine only some time after
// its end. Until then they are added here.
std::uint64_t placer::pending_prefill_tokens(const engine_state& engine, core::time_point now) const
{
    const auto report_delay =
        m_options.usage_report_delay + m_options.usage_delay_per_gateway * m_gateways.size();
    auto tokens = engine.pending_tokens;
    for (const auto& [name, held] : engine.copies) {
        const bool recent = held.state == copy_state::loaded && now - held.loaded_at < report_delay;
        if (held.state == copy_state::loading || recent) {
            tokens += held.waiting_prompt_tokens;
        }
    }
    return tokens;
}

std::vector<placer::load_offer>
placer::collect_offers(const std::unordered_set<adapter_key>& wished, core::time_point now)
{
    std::vector<load_offer> offers;
    double largest_adapter_mb = 0;
    for (const auto& [model, size] : m_model_sizes) {
        largest_adapter_mb = std::max(largest_adapter_mb, size.adapter_mb);
    }
    const bool others_unlimited = has_unlimited_engines();
    for (auto& [id, engine] : m_engines) {
        if (!can_take_order(engine, now) || (others_unlimited && m_limited.contains(id))) {
            continue;
        }
        const auto* capacity = capacity_of(engine);
        const auto loads =
            std::count_if(engine.copies.begin(), engine.copies.end(), [](const auto& item) {
                return !item.first.second.empty() && item.second.state == copy_state::loading;
            });
        if (static_cast<std::size_t>(loads) >= m_options.max_loads_per_engine) {
            continue;
        }
        load_offer offer;
        offer.engine = &engine;
        const auto used_slots = used_adapter_slots(engine);
        offer.free_slots =
            capacity->adapter_slots - std::min<std::size_t>(capacity->adapter_slots, used_slots);
        const bool limited = capacity->weights_mb > 0;
        offer.free_mb = limited ? capacity->weights_mb - used_memory_mb(engine) : unlimited_mb;
        offer.adapters_mb = limited ? capacity->weights_mb - base_models_mb(engine) : unlimited_mb;
        if (offer.free_slots == 0 || offer.free_mb < largest_adapter_mb) {
            offer.evictable = find_evictable(engine, wished, now);
        }
        const double busy =
            static_cast<double>(engine.running + engine.waiting) / std::max(1U, capacity->slots);
        const double prefill = static_cast<double>(pending_prefill_tokens(engine, now)) /
                               m_options.prefill_tokens_per_ms;
        // An engine that hasn't answered its last orders may not answer the next one either.
        const auto unanswered =
            static_cast<double>(core::to_ms(m_answer_time.wait() * engine.unanswered_in_row));
        offer.wait_ms = prefill + full_batch_delay_ms * busy + unanswered;
        offers.push_back(std::move(offer));
    }
    return offers;
}

std::optional<double> placer::placement_cost_ms(const load_offer& offer, const demand& wanted) const
{
    const auto& engine = *offer.engine;
    if (!can_serve(engine, wanted)) {
        return std::nullopt;
    }
    const auto held = engine.copies.find(*wanted.name);
    const bool replaces = held != engine.copies.end();
    if (replaces && (held->second.state != copy_state::loaded || in_use(engine, *wanted.name) ||
                     held->second.version >= newest_version(*wanted.name))) {
        return std::nullopt;
    }
    if (!engine.copies.contains({wanted.name->first, ""})) {
        return std::nullopt;
    }
    double eviction_ms = 0;
    if (!replaces) {
        const auto evictions = offer.make_room(size_mb(engine, *wanted.name));
        if (!evictions) {
            return std::nullopt;
        }
        for (const auto* item : *evictions) {
            eviction_ms += item->cost_ms;
        }
    }
    const auto load_time =
        held_recently(engine, wanted.key) ? m_options.cached_load_time : m_store_load_time;
    return static_cast<double>(core::to_ms(load_time)) + eviction_ms + offer.wait_ms +
           tie_break_range_ms * tie_break_fraction(wanted.key, engine.id);
}

placement_summary placer::summary(core::time_point now) const
{
    placement_summary sum;
    const auto copies = index_copies(now);
    std::unordered_set<adapter_key> wished;
    std::vector<core::duration> waits;
    for (const auto& wanted : collect_demands(now)) {
        if (is_missing(copies, wanted)) {
            const auto* unserved = m_unserved.find(*wanted.name);
            const auto wait = now - (unserved != nullptr ? unserved->since : wanted.since);
            sum.longest_wait = std::max(sum.longest_wait, wait);
            ++sum.wanted;
            if (unserved != nullptr && unserved->count >= m_options.min_overdue_requests) {
                waits.push_back(wait);
            }
        }
        wished.insert(wanted.key);
    }
    sum.overdue = static_cast<std::size_t>(
        std::count_if(waits.begin(), waits.end(),
                      [&](const core::duration& wait) { return wait > overdue_wait(sum.wanted); }));
    sum.fenced = m_fenced;
    sum.load_time = m_store_load_time;
    if (const auto learnt = m_store_limiter.learnt()) {
        sum.unslowed_load_time = learnt->load_time;
    }
    sum.store_loads = store_loads(now);
    sum.store_limit = m_store_limiter.limit();
    for (const auto& [id, engine] : m_engines) {
        if (!is_usable(engine) || capacity_of(engine) == nullptr) {
            continue;
        }
        sum.unanswered += engine.pending_order ? 1 : 0;
        sum.unknown += engine.state_known ? 0 : 1;
        sum.unloading += engine.awaits_unload ? 1 : 0;
        for (const auto& [name, held] : engine.copies) {
            const bool loads = held.state == copy_state::loading && !name.second.empty();
            const bool confirmed = is_loading(held, now);
            sum.loading += loads && confirmed ? 1 : 0;
            sum.stalled += loads && !confirmed ? 1 : 0;
        }
        if (!engine.state_known) {
            continue;
        }
        ++sum.engines;
        sum.adapter_slots += adapter_capacity(engine);
        for (const auto& [name, held] : engine.copies) {
            if (name.second.empty()) {
                continue;
            }
            const bool loading = held.state == copy_state::loading;
            const bool used = !loading && in_use(engine, name);
            sum.in_use += used ? 1 : 0;
            sum.just_used +=
                !loading && !used && !may_evict(engine, name, held, wished, now) ? 1 : 0;
        }
    }
    return sum;
}

std::unique_ptr<wire::store_capacity_t> placer::known_store() const
{
    const auto learnt = m_store_limiter.learnt();
    if (!learnt) {
        return nullptr;
    }
    auto told = std::make_unique<wire::store_capacity_t>();
    told->loads = static_cast<std::uint32_t>(learnt->loads);
    told->load_ms = static_cast<std::uint32_t>(core::to_ms(learnt->load_time));
    told->saturated = learnt->saturated;
    return told;
}

std::vector<order> placer::plan(core::time_point now)
{
    std::vector<order> orders;
    m_next_check_at = now + m_options.report_interval;
    if (!m_active || m_fenced) {
        return orders;
    }
    if (now < m_first_order_at) {
        m_next_check_at = m_first_order_at;
        return orders;
    }
    release_overdue_orders(now);
    m_store_limiter.set_in_progress(store_loads(now, true), now);
    load_base_models(now, orders);
    poll_loads(now, orders);
    place_adapters(now, orders);
    return orders;
}

void placer::place_adapters(core::time_point now, std::vector<order>& orders)
{
    auto list = collect_demands(now);
    if (list.empty()) {
        return;
    }
    std::unordered_set<adapter_key> wished;
    for (const auto& wanted : list) {
        wished.insert(wanted.key);
    }
    auto offers = collect_offers(wished, now);
    const auto copies = index_copies(now);
    const bool any_crowded =
        std::any_of(list.begin(), list.end(), [](const demand& wanted) { return wanted.crowded; });
    const auto overdue = find_overdue(list, copies, now);
    std::unordered_set<adapter_key> placed;
    const bool overdue_lacks_place = place_overdue(overdue, offers, now, orders, placed);
    const bool no_additional = any_crowded && slots_scarce(list, copies, now);
    for (const auto& wanted : list) {
        if (offers.empty()) {
            return;
        }
        if (placed.contains(wanted.key)) {
            continue;
        }
        const auto* found = copies.find(wanted);
        const auto held = found == nullptr ? copy_summary{} : *found;
        const bool rejected = wanted.rejected >= m_options.rejections_for_copy;
        const bool crowded = wanted.crowded && !overdue_lacks_place &&
                             (rejected || !no_additional) &&
                             held.may_add_copy(rejected ? m_options.rejected_copy_growth : 1);
        if (held.min_wait_ms ? crowded : !held.loading) {
            // An engine that rejects requests serves no further one, however short its wait is.
            const auto wait_ms =
                rejected && held.min_wait_ms ? std::optional{rejected_wait_ms} : held.min_wait_ms;
            place_adapter(wanted, wait_ms, offers, now, orders);
        }
    }
}

core::duration placer::overdue_wait(std::size_t missing) const
{
    const auto rounds = static_cast<double>(missing) /
                        static_cast<double>(std::max<std::size_t>(m_store_limiter.limit(), 1));
    return std::max(m_options.min_overdue_wait,
                    std::chrono::duration_cast<core::duration>(m_store_load_time * rounds));
}

std::vector<const placer::demand*>
placer::find_overdue(std::vector<demand>& list, const copy_index& copies, core::time_point now)
{
    std::vector<const demand*> missing;
    for (auto& wanted : list) {
        const auto* unserved = m_unserved.find(*wanted.name);
        if (is_missing(copies, wanted)) {
            wanted.unserved =
                unserved != nullptr ? *unserved : unserved_adapters::unserved_requests{now, 0};
            missing.push_back(&wanted);
        }
    }
    const auto limit = overdue_wait(missing.size());
    std::erase_if(missing, [&](const demand* wanted) {
        return wanted->unserved.count < m_options.min_overdue_requests ||
               now - wanted->unserved.since <= limit;
    });
    std::sort(missing.begin(), missing.end(), [](const demand* left, const demand* right) {
        return std::tie(right->unserved.count, left->unserved.since, left->key) <
               std::tie(left->unserved.count, right->unserved.since, right->key);
    });
    return missing;
}

// What serves most requests bounds no adapter's wait: rare adapters would wait for all popular
// ones. So a share of the loads goes by waiting time alone.
bool placer::place_overdue(const std::vector<const demand*>& overdue,
                           std::vector<load_offer>& offers, core::time_point now,
                           std::vector<order>& orders, std::unordered_set<adapter_key>& placed)
{
    const auto share =
        std::ceil(static_cast<double>(m_store_limiter.limit()) * m_options.overdue_load_share);
    std::size_t loads = 0;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& [name, held] : engine.copies) {
            loads += is_loading(held, now) && held.overdue ? 1 : 0;
        }
    }
    bool any_without_engine = false;
    for (const auto* wanted : overdue) {
        if (static_cast<double>(loads) >= share) {
            break;
        }
        switch (place_adapter(*wanted, std::nullopt, offers, now, orders)) {
        case placement::ordered:
            ++loads;
            placed.insert(wanted->key);
            break;
        case placement::no_engine:
            any_without_engine = true;
            break;
        case placement::waits:
            break;
        }
    }
    return any_without_engine;
}

// Additional copies attract their share of the requests only after some time. Until then their
// number is limited by that of the settled copies.
bool placer::copy_summary::may_add_copy(std::size_t growth) const
{
    return fresh < growth * std::max<std::size_t>(settled, 1);
}

bool placer::is_missing(const copy_index& copies, const demand& wanted)
{
    const auto* found = copies.find(wanted);
    return found == nullptr || (!found->loading && !found->min_wait_ms);
}

bool placer::many_slots_idle(core::time_point now) const
{
    std::size_t slots = 0;
    std::size_t used = 0;
    for (const auto& [id, engine] : m_engines) {
        if (!is_usable(engine) || capacity_of(engine) == nullptr) {
            continue;
        }
        slots += adapter_capacity(engine);
        for (const auto& [name, held] : engine.copies) {
            used += is_loading(held, now) || in_use(engine, name) ? 1 : 0;
        }
    }
    return static_cast<double>(used) < (1 - m_options.idle_slot_ratio) * static_cast<double>(slots);
}

// An adapter slot of an additional copy is not available to an adapter without any copy.
bool placer::slots_scarce(const std::vector<demand>& list, const copy_index& copies,
                          core::time_point now) const
{
    return std::any_of(list.begin(), list.end(), [&](const demand& wanted) {
        return now - wanted.since > m_options.slot_wait_limit && is_missing(copies, wanted);
    });
}

placer::placement placer::place_adapter(const demand& wanted, std::optional<double> wait_ms,
                                        std::vector<load_offer>& offers, core::time_point now,
                                        std::vector<order>& orders)
{
    const auto& name = *wanted.name;
    if (name.second.empty()) {
        return placement::waits;
    }
    auto best = offers.end();
    double best_cost = 0;
    for (auto offer = offers.begin(); offer != offers.end(); ++offer) {
        const auto ms = placement_cost_ms(*offer, wanted);
        if (ms && (best == offers.end() || *ms < best_cost)) {
            best = offer;
            best_cost = *ms;
        }
    }
    if (best == offers.end()) {
        const bool fits_any = std::any_of(offers.begin(), offers.end(), [&](const auto& offer) {
            return size_mb(*offer.engine, name) <= offer.adapters_mb;
        });
        return fits_any ? placement::no_engine : placement::waits;
    }
    if (wait_ms && best_cost >= *wait_ms) {
        return placement::waits;
    }
    auto& engine = *best->engine;
    const bool recent = held_recently(engine, wanted.key);
    if (!recent && (store_loads(now) >= m_store_limiter.limit() ||
                    should_wait_for_recent_engine(wanted, now))) {
        return placement::waits;
    }
    const bool replaces = engine.copies.contains(name);
    std::optional<adapter_name> victim;
    if (!replaces) {
        const auto evictions = best->make_room(size_mb(engine, name));
        if (evictions && !evictions->empty()) {
            victim = evictions->front()->name;
        }
    }
    offers.erase(best); // an engine takes one order at a time
    m_changed_engines.insert(engine.id);
    if (victim) {
        engine.copies[*victim].state = copy_state::unloading;
        orders.push_back(create_order(engine, *victim, 0, true, now));
        return placement::ordered;
    }
    auto& held = engine.copies[name];
    held.additional = wait_ms.has_value();
    held.overdue = wanted.unserved.count >= m_options.min_overdue_requests &&
                   now - wanted.unserved.since > m_options.min_overdue_wait;
    held.poll_interval = {};
    held.accepted_at = {};
    held.confirmed_at = now;
    held.waiting_prompt_tokens = wanted.prompt_tokens;
    held.version = newest_version(name);
    held.state = copy_state::loading;
    held.from_store = !recent;
    held.history_age = engine.history.age(wanted.key);
    held.replaces = replaces;
    held.last_used = now;
    held.next_poll_at = core::time_point::max(); // set when the engine accepts the order
    orders.push_back(create_order(engine, name, held.version, false, now));
    held.load_order = orders.back().id;
    return placement::ordered;
}

} // namespace siskindrift::adapters
