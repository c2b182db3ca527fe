#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace siskindrift::adapters {
namespace {

constexpr double max_adapters = 1e9; // of one engine, so that a count fits its type

wire::adapter_copy_t make_copy(const adapter_name& name, std::uint64_t version)
{
    wire::adapter_copy_t copy;
    copy.model = name.first;
    copy.adapter = name.second;
    copy.version = version;
    return copy;
}

} // namespace

adapter_key key_of(const adapter_name& name)
{
    return XXH3_64bits_withSeed(name.second.data(), name.second.size(),
                                XXH3_64bits(name.first.data(), name.first.size()));
}

void placer::begin_leadership(core::time_point from)
{
    m_active = true;
    m_fenced = false;
    m_first_order_at = from;
    m_use_rates.begin(from);
    m_store_limiter.forget_loads(from);
    for (auto& [id, engine] : m_engines) {
        engine.state_known = false;
        engine.pending_order.reset();
        engine.unconfirmed_order.reset();
        engine.overdue_orders.clear();
        engine.unanswered_in_row = 0;
        engine.next_order_at = {};
        engine.report_pending = false;
        engine.report_due = {};
        engine.published.reset(); // another leader may have published since
        for (auto& [name, held] : engine.copies) {
            // Whether an unload that was on its way is carried out is shown by the next report.
            if (held.state == copy_state::unloading && !engine.awaits_unload) {
                held.state = copy_state::loaded;
            }
        }
    }
}

void placer::end_leadership()
{
    m_active = false;
}

void placer::set_deployment(const gateway::deployment& document)
{
    m_deployment = document;
    std::set<std::string> placeable;
    m_unplaceable.clear();
    for (const auto& [name, service] : document.services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            m_model_sizes[{name, model.name}] = {model.weights_mb, model.adapter_mb};
            const bool fits = service.engine->can_hold(model.name, "any");
            (fits ? placeable : m_unplaceable).insert(model.name);
        }
    }
    for (const auto& model : placeable) {
        m_unplaceable.erase(model);
    }
}

void placer::set_version(const adapter_name& name, std::uint64_t version)
{
    auto& newest = m_newest_versions[name];
    newest = std::max(newest, version);
}

std::uint64_t placer::newest_version(const adapter_name& name) const
{
    const auto found = m_newest_versions.find(name);
    return found == m_newest_versions.end() ? 0 : found->second;
}

void placer::on_announcement(const wire::fleet_upstream_t& announcement, bool usable)
{
    if (announcement.state == wire::fleet_state::gone) {
        m_engines.erase(announcement.id);
        return;
    }
    auto& engine = m_engines[announcement.id];
    const bool restarted = engine.born_ms != announcement.born_ms;
    if (restarted || engine.id.empty()) {
        engine = engine_state{};
        engine.id = announcement.id;
        engine.born_ms = announcement.born_ms;
        m_changed_engines.insert(announcement.id);
    }
    engine.address = announcement.address;
    engine.service = announcement.service;
    engine.software_version = announcement.software_version;
    for (const auto& held : announcement.copies) {
        const adapter_name name{held->model, held->adapter};
        if (!held->adapter.empty() && !engine.history.age(key_of(name))) {
            engine.history.record(key_of(name));
        }
    }
    engine.usable = usable;
}

void placer::on_report(const std::string& upstream, const std::optional<engine_report>& report,
                       core::time_point asked)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end()) {
        return;
    }
    auto& engine = found->second;
    engine.report_pending = false;
    engine.report_due =
        asked + (engine.state_known ? m_options.report_interval : m_options.max_report_age);
    engine.answers_polls = engine.answers_polls && report.has_value();
    engine.poll_failed = !report;
    if (!report || (report->born_ms != 0 && report->born_ms != engine.born_ms)) {
        return;
    }
    engine.answers_polls = is_doubted(engine) && asked >= engine.doubted_since;
    engine.running = report->running;
    engine.waiting = report->waiting;
    engine.load_changed = true;
    // A report from before the last order doesn't show the effect of that order.
    const bool fresh =
        asked - m_options.max_report_age > engine.last_order_at && !engine.pending_order;
    const bool ahead = report->orders_accepted > engine.orders_accepted;
    if ((fresh && (!engine.state_known || report->orders_accepted == engine.orders_accepted)) ||
        (ahead && !engine.pending_order)) {
        apply_report(engine, *report, asked);
        m_changed_engines.insert(upstream);
    }
}

