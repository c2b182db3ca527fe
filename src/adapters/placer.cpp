#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <utility>

namespace siskindrift::adapters {
namespace {

constexpr double slower_share = 0.3;  // of the latest load, where loads have become slower
constexpr double faster_share = 0.01; // off what is expected, tried with each load in time

} // namespace

std::string_view to_string(order_result result)
{
    switch (result) {
    case order_result::accepted:
        return "accepted";
    case order_result::holds:
        return "holds";
    case order_result::conflict:
        return "conflict";
    case order_result::fenced:
        return "fenced";
    case order_result::refused:
        return "refused";
    case order_result::unknown:
        return "unknown";
    }
    return "unknown";
}

void placer::begin_leadership(core::time_point from)
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

void placer::end_leadership()
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

void placer::on_announcement(const wire::fleet_upstream_t& word, bool usable)
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

void placer::on_report(const std::string& upstream, const std::optional<engine_report>& report,
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
        if (report.model_order_in_progress && name.second.empty() &&
            held.state == copy_state::loading) {
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

void placer::on_gateway_report(const wire::gateway_report_t& report, core::time_point now)
{
    auto& word = m_gateways[report.vm];
    take_back_word(word);
    add_word(word, report);
    for (const auto& item : report.wishes) {
        auto& told = word.wishes[{item->model, item->adapter}];
        const auto since = told.waiting > 0 ? told.since : now;
        told.waiting = item->waiting;
        told.time_left = core::milliseconds{item->left_ms};
        told.crowded = item->crowded;
        told.prompt_tokens = item->prompt_tokens;
        told.since = since;
        told.told = now;
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

void placer::remove_gateway(const std::string& vm)
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

std::vector<std::string> placer::take_engines_to_poll(core::time_point now)
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

const gateway::engine_capacity* placer::terms_of(const engine& at) const
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

bool placer::may_order(const engine& at) const
{
    return at.usable && at.known && !at.open && terms_of(at) != nullptr;
}

bool placer::in_use(const engine& at, const adapter_name& name) const
{
    return at.users.contains(name);
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

placer::engine* placer::engine_of(std::uint64_t order_number)
{
    for (auto& [id, at] : m_engines) {
        if (at.open && at.open->id == order_number) {
            return &at;
        }
    }
    return nullptr;
}

void placer::on_order_result(std::uint64_t number, order_result result, core::time_point now)
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
        else if (held->second.state == copy_state::loading && !given.repeated) {
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
    if ((accepted && !given.repeated) || given.unload) {
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
        learn_store_load(held->second, now);
        held->second.state = copy_state::loaded;
        held->second.used = now;
        held->second.loaded = now;
        remember(at, name);
        return;
    }
    held->second.state = copy_state::loading;
    if (name.second.empty()) {
        at.report_due = now + m_options.model_load_look;
    }
    if (!given.repeated) {
        held->second.accepted = now;
    }
    auto& pause = held->second.check_pause;
    const auto usual = remembers(at, name) ? m_options.near_load : m_store_load;
    // Still not done: a replacement waits for the requests that run.
    held->second.check_at = now + (pause == core::duration::zero() ? usual : pause);
    pause = std::min(std::max(pause * 2, m_options.check_again), m_options.check_most);
}

// Follows how long loads take, so that the first look at one comes just after its end.
void placer::learn_store_load(const copy& held, core::time_point now)
{
    if (!held.from_store || held.accepted == core::time_point{}) {
        return;
    }
    const bool at_first_look = held.check_pause <= m_options.check_again;
    const auto shift = at_first_look ? m_store_load * -faster_share
                                     : (now - held.accepted - m_store_load) * slower_share;
    m_store_load = std::max(m_options.store_load,
                            m_store_load + std::chrono::duration_cast<core::duration>(shift));
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

std::vector<wire::engine_view_t> placer::take_changed_views()
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

std::vector<wire::engine_view_t> placer::take_load_views()
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

std::vector<wire::engine_view_t> placer::all_views() const
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
