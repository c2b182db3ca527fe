#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

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

void placer::begin(core::time_point from)
{
    m_active = true;
    m_fenced = false;
    m_from = from;
    for (auto& [id, at] : m_engines) {
        at.known = false;
        at.open.reset();
        at.unsure.reset();
        at.report_open = false;
        at.report_due = {};
    }
}

void placer::end()
{
    m_active = false;
}

void placer::set_deployment(const gateway::deployment& document)
{
    m_deployment = document;
}

void placer::set_version(const adapter_name& name, std::uint64_t version)
{
    auto& named = m_named[name];
    named = std::max(named, version);
}

std::uint64_t placer::newest(const adapter_name& name) const
{
    const auto found = m_named.find(name);
    return found == m_named.end() ? 0 : found->second;
}

void placer::note_upstream(const wire::fleet_upstream_t& word, bool usable)
{
    if (word.state == wire::fleet_state::gone) {
        m_engines.erase(word.id);
        return;
    }
    auto& at = m_engines[word.id];
    const bool restarted = at.born_ms != word.born_ms;
    if (restarted || at.id.empty()) {
        at = engine{};
        at.id = word.id;
        at.born_ms = word.born_ms;
        m_changed.insert(word.id);
    }
    at.address = word.address;
    at.service = word.service;
    for (const auto& held : word.copies) {
        const adapter_name name{held->model, held->adapter};
        if (!held->adapter.empty() && !remembers(at, name)) {
            remember(at, name);
        }
    }
    at.usable = usable;
}

void placer::note_report(const std::string& upstream, const std::optional<engine_report>& report,
                         core::time_point asked)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end()) {
        return;
    }
    auto& at = found->second;
    at.report_open = false;
    at.report_due = asked + (at.known ? m_options.report_every : m_options.report_lag);
    if (!report || (report->born_ms != 0 && report->born_ms != at.born_ms)) {
        return;
    }
    at.running = report->running;
    at.waiting = report->waiting;
    at.load_changed = true;
    // A report from before the last order says nothing of its effect.
    const bool fresh = asked - m_options.report_lag > at.last_order && !at.open;
    const bool ahead = report->orders_accepted > at.orders_accepted;
    if ((fresh && (!at.known || report->orders_accepted == at.orders_accepted)) ||
        (ahead && !at.open)) {
        adopt(at, *report, asked);
        m_changed.insert(upstream);
    }
}

void placer::adopt(engine& at, const engine_report& report, core::time_point now)
{
    if (at.unsure && report.orders_accepted > at.unsure->orders_accepted) {
        at.unsure.reset(); // carried out, or overtaken for good
    }
    at.known = true;
    at.orders_accepted = report.orders_accepted;
    at.report_due = now + m_options.report_every;
    auto before = std::exchange(at.copies, {});
    const auto take = [&](const wire::adapter_copy_t& word, copy_state state) {
        const adapter_name name{word.model, word.adapter};
        auto& held = at.copies[name];
        if (const auto known = before.find(name); known != before.end()) {
            held = known->second;
        }
        held.version = word.version;
        if (held.state != copy_state::unloading) {
            held.state = state;
        }
        if (state == copy_state::loading) {
            held.check_at = now + m_options.check_again;
        }
    };
    for (const auto& [name, held] : before) {
        // Reports name only adapters on their way, not whole models.
        if (report.busy && name.second.empty() && held.state == copy_state::loading) {
            at.copies[name] = held;
        }
    }
    for (const auto& word : report.loading) {
        take(word, copy_state::loading);
    }
    for (const auto& word : report.copies) {
        take(word, copy_state::loaded);
    }
}

void placer::note_gateway(const wire::gateway_report_t& report, core::time_point now)
{
    auto& word = m_gateways[report.vm];
    take_back_word(word);
    add_word(word, report);
    for (const auto& item : report.wishes) {
        auto& told = word.wishes[{item->model, item->adapter}];
        const auto since = told.waiting > 0 ? told.since : now;
        told = {item->waiting, core::milliseconds{item->left_ms}, item->crowded, since, now};
    }
    for (const auto& item : report.uses) {
        const adapter_name name{item->model, item->adapter};
        const auto at = m_engines.find(item->upstream);
        if (at == m_engines.end()) {
            continue;
        }
        if (const auto held = at->second.copies.find(name); held != at->second.copies.end()) {
            held->second.used = now;
        }
    }
    std::erase_if(word.wishes, [&](const auto& item) {
        return item.second.waiting == 0 || now - item.second.told > m_options.wish_life;
    });
}

void placer::drop_gateway(const std::string& vm)
{
    if (const auto found = m_gateways.find(vm); found != m_gateways.end()) {
        take_back_word(found->second);
        m_gateways.erase(found);
    }
}