void placer::apply_report(engine_state& engine, const engine_report& report, core::time_point now)
{
    if (engine.unconfirmed_order &&
        report.orders_accepted > engine.unconfirmed_order->orders_accepted) {
        engine.unconfirmed_order.reset(); // carried out, or refused because of a later order
    }
    engine.state_known = true;
    engine.orders_accepted = report.orders_accepted;
    engine.report_due = now + m_options.report_interval;
    auto before = std::exchange(engine.copies, {});
    const auto take = [&](const wire::adapter_copy_t& reported, copy_state state) {
        const adapter_name name{reported.model, reported.adapter};
        auto& held = engine.copies[name];
        if (const auto known = before.find(name); known != before.end()) {
            held = known->second;
        }
        held.version = reported.version;
        if (held.state != copy_state::unloading) {
            held.state = state;
        }
        if (state == copy_state::loading) {
            held.confirmed_at = now;
            held.next_poll_at = now + m_options.initial_poll_interval;
        }
    };
    for (const auto& [name, held] : before) {
        // Reports list the adapters that are being loaded, but not the base models.
        if (report.model_order_in_progress && name.second.empty() &&
            held.state == copy_state::loading) {
            engine.copies[name] = held;
        }
    }
    for (const auto& reported : report.loading) {
        take(reported, copy_state::loading);
    }
    for (const auto& reported : report.copies) {
        take(reported, copy_state::loaded);
    }
    const bool unloads = std::any_of(engine.copies.begin(), engine.copies.end(), [](auto& item) {
        return item.second.state == copy_state::unloading;
    });
    engine.awaits_unload = unloads && now - engine.unload_accepted_at < m_options.max_unload_wait;
    if (engine.awaits_unload) {
        engine.report_due = now + m_options.max_report_age;
    }
}

void placer::on_gateway_report(const wire::gateway_report_t& report, core::time_point now)
{
    auto& state = m_gateways[report.vm];
    const std::set<std::string> unreachable_before{state.unreachable.begin(),
                                                   state.unreachable.end()};
    std::set<std::string> doubted;
    for (const auto& id : state.unreachable) {
        const auto engine = m_engines.find(id);
        if (engine != m_engines.end() && is_doubted(engine->second)) {
            doubted.insert(id);
        }
    }
    if (report.store) {
        m_store_limiter.begin_at({report.store->loads, core::milliseconds{report.store->load_ms},
                                  report.store->saturated});
    }
    const auto used_before = state.uses;
    remove_usage(state);
    add_usage(state, report);
    for (const auto& [use, running] : state.uses) {
        const auto before = used_before.find(use);
        const auto known = before == used_before.end() ? 0 : before->second;
        if (running > known) {
            m_use_rates.record(key_of(use.second), running - known, now);
        }
    }
    for (const auto& id : state.unreachable) {
        const auto engine = m_engines.find(id);
        if (engine != m_engines.end() && is_doubted(engine->second) && !doubted.contains(id)) {
            engine->second.answers_polls = false;
            engine->second.doubted_since = now;
            engine->second.report_due = std::min(engine->second.report_due, now);
        }
        if (engine != m_engines.end() && !unreachable_before.contains(id) &&
            engine->second.unreachable_from == 1) {
            engine->second.report_due = std::min(engine->second.report_due, now);
        }
    }
    for (const auto& item : report.unserved) {
        m_unserved.record_requests({item->model, item->adapter},
                                   now - core::milliseconds{item->age_ms}, now, item->requests);
    }
    for (const auto& item : report.wishes) {
        auto& wish = state.wishes[{{item->model, item->adapter}, item->software_version}];
        const auto since = wish.waiting > 0 ? wish.first_reported : now;
        if (wish.waiting == 0 && item->waiting > 0) {
            m_unserved.record_requests({item->model, item->adapter}, now, now);
        }
        wish.waiting = item->waiting;
        wish.late = std::min(item->late, item->waiting);
        wish.timely_left = core::milliseconds{item->timely_ms};
        wish.time_left = core::milliseconds{item->left_ms};
        wish.crowded = item->crowded;
        wish.rejected = item->rejected;
        wish.prompt_tokens = item->prompt_tokens;
        wish.first_reported = since;
        wish.last_reported = now;
    }
    for (const auto& item : report.uses) {
        const adapter_name name{item->model, item->adapter};
        m_unserved.record_served(name);
        const auto engine = m_engines.find(item->upstream);
        if (engine == m_engines.end()) {
            continue;
        }
        if (const auto held = engine->second.copies.find(name);
            held != engine->second.copies.end()) {
            held->second.last_used = now;
            held->second.used = true;
        }
    }
    std::erase_if(state.wishes, [&](const auto& item) {
        return item.second.waiting == 0 ||
               now - item.second.last_reported > m_options.wish_lifetime;
    });
}

