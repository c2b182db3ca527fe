#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace siskindrift::adapters {
namespace {

// Weight of the latest load in the estimate of the load time when loads have become slower.
constexpr double slow_load_weight = 0.3;
// Bounds the relative increase of the estimate by one load: few loads that take long for other
// reasons must not delay the first look at all others.
constexpr double max_load_time_growth = 0.05;
// Relative decrease of the estimate after each load that was complete at its first poll.
constexpr double timely_load_decrease = 0.01;
// Bounds the exponent of the pause of an engine that leaves orders unanswered.
constexpr unsigned max_pause_doublings = 8;

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
    m_first_order_at = from;
    m_use_rates.begin(from);
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

std::size_t placer::store_loads(core::time_point now, bool accepted) const
{
    std::size_t loads = 0;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& [name, held] : engine.copies) {
            const bool is_accepted = held.accepted_at != core::time_point{};
            // Nobody has answered whether it is complete, but it should be.
            const bool overdue = is_accepted && engine.last_unanswered_at > held.accepted_at &&
                                 now - held.accepted_at > m_store_load_time;
            const bool counts = held.state == copy_state::loading && held.from_store &&
                                (!accepted || is_accepted) && !overdue;
            loads += counts && is_usable(engine) ? 1 : 0;
        }
    }
    return loads;
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

placer::engine_state* placer::find_by_order(std::uint64_t order_id)
{
    for (auto& [id, engine] : m_engines) {
        if (engine.pending_order && engine.pending_order->id == order_id) {
            return &engine;
        }
    }
    return nullptr;
}

void placer::on_order_result(std::uint64_t id, order_result result, core::time_point now)
{
    auto* engine = find_by_order(id);
    if (engine == nullptr) {
        on_overdue_result(id, result, now);
        return;
    }
    const order given = *engine->pending_order;
    engine->pending_order.reset();
    engine->last_order_at = now;
    if (result != order_result::unknown) {
        engine->unanswered_in_row = 0;
        m_answer_time.on_answer(now - given.sent_at);
    }
    const bool success = result == order_result::accepted || result == order_result::holds;
    if (success && !given.repeated && given.orders_accepted != engine->orders_accepted) {
        // An earlier order was answered meanwhile, so the engine may not have counted this one.
        m_changed_engines.insert(engine->id);
        engine->state_known = false;
        engine->report_due = now + m_options.max_report_age;
        return;
    }
    apply_result(*engine, given, result, now);
}

void placer::apply_result(engine_state& engine, const order& given, order_result result,
                          core::time_point now)
{
    m_changed_engines.insert(engine.id);
    switch (result) {
    case order_result::accepted:
    case order_result::holds:
        apply_success(engine, given, result, now);
        return;
    case order_result::fenced:
        m_fenced = true;
        return;
    case order_result::unknown:
        engine.unconfirmed_order = given;
        break;
    case order_result::conflict:
    case order_result::refused:
        break;
    }
    const adapter_name name{given.model, given.adapter};
    if (const auto held = engine.copies.find(name); held != engine.copies.end()) {
        if (given.unload) {
            held->second.state = copy_state::loaded;
            held->second.last_used = now; // rather evicts another one next
        }
        else if (held->second.state == copy_state::loading && held->second.load_order == given.id) {
            engine.copies.erase(held);
        }
    }
    engine.state_known = false;
    engine.report_due = now + m_options.max_report_age;
}

// The engine checks its order count when it carries an order out, so a later order with the same
// count excludes the unanswered one and can't fill a slot beside it.
void placer::release_overdue_orders(core::time_point now)
{
    for (auto& [id, engine] : m_engines) {
        if (!engine.pending_order) {
            continue;
        }
        const auto due = engine.pending_order->sent_at + m_answer_time.wait();
        if (now < due) {
            m_next_check_at = std::min(m_next_check_at, due);
            continue;
        }
        overdue_order overdue{*std::exchange(engine.pending_order, std::nullopt), std::nullopt};
        const auto& given = overdue.given;
        const auto held = engine.copies.find({given.model, given.adapter});
        if (held != engine.copies.end()) {
            if (given.repeated) {
                held->second.next_poll_at = now;
            }
            else if (given.unload) {
                held->second.state = copy_state::loaded;
                held->second.last_used = now; // rather evicts another one next
            }
            else if (held->second.state == copy_state::loading &&
                     held->second.load_order == given.id) {
                overdue.copy = held->second;
                if (held->second.replaces) {
                    // The engine still holds the former version, whichever that is.
                    held->second.state = copy_state::loaded;
                    held->second.version = 0;
                }
                else {
                    engine.copies.erase(held);
                }
            }
        }
        engine.last_order_at = now;
        engine.last_unanswered_at = now;
        engine.report_due = std::min(engine.report_due, now + m_options.max_report_age);
        if (++engine.unanswered_in_row > m_options.max_unanswered_in_row) {
            const auto doublings =
                std::min(engine.unanswered_in_row - m_options.max_unanswered_in_row - 1,
                         max_pause_doublings);
            engine.next_order_at = now + std::min(m_options.unanswered_pause * (1U << doublings),
                                                  m_options.max_unanswered_pause);
        }
        engine.overdue_orders.push_back(std::move(overdue));
        m_changed_engines.insert(id);
    }
}