void placer::add_word(gateway_word& word, const wire::gateway_report_t& report)
{
    for (const auto& item : report.uses) {
        const auto at = m_engines.find(item->upstream);
        if (item->running > 0 && at != m_engines.end()) {
            const adapter_name name{item->model, item->adapter};
            ++at->second.users[name];
            word.uses.emplace_back(item->upstream, name);
        }
    }
    for (const auto& item : report.shares) {
        const auto at = m_engines.find(item->upstream);
        if (at != m_engines.end()) {
            at->second.pending_tokens += item->pending_tokens;
            at->second.load_changed = true;
            word.pending[item->upstream] = item->pending_tokens;
        }
    }
}

void placer::take_back_word(gateway_word& word)
{
    for (const auto& [id, name] : std::exchange(word.uses, {})) {
        const auto at = m_engines.find(id);
        if (at == m_engines.end()) {
            continue;
        }
        const auto users = at->second.users.find(name);
        if (users != at->second.users.end() && --users->second == 0) {
            at->second.users.erase(users);
        }
    }
    for (const auto& [id, tokens] : std::exchange(word.pending, {})) {
        const auto at = m_engines.find(id);
        if (at != m_engines.end()) {
            at->second.pending_tokens -= std::min(at->second.pending_tokens, tokens);
            at->second.load_changed = true;
        }
    }
}

std::vector<std::string> placer::wanted_reports(core::time_point now)
{
    std::vector<std::string> wanted;
    if (!m_active) {
        return wanted;
    }
    for (auto& [id, at] : m_engines) {
        if (at.usable && terms_of(at) != nullptr && !at.report_open && now >= at.report_due) {
            at.report_open = true;
            wanted.push_back(id);
        }
    }
    return wanted;
}

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

const gateway::engine_terms* placer::terms_of(const engine& at) const
{
    const auto found = m_deployment.services.find(at.service);
    const bool engines = found != m_deployment.services.end() && found->second.engine;
    return engines ? &*found->second.engine : nullptr;
}

std::size_t placer::places_taken(const engine& at) const
{
    const auto taken = std::count_if(at.copies.begin(), at.copies.end(),
                                     [](const auto& item) { return !item.first.second.empty(); });
    const bool reserved = at.unsure && !at.unsure->unload && !at.unsure->adapter.empty() &&
                          !at.copies.contains({at.unsure->model, at.unsure->adapter});
    return static_cast<std::size_t>(taken) + (reserved ? 1 : 0);
}

std::size_t placer::store_loads() const
{
    std::size_t loads = 0;
    for (const auto& [id, at] : m_engines) {
        for (const auto& [name, held] : at.copies) {
            loads += held.state == copy_state::loading && held.from_store ? 1 : 0;
        }
    }
    return loads;
}

std::size_t placer::most_store_loads() const
{
    const auto by_engines = static_cast<std::size_t>(m_options.store_loads_an_engine *
                                                     static_cast<double>(m_engines.size()));
    return std::max(m_options.store_loads_at_once, by_engines);
}

bool placer::may_order(const engine& at) const
{
    return at.usable && at.known && !at.open && terms_of(at) != nullptr;
}