void placer::remove_gateway(const std::string& vm)
{
    if (const auto found = m_gateways.find(vm); found != m_gateways.end()) {
        remove_usage(found->second);
        m_gateways.erase(found);
    }
}

void placer::add_usage(gateway_state& state, const wire::gateway_report_t& report)
{
    for (const auto& item : report.uses) {
        const auto engine = m_engines.find(item->upstream);
        if (item->running > 0 && engine != m_engines.end()) {
            const adapter_name name{item->model, item->adapter};
            auto& running = state.uses[{item->upstream, name}];
            engine->second.using_gateways[name] += running == 0 ? 1 : 0;
            running += item->running;
        }
    }
    for (const auto& item : report.shares) {
        const auto engine = m_engines.find(item->upstream);
        if (engine != m_engines.end()) {
            engine->second.pending_tokens += item->pending_tokens;
            engine->second.load_changed = true;
            state.pending_tokens[item->upstream] = item->pending_tokens;
        }
    }
    for (const auto& id : report.unreachable) {
        const auto engine = m_engines.find(id);
        if (engine != m_engines.end()) {
            ++engine->second.unreachable_from;
            state.unreachable.push_back(id);
        }
    }
}

void placer::remove_usage(gateway_state& state)
{
    for (const auto& [use, running] : std::exchange(state.uses, {})) {
        const auto& [id, name] = use;
        const auto engine = m_engines.find(id);
        if (engine == m_engines.end()) {
            continue;
        }
        const auto count = engine->second.using_gateways.find(name);
        if (count != engine->second.using_gateways.end() && --count->second == 0) {
            engine->second.using_gateways.erase(count);
        }
    }
    for (const auto& id : std::exchange(state.unreachable, {})) {
        const auto engine = m_engines.find(id);
        if (engine != m_engines.end() && engine->second.unreachable_from > 0) {
            --engine->second.unreachable_from;
        }
    }
    for (const auto& [id, tokens] : std::exchange(state.pending_tokens, {})) {
        const auto engine = m_engines.find(id);
        if (engine != m_engines.end()) {
            engine->second.pending_tokens -= std::min(engine->second.pending_tokens, tokens);
            engine->second.load_changed = true;
        }
    }
}

std::vector<std::string> placer::take_engines_to_poll(core::time_point now)
{
    std::vector<std::string> due;
    if (!m_active) {
        return due;
    }
    for (auto& [id, engine] : m_engines) {
        if (engine.usable && capacity_of(engine) != nullptr && !engine.report_pending &&
            now >= engine.report_due) {
            engine.report_pending = true;
            due.push_back(id);
        }
    }
    return due;
}

