// Planning of the placer: which adapters to load on which engines, and which to evict.
#include <algorithm>
#include <tuple>
#include <xxhash.h>

#include "siskindrift/adapters/placer.h"

namespace siskindrift::adapters {
namespace {

constexpr double full_batch_delay_ms = 400; // delay of a first token by a full batch
// Cost of evicting an adapter that has just been used: it is likely to be requested again soon.
constexpr double recent_victim_penalty_ms = 300;
constexpr double tie_break_range_ms = 20; // selects one engine among engines of equal cost

// Returns a hash of an adapter and an engine, scaled to [0, 1].
double tie_break_fraction(const adapter_name& name, const std::string& engine)
{
    const auto text = name.first + "/" + name.second + "|" + engine;
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(XXH3_64bits(text.data(), text.size())) / range;
}

} // namespace

std::vector<placer::demand> placer::collect_demands(core::time_point now) const
{
    std::map<adapter_name, demand> demands;
    for (const auto& [vm, state] : m_gateways) {
        for (const auto& [name, wish] : state.wishes) {
            if (now - wish.last_reported > m_options.wish_lifetime) {
                continue;
            }
            auto& sum = demands[name];
            const auto left = wish.time_left - (now - wish.last_reported);
            sum.time_left = sum.waiting == 0 ? left : std::min(sum.time_left, left);
            sum.name = name;
            sum.since =
                sum.waiting == 0 ? wish.first_reported : std::min(sum.since, wish.first_reported);
            sum.waiting += wish.waiting;
            sum.prompt_tokens += wish.prompt_tokens;
            sum.crowded = sum.crowded || wish.crowded;
        }
    }
    std::vector<demand> list;
    list.reserve(demands.size());
    for (auto& [name, item] : demands) {
        list.push_back(std::move(item));
    }
    // Most waiting requests first, then the earliest deadline.
    std::sort(list.begin(), list.end(), [](const demand& left, const demand& right) {
        return std::tuple{right.waiting, left.time_left} <
               std::tuple{left.waiting, right.time_left};
    });
    return list;
}

// A copy may be in use although no gateway has reported it yet.
core::duration placer::min_idle_before_eviction() const
{
    return m_options.min_idle_before_eviction +
           m_options.usage_delay_per_gateway * m_gateways.size();
}

std::size_t placer::max_store_loads() const
{
    const auto by_engines = static_cast<std::size_t>(m_options.store_loads_per_engine *
                                                     static_cast<double>(m_engines.size()));
    return std::max(m_options.base_store_loads, by_engines);
}

bool placer::is_loading(const demand& wanted) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        const auto held = item.second.copies.find(wanted.name);
        return held != item.second.copies.end() && item.second.usable &&
               held->second.state == copy_state::loading &&
               held->second.version >= newest_version(wanted.name);
    });
}

std::optional<double> placer::min_copy_wait_ms(const demand& wanted) const
{
    std::optional<double> least;
    for (const auto& [id, engine] : m_engines) {
        const auto held = engine.copies.find(wanted.name);
        const bool loaded = held != engine.copies.end() && engine.usable &&
                            held->second.state == copy_state::loaded &&
                            held->second.version >= newest_version(wanted.name);
        if (!loaded) {
            continue;
        }
        const auto ms =
            static_cast<double>(engine.pending_tokens) / m_options.prefill_tokens_per_ms;
        least = least ? std::min(*least, ms) : ms;
    }
    return least;
}

// An engine that has held the adapter recently loads it ten times as fast as any other engine, so
// a short wait for that engine costs less than a load elsewhere.
bool placer::should_wait_for_recent_engine(const demand& wanted, core::time_point now) const
{
    if (now - wanted.since > m_options.recent_engine_wait_limit) {
        return false;
    }
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        return item.second.usable && held_recently(item.second, wanted.name) &&
               !item.second.copies.contains(wanted.name);
    });
}

