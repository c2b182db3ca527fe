// The decisions of the placer: what to load where, and what makes room for it.
#include <algorithm>
#include <tuple>
#include <xxhash.h>

#include "siskindrift/adapters/placer.h"

namespace siskindrift::adapters {
namespace {

constexpr double full_engine_ms = 400;  // what work at hand delays a first token at a full batch
constexpr double fresh_victim_ms = 300; // a copy used this moment is asked for again soon
constexpr double home_spread_ms = 20;   // enough to choose one home among equals

double stable_share(const adapter_name& name, const std::string& engine)
{
    const auto text = name.first + "/" + name.second + "|" + engine;
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(XXH3_64bits(text.data(), text.size())) / range;
}

} // namespace

std::vector<placer::need> placer::needs(core::time_point now) const
{
    std::map<adapter_name, need> gathered;
    for (const auto& [vm, word] : m_gateways) {
        for (const auto& [name, item] : word.wishes) {
            if (now - item.told > m_options.wish_life) {
                continue;
            }
            auto& sum = gathered[name];
            const auto left = item.time_left - (now - item.told);
            sum.time_left = sum.waiting == 0 ? left : std::min(sum.time_left, left);
            sum.name = name;
            sum.since = sum.waiting == 0 ? item.since : std::min(sum.since, item.since);
            sum.waiting += item.waiting;
            sum.prompt_tokens += item.prompt_tokens;
            sum.crowded = sum.crowded || item.crowded;
        }
    }
    std::vector<need> list;
    list.reserve(gathered.size());
    for (auto& [name, item] : gathered) {
        list.push_back(std::move(item));
    }
    // Many callers at once first, then whoever has the least time left.
    std::sort(list.begin(), list.end(), [](const need& left, const need& right) {
        return std::tuple{right.waiting, left.time_left} <
               std::tuple{left.waiting, right.time_left};
    });
    return list;
}

// A copy may be in use though no gateway has told so yet.
core::duration placer::quiet_before_eviction() const
{
    return m_options.quiet_before_eviction + m_options.quiet_a_gateway * m_gateways.size();
}

std::size_t placer::most_store_loads() const
{
    const auto by_engines = static_cast<std::size_t>(m_options.store_loads_an_engine *
                                                     static_cast<double>(m_engines.size()));
    return std::max(m_options.store_loads_at_once, by_engines);
}

bool placer::coming(const need& wanted) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        const auto held = item.second.copies.find(wanted.name);
        return held != item.second.copies.end() && item.second.usable &&
               held->second.state == copy_state::loading &&
               held->second.version >= newest(wanted.name);
    });
}

// Returns how long a request waits, in ms, behind others at the copy that is least busy.
std::optional<double> placer::wait_at_copies(const need& wanted) const
{
    std::optional<double> least;
    for (const auto& [id, at] : m_engines) {
        const auto held = at.copies.find(wanted.name);
        const bool there = held != at.copies.end() && at.usable &&
                           held->second.state == copy_state::loaded &&
                           held->second.version >= newest(wanted.name);
        if (!there) {
            continue;
        }
        const auto ms = static_cast<double>(at.pending_tokens) / m_options.prompt_tokens_per_ms;
        least = least ? std::min(*least, ms) : ms;
    }
    return least;
}

// An engine that held the adapter lately loads it ten times as fast as any other, so a short
// wait for it costs less.
bool placer::home_is_busy(const need& wanted, core::time_point now) const
{
    if (now - wanted.since > m_options.home_patience) {
        return false;
    }
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        return item.second.usable && remembers(item.second, wanted.name) &&
               !item.second.copies.contains(wanted.name);
    });
}

std::optional<adapter_name> placer::victim(const engine& at, core::time_point now) const
{
    const auto quiet = quiet_before_eviction();
    std::optional<adapter_name> oldest;
    core::time_point oldest_use{};
    for (const auto& [name, held] : at.copies) {
        const bool idle = held.state == copy_state::loaded && !name.second.empty() &&
                          !in_use(at, name) && now - held.used > quiet;
        if (idle && (!oldest || held.used < oldest_use)) {
            oldest = name;
            oldest_use = held.used;
        }
    }
    return oldest;
}