const gateway::engine_capacity* placer::capacity_of(const engine_state& engine) const
{
    const auto found = m_deployment.services.find(engine.service);
    const bool is_engine = found != m_deployment.services.end() && found->second.engine;
    return is_engine ? &*found->second.engine : nullptr;
}

std::size_t placer::used_adapter_slots(const engine_state& engine) const
{
    const auto held = std::count_if(engine.copies.begin(), engine.copies.end(),
                                    [](const auto& item) { return !item.first.second.empty(); });
    const bool reserved = engine.unconfirmed_order && !engine.unconfirmed_order->unload &&
                          !engine.unconfirmed_order->adapter.empty() &&
                          !engine.copies.contains(
                              {engine.unconfirmed_order->model, engine.unconfirmed_order->adapter});
    return static_cast<std::size_t>(held) + (reserved ? 1 : 0);
}

double placer::size_mb(const engine_state& engine, const adapter_name& name) const
{
    const auto found = m_model_sizes.find({engine.service, name.first});
    if (found == m_model_sizes.end()) {
        return 0;
    }
    return name.second.empty() ? found->second.weights_mb : found->second.adapter_mb;
}

double placer::used_memory_mb(const engine_state& engine) const
{
    double used = 0;
    for (const auto& [name, held] : engine.copies) {
        used += size_mb(engine, name);
    }
    const auto& open = engine.unconfirmed_order;
    const bool reserved =
        open && !open->unload && !engine.copies.contains({open->model, open->adapter});
    return used + (reserved ? size_mb(engine, {open->model, open->adapter}) : 0);
}

double placer::base_models_mb(const engine_state& engine) const
{
    double used = 0;
    for (const auto& [name, held] : engine.copies) {
        used += name.second.empty() ? size_mb(engine, name) : 0;
    }
    return used;
}

std::size_t placer::adapter_capacity(const engine_state& engine) const
{
    const auto* capacity = capacity_of(engine);
    double largest = 0;
    for (const auto& [name, held] : engine.copies) {
        largest = std::max(largest, size_mb(engine, {name.first, "any"}));
    }
    if (capacity->weights_mb <= 0 || largest <= 0) {
        return capacity->adapter_slots;
    }
    const double room = std::max(capacity->weights_mb - base_models_mb(engine), 0.0) / largest;
    return std::min<std::size_t>(capacity->adapter_slots,
                                 static_cast<std::size_t>(std::min(room, max_adapters)));
}

std::size_t placer::store_loads(core::time_point now, bool accepted) const
{
    std::size_t loads = 0;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& [name, held] : engine.copies) {
            const bool is_accepted = held.accepted_at != core::time_point{};
            // Nobody has answered whether it is complete, but it should be.
            const bool overdue = is_accepted && engine.last_unanswered_at > held.accepted_at &&
                                 now - held.accepted_at > m_store_load_time;
            const bool counts =
                is_loading(held, now) && held.from_store && (!accepted || is_accepted) && !overdue;
            loads += counts && is_usable(engine) ? 1 : 0;
        }
    }
    return loads;
}

bool placer::is_loading(const adapter_copy& held, core::time_point now) const
{
    return held.state == copy_state::loading &&
           now - held.confirmed_at <= m_options.max_load_silence;
}

bool placer::is_doubted(const engine_state& engine) const
{
    const auto gateways = static_cast<double>(m_gateways.size());
    return engine.unreachable_from > 0 &&
           (engine.poll_failed ||
            static_cast<double>(engine.unreachable_from) >= m_options.unreachable_ratio * gateways);
}

// Gateways reach an engine through others while any of them does, so one that answers is used.
bool placer::is_usable(const engine_state& engine) const
{
    return engine.usable && (engine.answers_polls || !is_doubted(engine));
}