bool placer::in_use(const engine& at, const adapter_name& name) const
{
    return at.users.contains(name);
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

bool placer::remembers(const engine& at, const adapter_name& name) const
{
    return std::find(at.remembered.begin(), at.remembered.end(), name) != at.remembered.end();
}

void placer::remember(engine& at, const adapter_name& name)
{
    std::erase(at.remembered, name);
    at.remembered.push_back(name);
    if (at.remembered.size() > m_options.remembered_copies) {
        at.remembered.erase(at.remembered.begin());
    }
}

std::optional<adapter_name> placer::victim(const engine& at, core::time_point now) const
{
    std::optional<adapter_name> oldest;
    core::time_point oldest_use{};
    for (const auto& [name, held] : at.copies) {
        const bool idle = held.state == copy_state::loaded && !name.second.empty() &&
                          !in_use(at, name) && now - held.used > m_options.quiet_before_eviction;
        if (idle && (!oldest || held.used < oldest_use)) {
            oldest = name;
            oldest_use = held.used;
        }
    }
    return oldest;
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
    double ms = static_cast<double>(
        core::to_ms(remembers(at, name) ? m_options.near_load : m_options.store_load));
    if (!replaces && places_taken(at) >= terms->adapter_places) {
        const auto out = victim(at, now);
        if (!out) {
            return std::nullopt;
        }
        const auto idle_s = std::chrono::duration<double>(now - at.copies.at(*out).used).count();
        ms += fresh_victim_ms / std::max(idle_s, 1.0);
    }
    const double busy = static_cast<double>(at.running + at.waiting) / std::max(1U, terms->slots);
    const double reading = static_cast<double>(at.pending_tokens) / m_options.prompt_tokens_per_ms;
    return ms + reading + full_engine_ms * busy + home_spread_ms * stable_share(name, at.id);
}

order& placer::give(engine& at, const adapter_name& name, std::uint64_t version, bool unload)
{
    order given;
    given.number = m_next_order++;
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
    for (const auto& wanted : needs(now)) {
        if (!coming(wanted)) {
            place(wanted, now, orders);
        }
    }
    return orders;
}

void placer::place(const need& wanted, core::time_point now, std::vector<order>& orders)
{
    const auto wait = wait_at_copies(wanted);
    const auto further = m_further.find(wanted.name);
    const bool just_made =
        further != m_further.end() && now - further->second < m_options.further_pause;
    if (wanted.name.second.empty() || (wait && (!wanted.crowded || just_made))) {
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
    if (!replaces && places_taken(*best) >= terms_of(*best)->adapter_places) {
        const auto out = *victim(*best, now);
        best->copies[out].state = copy_state::unloading;
        m_changed.insert(best->id);
        orders.push_back(give(*best, out, 0, true));
        return;
    }
    if (wait) {
        m_further[wanted.name] = now;
    }
    auto& held = best->copies[wanted.name];
    held.check_pause = {};
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
                orders.push_back(give(at, name, held.version, false));
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

placer::engine* placer::engine_of(std::uint64_t order_number)
{
    for (auto& [id, at] : m_engines) {
        if (at.open && at.open->number == order_number) {
            return &at;
        }
    }
    return nullptr;
}

void placer::finished(std::uint64_t number, order_result result, core::time_point now)
{
    auto* at = engine_of(number);
    if (at == nullptr) {
        return;
    }
    const order given = *at->open;
    at->open.reset();
    at->last_order = now;
    m_changed.insert(at->id);
    switch (result) {
    case order_result::accepted:
    case order_result::holds:
        took_effect(*at, given, result, now);
        return;
    case order_result::fenced:
        m_fenced = true;
        return;
    case order_result::unknown:
        at->unsure = given;
        break;
    case order_result::conflict:
    case order_result::refused:
        break;
    }
    const adapter_name name{given.model, given.adapter};
    if (const auto held = at->copies.find(name); held != at->copies.end()) {
        if (given.unload) {
            held->second.state = copy_state::loaded;
        }
        else if (held->second.state == copy_state::loading) {
            at->copies.erase(held);
        }
    }
    at->known = false;
    at->report_due = now + m_options.report_lag;
}

void placer::took_effect(engine& at, const order& given, order_result result, core::time_point now)
{
    const adapter_name name{given.model, given.adapter};
    const auto held = at.copies.find(name);
    const bool accepted = result == order_result::accepted;
    if (accepted || given.unload) {
        ++at.orders_accepted;
        at.unsure.reset(); // it named fewer accepted orders and is refused from now on
    }
    if (given.unload) {
        if (held != at.copies.end() && !accepted) {
            at.copies.erase(held);
        }
        return;
    }
    if (held == at.copies.end()) {
        return;
    }
    if (!accepted) {
        held->second.state = copy_state::loaded;
        held->second.used = now;
        remember(at, name);
        return;
    }
    held->second.state = copy_state::loading;
    if (name.second.empty()) {
        at.report_due = now + m_options.model_load_look;
    }
    auto& pause = held->second.check_pause;
    const auto usual = remembers(at, name) ? m_options.near_load : m_options.store_load;
    // Still not done: a replacement waits for the requests that run.
    held->second.check_at = now + (pause == core::duration::zero() ? usual : pause);
    pause = std::min(std::max(pause * 2, m_options.check_again), m_options.check_most);
}

wire::engine_view_t placer::view(const engine& at) const
{
    wire::engine_view_t to;
    to.upstream = at.id;
    to.born_ms = at.born_ms;
    to.running = at.running;
    to.waiting = at.waiting;
    to.pending_tokens = at.pending_tokens;
    to.copies_included = true;
    for (const auto& [name, held] : at.copies) {
        if (held.state == copy_state::loaded) {
            wire::adapter_copy_t word;
            word.model = name.first;
            word.adapter = name.second;
            word.version = held.version;
            wire::append(to.copies, std::move(word));
        }
    }
    return to;
}

std::vector<wire::engine_view_t> placer::take_changed()
{
    std::vector<wire::engine_view_t> views;
    for (const auto& id : std::exchange(m_changed, {})) {
        if (const auto found = m_engines.find(id);
            found != m_engines.end() && found->second.known) {
            views.push_back(view(found->second));
        }
    }
    return views;
}

std::vector<wire::engine_view_t> placer::take_loads()
{
    std::vector<wire::engine_view_t> views;
    for (auto& [id, at] : m_engines) {
        if (std::exchange(at.load_changed, false)) {
            views.push_back(view(at));
            views.back().copies.clear();
            views.back().copies_included = false;
        }
    }
    return views;
}

std::vector<wire::engine_view_t> placer::all() const
{
    std::vector<wire::engine_view_t> views;
    for (const auto& [id, at] : m_engines) {
        if (at.known) {
            views.push_back(view(at));
        }
    }
    return views;
}

core::time_point placer::next_due() const
{
    auto due = m_next_check;
    for (const auto& [id, at] : m_engines) {
        if (at.usable && !at.report_open && terms_of(at) != nullptr) {
            due = std::min(due, at.report_due);
        }
    }
    return due;
}

} // namespace siskindrift::adapters