std::optional<adapter_name> placer::choose_victim(const engine_state& engine,
                                                  core::time_point now) const
{
    const auto min_idle = min_idle_before_eviction();
    std::optional<adapter_name> oldest;
    core::time_point oldest_use{};
    for (const auto& [name, held] : engine.copies) {
        const bool idle = held.state == copy_state::loaded && !name.second.empty() &&
                          !in_use(engine, name) && now - held.last_used > min_idle;
        if (idle && (!oldest || held.last_used < oldest_use)) {
            oldest = name;
            oldest_use = held.last_used;
        }
    }
    return oldest;
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

std::optional<double> placer::placement_cost_ms(const engine_state& engine,
                                                const adapter_name& name,
                                                core::time_point now) const
{
    const auto* capacity = capacity_of(engine);
    const auto loads =
        std::count_if(engine.copies.begin(), engine.copies.end(), [](const auto& item) {
            return !item.first.second.empty() && item.second.state == copy_state::loading;
        });
    const auto held = engine.copies.find(name);
    const bool replaces = held != engine.copies.end();
    const bool blocked =
        replaces && (held->second.state != copy_state::loaded || in_use(engine, name));
    if (blocked || !engine.copies.contains({name.first, ""}) ||
        static_cast<std::size_t>(loads) >= m_options.max_loads_per_engine) {
        return std::nullopt;
    }
    double ms = static_cast<double>(
        core::to_ms(held_recently(engine, name) ? m_options.cached_load_time : m_store_load_time));
    if (!replaces && used_adapter_slots(engine) >= capacity->adapter_slots) {
        const auto victim = choose_victim(engine, now);
        if (!victim) {
            return std::nullopt;
        }
        const auto idle_s =
            std::chrono::duration<double>(now - engine.copies.at(*victim).last_used).count();
        ms += recent_victim_penalty_ms / std::max(idle_s, 1.0);
    }
    const double busy =
        static_cast<double>(engine.running + engine.waiting) / std::max(1U, capacity->slots);
    const double prefill =
        static_cast<double>(pending_prefill_tokens(engine, now)) / m_options.prefill_tokens_per_ms;
    return ms + prefill + full_batch_delay_ms * busy +
           tie_break_range_ms * tie_break_fraction(name, engine.id);
}

placement_summary placer::summary(core::time_point now) const
{
    placement_summary sum;
    for (const auto& wanted : collect_demands(now)) {
        sum.wanted += !is_loading(wanted) && !min_copy_wait_ms(wanted) ? 1 : 0;
    }
    sum.store_loads = store_loads();
    for (const auto& [id, engine] : m_engines) {
        if (!engine.usable || !engine.state_known || capacity_of(engine) == nullptr) {
            continue;
        }
        ++sum.engines;
        sum.adapter_slots += capacity_of(engine)->adapter_slots;
        for (const auto& [name, held] : engine.copies) {
            if (name.second.empty()) {
                continue;
            }
            const bool loading = held.state == copy_state::loading;
            const bool used = !loading && in_use(engine, name);
            sum.loading += loading ? 1 : 0;
            sum.in_use += used ? 1 : 0;
            sum.just_used +=
                !loading && !used && now - held.last_used <= min_idle_before_eviction() ? 1 : 0;
        }
    }
    return sum;
}

order& placer::create_order(engine_state& engine, const adapter_name& name, std::uint64_t version,
                            bool unload)
{
    order given;
    given.id = m_next_order_id++;
    given.upstream = engine.id;
    given.address = engine.address;
    given.model = name.first;
    given.adapter = name.second;
    given.version = version;
    given.orders_accepted = engine.orders_accepted;
    given.unload = unload;
    engine.pending_order = given;
    return *engine.pending_order;
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
    load_base_models(now, orders);
    poll_loads(now, orders);
    const auto list = collect_demands(now);
    const bool any_crowded =
        std::any_of(list.begin(), list.end(), [](const demand& wanted) { return wanted.crowded; });
    const bool no_additional = any_crowded && slots_scarce(list, now);
    for (const auto& wanted : list) {
        const auto wait_ms = min_copy_wait_ms(wanted);
        if (wait_ms ? wanted.crowded && !no_additional : !is_loading(wanted)) {
            place_adapter(wanted, wait_ms, now, orders);
        }
    }
    return orders;
}

bool placer::many_slots_idle() const
{
    std::size_t slots = 0;
    std::size_t used = 0;
    for (const auto& [id, engine] : m_engines) {
        if (!engine.usable || capacity_of(engine) == nullptr) {
            continue;
        }
        slots += capacity_of(engine)->adapter_slots;
        for (const auto& [name, held] : engine.copies) {
            used += held.state == copy_state::loading || in_use(engine, name) ? 1 : 0;
        }
    }
    return static_cast<double>(used) < (1 - m_options.idle_slot_ratio) * static_cast<double>(slots);
}

// Additional copies attract their share of the requests only after some time. Until then at most
// as many are loaded as there are settled copies, so that the number of copies doubles.
bool placer::may_add_copy(const adapter_name& name, core::time_point now) const
{
    const auto interval = many_slots_idle() ? m_options.additional_copy_interval_idle
                                            : m_options.additional_copy_interval;
    std::size_t settled = 0;
    std::size_t fresh = 0;
    for (const auto& [id, engine] : m_engines) {
        const auto held = engine.copies.find(name);
        if (held == engine.copies.end() || !engine.usable) {
            continue;
        }
        const bool loaded = held->second.state == copy_state::loaded;
        const bool settling =
            held->second.additional && (!loaded || now - held->second.loaded_at < interval);
        ++(settling ? fresh : settled);
    }
    return fresh < std::max<std::size_t>(settled, 1);
}

// An adapter slot of an additional copy is not available to an adapter without any copy.
bool placer::slots_scarce(const std::vector<demand>& list, core::time_point now) const
{
    return std::any_of(list.begin(), list.end(), [&](const demand& wanted) {
        return now - wanted.since > m_options.slot_wait_limit && !is_loading(wanted) &&
               !min_copy_wait_ms(wanted);
    });
}

void placer::place_adapter(const demand& wanted, std::optional<double> wait_ms,
                           core::time_point now, std::vector<order>& orders)
{
    if (wanted.name.second.empty() || (wait_ms && !may_add_copy(wanted.name, now))) {
        return;
    }
    engine_state* best = nullptr;
    double best_cost = 0;
    for (auto& [id, engine] : m_engines) {
        if (!can_take_order(engine)) {
            continue;
        }
        const auto ms = placement_cost_ms(engine, wanted.name, now);
        const auto held = engine.copies.find(wanted.name);
        const bool has_newest =
            held != engine.copies.end() && held->second.version >= newest_version(wanted.name);
        if (ms && !has_newest && (best == nullptr || *ms < best_cost)) {
            best = &engine;
            best_cost = *ms;
        }
    }
    const bool recent = best != nullptr && held_recently(*best, wanted.name);
    const bool no_gain = best != nullptr && wait_ms && best_cost >= *wait_ms;
    if (best == nullptr || no_gain || (!recent && should_wait_for_recent_engine(wanted, now)) ||
        (!recent && store_loads() >= max_store_loads())) {
        return;
    }
    const bool replaces = best->copies.contains(wanted.name);
    if (!replaces && used_adapter_slots(*best) >= capacity_of(*best)->adapter_slots) {
        const auto victim = *choose_victim(*best, now);
        best->copies[victim].state = copy_state::unloading;
        m_changed_engines.insert(best->id);
        orders.push_back(create_order(*best, victim, 0, true));
        return;
    }
    auto& held = best->copies[wanted.name];
    held.additional = wait_ms.has_value();
    held.poll_interval = {};
    held.accepted_at = {};
    held.waiting_prompt_tokens = wanted.prompt_tokens;
    held.version = newest_version(wanted.name);
    held.state = copy_state::loading;
    held.from_store = !recent;
    held.last_used = now;
    held.next_poll_at = core::time_point::max(); // set when the engine accepts the order
    m_changed_engines.insert(best->id);
    orders.push_back(create_order(*best, wanted.name, newest_version(wanted.name), false));
}

// Repeats the order of each load that should be complete: the engine answers that it holds.
void placer::poll_loads(core::time_point now, std::vector<order>& orders)
{
    for (auto& [id, engine] : m_engines) {
        for (auto& [name, held] : engine.copies) {
            if (held.state != copy_state::loading || !can_take_order(engine)) {
                continue;
            }
            if (held.next_poll_at <= now && !name.second.empty()) {
                auto& given = create_order(engine, name, held.version, false);
                given.repeated = true;
                orders.push_back(given);
                break;
            }
            m_next_check_at = std::min(m_next_check_at, held.next_poll_at);
        }
    }
}

// Loads the base model of engines that hold nothing, such as after a restart.
void placer::load_base_models(core::time_point now, std::vector<order>& orders)
{
    for (auto& [id, engine] : m_engines) {
        if (!can_take_order(engine) || now < m_next_model_load_at || !engine.copies.empty()) {
            continue;
        }
        const auto* capacity = capacity_of(engine);
        if (capacity->models.empty() || capacity->loads_per_second <= 0) {
            continue;
        }
        const adapter_name name{capacity->models.front().name, ""};
        auto& held = engine.copies[name];
        held.state = copy_state::loading;
        held.next_poll_at = core::time_point::max();
        m_next_model_load_at =
            now + std::chrono::duration_cast<core::duration>(
                      std::chrono::duration<double>{1.0 / capacity->loads_per_second});
        orders.push_back(create_order(engine, name, 0, false));
    }
}

} // namespace siskindrift::adapters