// Prompts that wait for a load are told as its engine's work only a while after its end.
std::uint64_t placer::tokens_to_read(const engine& at, core::time_point now) const
{
    const auto untold = m_options.use_told + m_options.quiet_a_gateway * m_gateways.size();
    auto tokens = at.pending_tokens;
    for (const auto& [name, held] : at.copies) {
        const bool recent = held.state == copy_state::loaded && now - held.loaded < untold;
        if (held.state == copy_state::loading || recent) {
            tokens += held.awaited_tokens;
        }
    }
    return tokens;
}

std::optional<double> placer::cost(const engine& at, const adapter_name& name,
                                   core::time_point now) const
{
    const auto* terms = terms_of(at);
    const auto in_transit = std::count_if(at.copies.begin(), at.copies.end(), [](const auto& item) {
        return !item.first.second.empty() && item.second.state == copy_state::loading;
    });
    const auto held = at.copies.find(name);
    const bool replaces = held != at.copies.end();
    const bool blocked = replaces && (held->second.state != copy_state::loaded || in_use(at, name));
    if (blocked || !at.copies.contains({name.first, ""}) ||
        static_cast<std::size_t>(in_transit) >= m_options.loads_at_one_engine) {
        return std::nullopt;
    }
    double ms =
        static_cast<double>(core::to_ms(remembers(at, name) ? m_options.near_load : m_store_load));
    if (!replaces && places_taken(at) >= terms->adapter_slots) {
        const auto out = victim(at, now);
        if (!out) {
            return std::nullopt;
        }
        const auto idle_s = std::chrono::duration<double>(now - at.copies.at(*out).used).count();
        ms += fresh_victim_ms / std::max(idle_s, 1.0);
    }
    const double busy = static_cast<double>(at.running + at.waiting) / std::max(1U, terms->slots);
    const double reading =
        static_cast<double>(tokens_to_read(at, now)) / m_options.prompt_tokens_per_ms;
    return ms + reading + full_engine_ms * busy + home_spread_ms * stable_share(name, at.id);
}

placement_summary placer::summary(core::time_point now) const
{
    placement_summary sum;
    for (const auto& wanted : needs(now)) {
        sum.wanted += !coming(wanted) && !wait_at_copies(wanted) ? 1 : 0;
    }
    sum.store_loads = store_loads();
    for (const auto& [id, at] : m_engines) {
        if (!at.usable || !at.known || terms_of(at) == nullptr) {
            continue;
        }
        ++sum.engines;
        sum.places += terms_of(at)->adapter_slots;
        for (const auto& [name, held] : at.copies) {
            if (name.second.empty()) {
                continue;
            }
            const bool loading = held.state == copy_state::loading;
            const bool used = !loading && in_use(at, name);
            sum.loading += loading ? 1 : 0;
            sum.in_use += used ? 1 : 0;
            sum.just_used +=
                !loading && !used && now - held.used <= quiet_before_eviction() ? 1 : 0;
        }
    }
    return sum;
}

order& placer::give(engine& at, const adapter_name& name, std::uint64_t version, bool unload)
{
    order given;
    given.id = m_next_order++;
    given.upstream = at.id;
    given.address = at.address;
    given.model = name.first;
    given.adapter = name.second;
    given.version = version;
    given.orders_accepted = at.orders_accepted;
    given.unload = unload;
    at.open = given;
    return *at.open;
}

std::vector<order> placer::plan(core::time_point now)
{
    std::vector<order> orders;
    m_next_check = now + m_options.report_every;
    if (!m_active || m_fenced) {
        return orders;
    }
    if (now < m_from) {
        m_next_check = m_from;
        return orders;
    }
    load_models(now, orders);
    check_loads(now, orders);
    const auto list = needs(now);
    const bool any_crowded =
        std::any_of(list.begin(), list.end(), [](const need& wanted) { return wanted.crowded; });
    const bool no_further = any_crowded && places_short(list, now);
    for (const auto& wanted : list) {
        const auto wait = wait_at_copies(wanted);
        if (wait ? wanted.crowded && !no_further : !coming(wanted)) {
            place(wanted, wait, now, orders);
        }
    }
    return orders;
}

bool placer::many_places_idle() const
{
    std::size_t places = 0;
    std::size_t taken = 0;
    for (const auto& [id, at] : m_engines) {
        if (!at.usable || terms_of(at) == nullptr) {
            continue;
        }
        places += terms_of(at)->adapter_slots;
        for (const auto& [name, held] : at.copies) {
            taken += held.state == copy_state::loading || in_use(at, name) ? 1 : 0;
        }
    }
    return static_cast<double>(taken) < (1 - m_options.idle_places) * static_cast<double>(places);
}