bool placer::on_overdue_result(std::uint64_t id, order_result result, core::time_point now)
{
    for (auto& [upstream, engine] : m_engines) {
        const auto found =
            std::find_if(engine.overdue_orders.begin(), engine.overdue_orders.end(),
                         [&](const overdue_order& one) { return one.given.id == id; });
        if (found == engine.overdue_orders.end()) {
            continue;
        }
        const auto overdue = *found;
        engine.overdue_orders.erase(found);
        if (result == order_result::unknown) {
            return true; // a report or a later order shows whether it was carried out
        }
        engine.unanswered_in_row = 0;
        engine.next_order_at = {};
        const auto& given = overdue.given;
        m_answer_time.on_answer(now - given.sent_at);
        // Since a later order was accepted, this one was refused, or the answer is outdated.
        if (given.orders_accepted != engine.orders_accepted) {
            return true;
        }
        const bool success = result == order_result::accepted || result == order_result::holds;
        const adapter_name name{given.model, given.adapter};
        if (success && overdue.copy) {
            engine.copies.insert_or_assign(name, *overdue.copy);
        }
        apply_result(engine, given, result, now);
        return true;
    }
    return false;
}

void placer::apply_success(engine_state& engine, const order& given, order_result result,
                           core::time_point now)
{
    const adapter_name name{given.model, given.adapter};
    const auto held = engine.copies.find(name);
    const bool accepted = result == order_result::accepted;
    if ((accepted && !given.repeated) || given.unload) {
        ++engine.orders_accepted;
        // The engine refuses the unconfirmed order from now on: its order count is outdated.
        engine.unconfirmed_order.reset();
    }
    if (given.unload) {
        if (held != engine.copies.end() && !accepted) {
            engine.copies.erase(held);
        }
        if (accepted) {
            engine.awaits_unload = true;
            engine.unload_accepted_at = now;
            engine.report_due = std::min(engine.report_due, now + m_options.max_report_age);
        }
        return;
    }
    if (held == engine.copies.end()) {
        return;
    }
    if (!accepted) {
        learn_from_load(engine, held->second, now);
        held->second.state = copy_state::loaded;
        held->second.last_used = now;
        held->second.used = false;
        held->second.loaded_at = now;
        engine.history.record(key_of(name));
        return;
    }
    held->second.state = copy_state::loading;
    if (name.second.empty()) {
        engine.report_due = now + m_options.model_load_poll_delay;
    }
    if (!given.repeated) {
        held->second.accepted_at = now;
        m_store_limiter.set_in_progress(store_loads(now, true), now);
        held->second.load_seconds = m_store_limiter.load_seconds();
    }
    schedule_poll(held->second, now);
}

// Polls a load first when it should be complete. The load may take longer: a new version is loaded
// after the running requests have ended.
void placer::schedule_poll(adapter_copy& held, core::time_point now)
{
    const bool first = held.poll_interval == core::duration::zero();
    if (first && m_cache_size.may_be_cached(held.history_age)) {
        held.next_poll_at = now + m_options.cached_load_time;
        held.poll_interval = m_options.initial_poll_interval;
        return;
    }
    const auto expected_end = held.accepted_at + m_store_load_time;
    if (!held.replaces && now < expected_end) {
        // Not in the cache, or not loaded as fast as from it.
        held.from_store = true;
        held.next_poll_at = expected_end;
        held.poll_interval = m_options.initial_poll_interval;
        return;
    }
    held.next_poll_at = now + std::max(held.poll_interval, m_options.initial_poll_interval);
    held.poll_interval = std::min(std::max(held.poll_interval * 2, m_options.initial_poll_interval),
                                  m_options.max_poll_interval);
}

void placer::learn_from_load(const engine_state& engine, const adapter_copy& held,
                             core::time_point now)
{
    // The end of a load is noticed late where polls, or orders before them, are not answered.
    const bool noticed_late = engine.last_unanswered_at > held.accepted_at;
    if (held.replaces || held.accepted_at == core::time_point{} || noticed_late) {
        return;
    }
    const auto elapsed = now - held.accepted_at;
    const bool cached = std::chrono::duration<double>(elapsed) <
                        m_store_load_time * m_options.max_cached_load_ratio;
    if (held.history_age) {
        m_cache_size.on_load(*held.history_age, cached);
    }
    if (!cached) {
        m_store_limiter.on_load(held.accepted_at, held.load_seconds, now);
        update_store_load_time(held, now);
    }
}

// Adapts the estimate of the load time, so that the first poll of a load comes just after its end.
void placer::update_store_load_time(const adapter_copy& held, core::time_point now)
{
    const bool at_first_poll = held.poll_interval <= m_options.initial_poll_interval;
    const auto growth = std::min((now - held.accepted_at - m_store_load_time) * slow_load_weight,
                                 m_store_load_time * max_load_time_growth);
    const auto shift = at_first_poll ? m_store_load_time * -timely_load_decrease : growth;
    m_store_load_time =
        std::max(m_options.min_store_load_time,
                 m_store_load_time + std::chrono::duration_cast<core::duration>(shift));
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