bool placer::can_take_order(const engine_state& engine, core::time_point now) const
{
    return is_usable(engine) && engine.state_known && !engine.pending_order &&
           now >= engine.next_order_at && !engine.awaits_unload && capacity_of(engine) != nullptr;
}

bool placer::in_use(const engine_state& engine, const adapter_name& name) const
{
    return engine.using_gateways.contains(name);
}

bool placer::held_recently(const engine_state& engine, adapter_key key) const
{
    return m_cache_size.is_cached(engine.history.age(key));
}

wire::engine_view_t placer::make_load_view(const engine_state& engine)
{
    wire::engine_view_t view;
    view.upstream = engine.id;
    view.born_ms = engine.born_ms;
    view.running = engine.running;
    view.waiting = engine.waiting;
    view.pending_tokens = engine.pending_tokens;
    return view;
}

std::map<adapter_name, std::uint64_t> placer::loaded_versions(const engine_state& engine)
{
    std::map<adapter_name, std::uint64_t> versions;
    for (const auto& [name, held] : engine.copies) {
        if (held.state == copy_state::loaded) {
            versions.emplace(name, held.version);
        }
    }
    return versions;
}

wire::engine_view_t placer::make_view(const engine_state& engine) const
{
    auto view = make_load_view(engine);
    view.copies_included = true;
    for (const auto& [name, version] : loaded_versions(engine)) {
        wire::append(view.copies, make_copy(name, version));
    }
    return view;
}

std::vector<wire::engine_view_t> placer::take_changed_views()
{
    std::vector<wire::engine_view_t> views;
    for (const auto& id : std::exchange(m_changed_engines, {})) {
        const auto found = m_engines.find(id);
        if (found == m_engines.end() || !found->second.state_known) {
            continue;
        }
        auto& engine = found->second;
        auto loaded = loaded_versions(engine);
        if (!engine.published) {
            views.push_back(make_view(engine));
        }
        else if (loaded != *engine.published) {
            views.push_back(make_delta(engine, loaded));
        }
        engine.published = std::move(loaded);
    }
    return views;
}

// Returns what has changed at an engine since its copies were published.
wire::engine_view_t placer::make_delta(const engine_state& engine,
                                       const std::map<adapter_name, std::uint64_t>& loaded)
{
    auto view = make_load_view(engine);
    view.copies_included = true;
    view.delta = true;
    for (const auto& [name, version] : loaded) {
        const auto known = engine.published->find(name);
        if (known == engine.published->end() || known->second != version) {
            wire::append(view.copies, make_copy(name, version));
        }
    }
    for (const auto& [name, version] : *engine.published) {
        if (!loaded.contains(name)) {
            wire::append(view.removed, make_copy(name, version));
        }
    }
    return view;
}

std::vector<wire::engine_view_t> placer::whole_views(const wire::engine_update_t& changes) const
{
    std::vector<wire::engine_view_t> views;
    for (const auto& change : changes.engines) {
        const auto found = m_engines.find(change->upstream);
        if (!change->delta || found == m_engines.end()) {
            views.push_back(*change);
        }
        else {
            views.push_back(make_view(found->second));
        }
    }
    return views;
}

std::vector<wire::engine_view_t> placer::take_load_views()
{
    std::vector<wire::engine_view_t> views;
    for (auto& [id, engine] : m_engines) {
        if (std::exchange(engine.load_changed, false)) {
            views.push_back(make_load_view(engine));
        }
    }
    return views;
}

std::vector<wire::engine_view_t> placer::all_views() const
{
    std::vector<wire::engine_view_t> views;
    for (const auto& [id, engine] : m_engines) {
        if (engine.state_known) {
            views.push_back(make_view(engine));
        }
    }
    return views;
}

core::time_point placer::next_due() const
{
    auto due = m_next_check_at;
    for (const auto& [id, engine] : m_engines) {
        if (engine.usable && !engine.report_pending && capacity_of(engine) != nullptr) {
            due = std::min(due, engine.report_due);
        }
    }
    return due;
}

} // namespace siskindrift::adapters
