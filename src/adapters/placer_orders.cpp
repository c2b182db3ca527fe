// Orders of the placer: what is sent to engines, and what their answers show.
#include "siskindrift/adapters/placer.h"

#include <algorithm>
#include <utility>

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

order& placer::create_order(engine_state& engine, const adapter_name& name, std::uint64_t version,
                            bool unload, core::time_point now)
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
    given.sent_at = now;
    engine.pending_order = given;
    return *engine.pending_order;
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
    held->second.confirmed_at = now;
    if (name.second.empty()) {
        engine.report_due = now + m_options.model_load_poll_delay;
    }
    if (!given.repeated) {
        held->second.accepted_at = now;
        held->second.loading_at = now;
        m_store_limiter.set_in_progress(store_loads(now, true), now);
        held->second.load_seconds = m_store_limiter.load_seconds();
    }
    else {
        held->second.loading_at = given.sent_at;
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
        held.next_poll_at = std::min(expected_end, now + m_options.max_poll_interval);
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
        // What may have come from the engine's cache shows nothing about the store.
        const bool proven = std::chrono::duration<double>(held.loading_at - held.accepted_at) >=
                            m_store_load_time * m_options.max_cached_load_ratio;
        if (proven || !m_cache_size.may_be_cached(held.history_age)) {
            m_store_limiter.on_load(held.accepted_at, held.load_seconds, held.loading_at, now);
        }
        update_store_load_time(held, now);
    }
}

// Adapts the estimate of the load time, so that the first poll of a load comes just after its end.
// A poll that came later couldn't show whether loads slow each other down.
void placer::update_store_load_time(const adapter_copy& held, core::time_point now)
{
    const bool at_first_poll = held.poll_interval <= m_options.initial_poll_interval;
    const auto growth = std::min((now - held.accepted_at - m_store_load_time) * slow_load_weight,
                                 m_store_load_time * max_load_time_growth);
    const auto shift = at_first_poll ? m_store_load_time * -timely_load_decrease : growth;
    m_store_load_time += std::chrono::duration_cast<core::duration>(shift);
    if (const auto learnt = m_store_limiter.learnt()) {
        const auto latest = learnt->load_time * m_options.store_loads.max_stretch;
        m_store_load_time =
            std::min(m_store_load_time, std::chrono::duration_cast<core::duration>(latest));
    }
    m_store_load_time = std::max(m_options.min_store_load_time, m_store_load_time);
}

// Repeats the order of each load that should be complete: the engine answers that it holds.
void placer::poll_loads(core::time_point now, std::vector<order>& orders)
{
    for (auto& [id, engine] : m_engines) {
        for (auto& [name, held] : engine.copies) {
            if (held.state != copy_state::loading || !can_take_order(engine, now)) {
                continue;
            }
            if (held.next_poll_at <= now && !name.second.empty()) {
                auto& given = create_order(engine, name, held.version, false, now);
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
        if (!can_take_order(engine, now) || now < m_next_model_load_at || !engine.copies.empty()) {
            continue;
        }
        const auto* capacity = capacity_of(engine);
        if (capacity->models.empty() || capacity->loads_per_second <= 0) {
            continue;
        }
        const auto model =
            std::find_if(capacity->models.begin(), capacity->models.end(),
                         [&](const auto& item) { return capacity->can_hold(item.name, ""); });
        if (model == capacity->models.end()) {
            continue;
        }
        const adapter_name name{model->name, ""};
        auto& held = engine.copies[name];
        held.state = copy_state::loading;
        held.next_poll_at = core::time_point::max();
        m_next_model_load_at =
            now + std::chrono::duration_cast<core::duration>(
                      std::chrono::duration<double>{1.0 / capacity->loads_per_second});
        orders.push_back(create_order(engine, name, 0, false, now));
        held.load_order = orders.back().id;
    }
}

} // namespace siskindrift::adapters