// Further copies draw their share only after a while. Until then as many are begun as there are
// copies that have, so that their number doubles.
bool placer::copies_settled(const adapter_name& name, core::time_point now) const
{
    const auto pause = many_places_idle() ? m_options.further_pause_idle : m_options.further_pause;
    std::size_t settled = 0;
    std::size_t fresh = 0;
    for (const auto& [id, at] : m_engines) {
        const auto held = at.copies.find(name);
        if (held == at.copies.end() || !at.usable) {
            continue;
        }
        const bool loaded = held->second.state == copy_state::loaded;
        const bool drawing = held->second.further && (!loaded || now - held->second.loaded < pause);
        ++(drawing ? fresh : settled);
    }
    return fresh < std::max<std::size_t>(settled, 1);
}

// A place for a further copy is one that an adapter without any copy goes without.
bool placer::places_short(const std::vector<need>& list, core::time_point now) const
{
    return std::any_of(list.begin(), list.end(), [&](const need& wanted) {
        return now - wanted.since > m_options.place_patience && !coming(wanted) &&
               !wait_at_copies(wanted);
    });
}

void placer::place(const need& wanted, std::optional<double> wait, core::time_point now,
                   std::vector<order>& orders)
{
    if (wanted.name.second.empty() || (wait && !copies_settled(wanted.name, now))) {
        return;
    }
    engine* best = nullptr;
    double best_cost = 0;
    for (auto& [id, at] : m_engines) {
        if (!may_order(at)) {
            continue;
        }
        const auto ms = cost(at, wanted.name, now);
        const auto held = at.copies.find(wanted.name);
        const bool has_newest =
            held != at.copies.end() && held->second.version >= newest(wanted.name);
        if (ms && !has_newest && (best == nullptr || *ms < best_cost)) {
            best = &at;
            best_cost = *ms;
        }
    }
    const bool near = best != nullptr && remembers(*best, wanted.name);
    const bool no_gain = best != nullptr && wait && best_cost >= *wait;
    if (best == nullptr || no_gain || (!near && home_is_busy(wanted, now)) ||
        (!near && store_loads() >= most_store_loads())) {
        return;
    }
    const bool replaces = best->copies.contains(wanted.name);
    if (!replaces && places_taken(*best) >= terms_of(*best)->adapter_slots) {
        const auto out = *victim(*best, now);
        best->copies[out].state = copy_state::unloading;
        m_changed.insert(best->id);
        orders.push_back(give(*best, out, 0, true));
        return;
    }
    auto& held = best->copies[wanted.name];
    held.further = wait.has_value();
    held.check_pause = {};
    held.accepted = {};
    held.awaited_tokens = wanted.prompt_tokens;
    held.version = newest(wanted.name);
    held.state = copy_state::loading;
    held.from_store = !near;
    held.used = now;
    held.check_at = core::time_point::max(); // set when the engine takes the order
    m_changed.insert(best->id);
    orders.push_back(give(*best, wanted.name, newest(wanted.name), false));
}

// Asks again for a load that should be complete: the engine says so when it holds.
void placer::check_loads(core::time_point now, std::vector<order>& orders)
{
    for (auto& [id, at] : m_engines) {
        for (auto& [name, held] : at.copies) {
            if (held.state != copy_state::loading || !may_order(at)) {
                continue;
            }
            if (held.check_at <= now && !name.second.empty()) {
                auto& given = give(at, name, held.version, false);
                given.repeated = true;
                orders.push_back(given);
                break;
            }
            m_next_check = std::min(m_next_check, held.check_at);
        }
    }
}

// An engine that restarted holds no model.
void placer::load_models(core::time_point now, std::vector<order>& orders)
{
    for (auto& [id, at] : m_engines) {
        if (!may_order(at) || now < m_next_model_load || !at.copies.empty()) {
            continue;
        }
        const auto* terms = terms_of(at);
        if (terms->models.empty() || terms->loads_per_second <= 0) {
            continue;
        }
        const adapter_name name{terms->models.front().name, ""};
        auto& held = at.copies[name];
        held.state = copy_state::loading;
        held.check_at = core::time_point::max();
        m_next_model_load = now + std::chrono::duration_cast<core::duration>(
                                      std::chrono::duration<double>{1.0 / terms->loads_per_second});
        orders.push_back(give(at, name, 0, false));
    }
}

} // namespace siskindrift::adapters
