#include "siskindrift/requests/owner.h"

#include <algorithm>
#include <utility>

namespace siskindrift::requests {

using core::outcome;
using core::reason;
using core::verdict;
using engines::engine_action;

namespace {

constexpr std::string_view end_marker = "[DONE]";

bool refused_before_running(std::uint16_t status)
{
    return status == 404 || status == 409 || status == 429 || status == 503;
}

} // namespace

owner::owner(entry_context& context, peer_sender& peers, permit_sender& permits)
    : m_context(context), m_peers(peers), m_permits(permits),
      m_fates(context.options.tombstone_life)
{
}

bool owner::is_service(const work& entry) const
{
    return entry.order.adapter.empty();
}

owner::work* owner::find_by_call(call_id call)
{
    const auto found = m_by_call.find(call);
    return found == m_by_call.end() ? nullptr : &m_works.at(found->second);
}

std::optional<reason> owner::admission_fault(const wire::dispatch_t& order) const
{
    const core::upstream_id upstream{order.upstream};
    if (order.owner_incarnation != m_context.self.incarnation) {
        return reason::vm_restarted;
    }
    if (!m_engines.contains(upstream) || m_handing_over.contains(upstream)) {
        return m_context.draining ? reason::vm_draining : reason::not_owner;
    }
    if (!m_context.lease_valid()) {
        return reason::lease_expired;
    }
    if (!m_context.config_confirmed()) {
        return reason::config_unconfirmed;
    }
    const auto* record = m_context.registry.find(upstream);
    const bool leaving =
        record != nullptr && record->last_announcement.state == wire::upstream_state::leaving;
    if (leaving || m_context.catalog.drained(upstream)) {
        return reason::upstream_leaving;
    }
    if (!m_context.registry.is_admissible(upstream, m_context.now())) {
        return reason::upstream_stale;
    }
    if (!order.adapter.empty() &&
        !m_context.catalog.may_use(core::team_id{order.team},
                                   core::adapter_version{order.adapter})) {
        return reason::unknown_model;
    }
    return std::nullopt;
}

void owner::on_dispatch(const std::string& from, const wire::dispatch_t& order)
{
    const attempt_key key{order.request_id, order.attempt};
    const auto now = m_context.now();
    const auto fate = m_fates.of(key);
    if (fate == attempt_fate::started || m_by_attempt.contains(key)) {
        return; // a copy of what is being worked on
    }
    if (fate == attempt_fate::abandoned || fate == attempt_fate::not_run) {
        refuse(from, order, reason::abandoned);
        return;
    }
    if (const auto fault = admission_fault(order)) {
        refuse(from, order, *fault);
        return;
    }
    const core::upstream_id upstream{order.upstream};
    const auto id = m_next_work++;
    engines::queued_work queued;
    queued.id = id;
    queued.adapter = core::adapter_version{order.adapter};
    queued.team = core::team_id{order.team};
    queued.priority = order.priority;
    queued.share = order.weight;
    queued.cost = std::max(1U, order.max_tokens);
    queued.arrived = now;
    queued.deadline = now + core::milliseconds{order.deadline_ms};
    auto& engine = *m_engines.at(upstream);
    if (const auto fault = engine.enqueue(queued, now)) {
        refuse(from, order, *fault,
               static_cast<std::uint32_t>(core::to_ms(engine.expected_wait()) / 2 + 100));
        return;
    }
    work entry;
    entry.id = id;
    entry.ingress = from;
    entry.order = order;
    entry.upstream = upstream;
    entry.upstream_incarnation = engine.incarnation();
    entry.arrived = now;
    entry.deadline = queued.deadline;
    entry.last_word = now;
    m_by_attempt[key] = id;
    auto& stored = m_works.emplace(id, std::move(entry)).first->second;
    wire::dispatch_reply_t word;
    word.event = wire::dispatch_event::queued;
    reply(stored, std::move(word));
    run(upstream);
}

void owner::refuse(const std::string& to, const wire::dispatch_t& order, reason why,
                   std::uint32_t retry_after_ms)
{
    m_context.out.count_reason(why);
    if (order.owner_incarnation == m_context.self.incarnation) {
        m_fates.set({order.request_id, order.attempt}, attempt_fate::not_run, m_context.now());
    }
    wire::dispatch_reply_t message;
    message.request_id = order.request_id;
    message.attempt = order.attempt;
    // The answer is for the process that was asked; it says that this one did nothing.
    message.owner_incarnation = order.owner_incarnation;
    message.ingress_incarnation = order.ingress_incarnation;
    message.event = wire::dispatch_event::refused;
    message.verdict = static_cast<std::uint8_t>(verdict::not_run);
    message.reason = static_cast<std::uint16_t>(why);
    message.retry_after_ms = retry_after_ms;
    m_peers.send(to, wire::make_envelope(std::move(message)));
}

void owner::reply(work& entry, wire::dispatch_reply_t message)
{
    message.request_id = entry.order.request_id;
    message.attempt = entry.order.attempt;
    message.owner_incarnation = m_context.self.incarnation;
    message.ingress_incarnation = entry.order.ingress_incarnation;
    const bool answer = message.event == wire::dispatch_event::piece ||
                        message.event == wire::dispatch_event::finished;
    if (answer && !entry.order.idempotent) {
        entry.told_bytes += message.data.size();
        if (entry.told_bytes <= m_context.options.kept_answer_bytes) {
            entry.told.push_back(message);
        }
    }
    m_peers.send(entry.ingress, wire::make_envelope(std::move(message)));
}

void owner::tell_again(const std::string& to, const std::vector<wire::dispatch_reply_t>& told)
{
    for (const auto& message : told) {
        m_peers.send(to, wire::make_envelope(message));
    }
}

void owner::forget_outcomes(core::time_point now)
{
    std::erase_if(m_outcomes, [&](const auto& item) {
        return now - item.second.since > m_context.options.keep_outcomes;
    });
}

void owner::on_abandon(const std::string& from, const wire::abandon_t& order)
{
    const attempt_key key{order.request_id, order.attempt};
    const auto now = m_context.now();
    wire::abandon_reply_t answer;
    answer.request_id = order.request_id;
    answer.attempt = order.attempt;
    answer.owner_incarnation = m_context.self.incarnation;
    if (order.owner_incarnation == m_context.self.incarnation) {
        const auto found = m_by_attempt.find(key);
        if (found != m_by_attempt.end()) {
            auto& entry = m_works.at(found->second);
            if (entry.call == 0) {
                m_engines.at(entry.upstream)->cancel_waiting(entry.id);
                m_fates.set(key, attempt_fate::abandoned, now);
                m_works.erase(found->second);
                m_by_attempt.erase(found);
            }
            else if (order.cancel) {
                m_context.out.cancel_call(entry.call);
                fail(entry, {verdict::may_have_run, reason::abandoned});
            }
            else {
                tell_again(from, entry.told);
            }
        }
        else if (const auto kept = m_outcomes.find(key); kept != m_outcomes.end()) {
            tell_again(from, kept->second.told);
        }
        else if (m_fates.of(key) == attempt_fate::unseen) {
            m_fates.set(key, attempt_fate::abandoned, now);
        }
        answer.tombstoned =
            m_fates.of(key) == attempt_fate::abandoned || m_fates.of(key) == attempt_fate::not_run;
    }
    m_peers.send(from, wire::make_envelope(std::move(answer)));
}

void owner::run(const core::upstream_id& upstream)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end()) {
        return;
    }
    const bool may_order = m_context.lease_valid() &&
                           m_context.registry.is_admissible(upstream, m_context.now()) &&
                           !m_handing_over.contains(upstream);
    if (!may_order) {
        return;
    }
    for (const auto& action : found->second->step(m_context.now())) {
        perform(upstream, action);
    }
}

void owner::perform(const core::upstream_id& upstream, const engine_action& action)
{
    switch (action.type) {
    case engine_action::kind::start:
        start(m_works.at(action.work));
        break;
    case engine_action::kind::refuse: {
        auto& entry = m_works.at(action.work);
        end(entry, {verdict::not_run, action.refusal_reason}, wire::dispatch_event::refused);
        break;
    }
    case engine_action::kind::load:
    case engine_action::kind::unload:
        order(upstream, action);
        break;
    case engine_action::kind::request_permit:
        m_permits.ask_permit(upstream, action.adapter.value(), action.benefit);
        break;
    case engine_action::kind::return_permit:
        m_permits.return_permit(action.permit);
        break;
    }
}

void owner::start(work& entry)
{
    const auto now = m_context.now();
    m_fates.set({entry.order.request_id, entry.order.attempt}, attempt_fate::started, now);
    upstream_call call;
    call.id = m_context.next_call++;
    call.address = m_context.registry.find(entry.upstream)->last_announcement.address;
    call.method = entry.order.method;
    call.path = entry.order.path;
    call.content_type = entry.order.content_type;
    call.body = entry.order.body;
    call.repeatable = entry.order.idempotent;
    call.headers = {
        {"X-Request-Id", entry.order.request_id + "." + std::to_string(entry.order.attempt)},
        {"Siskindrift-Fencing", std::to_string(m_fencing[entry.upstream])}};
    if (!entry.order.key.empty()) {
        call.headers.emplace_back("Idempotency-Key", entry.order.key);
    }
    call.head_timeout = is_service(entry)
                            ? std::max(core::duration{core::milliseconds{1}}, entry.deadline - now)
                            : m_context.options.head_limit;
    call.progress_timeout = m_context.options.progress_limit;
    entry.call = call.id;
    m_by_call[call.id] = entry.id;
    wire::dispatch_reply_t word;
    word.event = wire::dispatch_event::started;
    word.stall_ms = static_cast<std::uint32_t>(core::to_ms(now - entry.arrived));
    reply(entry, std::move(word));
    m_context.out.observe_ms("siskindrift_wait_ms",
                             static_cast<double>(core::to_ms(now - entry.arrived)));
    m_context.out.start_call(std::move(call));
}
void owner::on_call_head(call_id call, const call_head& head)
{
    if (const auto found = m_orders.find(call); found != m_orders.end()) {
        found->second.status = head.status;
        return;
    }
    auto* entry = find_by_call(call);
    if (entry == nullptr) {
        return;
    }
    entry->status = head.status;
    entry->content_type = head.content_type;
    const auto expected = entry->order.request_id + "." + std::to_string(entry->order.attempt);
    const bool echoed =
        head.request_id == expected || (is_service(*entry) && head.request_id.empty());
    const bool refused = is_service(*entry)
                             ? (head.status == 429 || head.status == 503) && head.retry_after
                             : refused_before_running(head.status);
    if (refused && (echoed || head.request_id.empty())) {
        m_context.out.cancel_call(call);
        entry->engine_done = true;
        const auto why = head.status == 409 ? reason::not_owner : reason::upstream_refused;
        fail(*entry, {verdict::not_run, why});
    }
    else if (!echoed) {
        m_context.out.cancel_call(call);
        fail(*entry, {verdict::may_have_run, reason::answer_crossed});
    }
    else if (!is_service(*entry) && head.status != 200) {
        m_context.out.cancel_call(call);
        const bool bad = head.status == 400 || head.status == 422;
        fail(*entry, bad ? outcome{verdict::not_run, reason::bad_request}
                         : outcome{verdict::may_have_run, reason::upstream_error});
    }
    else {
        entry->head_ok = true;
    }
}

void owner::on_call_data(call_id call, const std::string& bytes)
{
    auto* entry = find_by_call(call);
    if (entry == nullptr || !entry->head_ok) {
        return;
    }
    if (!is_service(*entry)) {
        take_model_bytes(*entry, bytes);
        return;
    }
    wire::dispatch_reply_t piece;
    piece.event = wire::dispatch_event::piece;
    piece.offset = static_cast<std::uint32_t>(entry->offset);
    piece.data = bytes;
    entry->offset += bytes.size();
    reply(*entry, std::move(piece));
}

void owner::take_model_bytes(work& entry, const std::string& bytes)
{
    const auto call = entry.call;
    for (const auto& data : entry.events.feed(bytes)) {
        if (!take_model_event(entry, data)) {
            m_context.out.cancel_call(call);
            return;
        }
    }
    if (entry.events.overflown()) {
        m_context.out.cancel_call(call);
        fail(entry, {verdict::may_have_run, reason::upstream_error});
    }
}

bool owner::take_model_event(work& entry, const std::string& data)
{
    if (data == end_marker) {
        entry.finished_marker = true;
        return true;
    }
    const auto event = parse_model_event(data);
    if (!event) {
        fail(entry, {verdict::may_have_run, reason::upstream_error});
        return false;
    }
    if (event->model != entry.order.adapter) {
        fail(entry, {verdict::may_have_run, reason::answer_wrong_adapter});
        return false;
    }
    entry.model_checked = true;
    if (event->text.empty()) {
        return true;
    }
    wire::dispatch_reply_t piece;
    piece.event = wire::dispatch_event::piece;
    piece.offset = static_cast<std::uint32_t>(entry.offset);
    piece.data = event->text;
    entry.offset += event->text.size();
    reply(entry, std::move(piece));
    return true;
}

void owner::on_call_end(call_id call, call_end how)
{
    if (const auto found = m_orders.find(call); found != m_orders.end()) {
        auto entry = std::move(found->second);
        m_orders.erase(found);
        end_order(entry, how);
        return;
    }
    auto* entry = find_by_call(call);
    if (entry == nullptr) {
        return;
    }
    entry->engine_done = how == call_end::complete || how == call_end::not_sent;
    switch (how) {
    case call_end::not_sent:
        fail(*entry, {verdict::not_run, reason::upstream_unreachable});
        return;
    case call_end::lost:
        fail(*entry, {verdict::may_have_run, reason::upstream_lost});
        return;
    case call_end::silent:
        fail(*entry, {verdict::may_have_run, reason::upstream_silent});
        return;
    case call_end::complete:
        break;
    }
    const bool whole =
        entry->head_ok && (is_service(*entry) || (entry->finished_marker && entry->model_checked));
    if (whole) {
        end(*entry, {verdict::ran, reason::none}, wire::dispatch_event::finished);
    }
    else {
        fail(*entry, {verdict::may_have_run, reason::answer_incomplete});
    }
}
void owner::fail(work& entry, outcome result)
{
    const bool refused = result.verdict == verdict::not_run;
    end(entry, result, refused ? wire::dispatch_event::refused : wire::dispatch_event::finished);
}

void owner::end(work& entry, outcome result, wire::dispatch_event event)
{
    const auto now = m_context.now();
    if (result.verdict != verdict::ran) {
        m_context.out.count_reason(result.reason);
    }
    const attempt_key key{entry.order.request_id, entry.order.attempt};
    if (entry.call == 0) {
        m_fates.set(key, attempt_fate::not_run, now);
    }
    wire::dispatch_reply_t message;
    message.event = event;
    message.verdict = static_cast<std::uint8_t>(result.verdict);
    message.reason = static_cast<std::uint16_t>(result.reason);
    message.offset = static_cast<std::uint32_t>(entry.offset);
    message.status = entry.status;
    message.content_type = entry.content_type;
    reply(entry, std::move(message));
    const auto upstream = entry.upstream;
    const auto id = entry.id;
    if (const auto engine = m_engines.find(upstream);
        engine != m_engines.end() && engine->second->incarnation() == entry.upstream_incarnation) {
        engine->second->finish(id, entry.engine_done, now);
    }
    if (!entry.told.empty() && result.verdict == verdict::ran) {
        m_outcomes[key] = {now, std::move(entry.told)};
    }
    m_by_call.erase(entry.call);
    m_by_attempt.erase(key);
    m_works.erase(id);
    run(upstream);
}

void owner::on_permit(const core::upstream_id& upstream, std::optional<std::uint64_t> permit)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end()) {
        if (permit) {
            m_permits.return_permit(*permit);
        }
        return;
    }
    if (permit) {
        found->second->on_permit_granted(*permit, m_context.now());
    }
    else {
        found->second->on_permit_denied(m_context.now());
    }
    run(upstream);
}
void owner::tick()
{
    const auto now = m_context.now();
    m_fates.forget_old(now);
    forget_outcomes(now);
    std::vector<engines::work_id> late;
    std::vector<call_id> overdue;
    for (auto& [id, entry] : m_works) {
        const bool stuck =
            !m_context.lease_valid() || !m_context.registry.is_admissible(entry.upstream, now);
        if (entry.call == 0 && (stuck || now >= entry.deadline)) {
            late.push_back(id);
        }
        else if (entry.call != 0 && now >= entry.deadline && entry.order.idempotent) {
            overdue.push_back(entry.call);
        }
        else if (entry.call == 0 && now - entry.last_word > m_context.options.queued_word_every) {
            entry.last_word = now;
            wire::dispatch_reply_t word;
            word.event = wire::dispatch_event::queued;
            reply(entry, std::move(word));
        }
    }
    for (const auto id : late) {
        const auto found = m_works.find(id);
        if (found == m_works.end() || found->second.call != 0) {
            continue;
        }
        auto& entry = found->second;
        if (const auto engine = m_engines.find(entry.upstream); engine != m_engines.end()) {
            engine->second->cancel_waiting(id);
        }
        const auto why = now >= entry.deadline      ? reason::deadline_passed
                         : !m_context.lease_valid() ? reason::lease_expired
                                                    : reason::upstream_stale;
        end(entry, {verdict::not_run, why}, wire::dispatch_event::refused);
    }
    for (const auto call : overdue) {
        if (auto* entry = find_by_call(call)) {
            m_context.out.cancel_call(call);
            fail(*entry, {verdict::may_have_run, reason::deadline_passed});
        }
    }
    std::vector<core::upstream_id> owned;
    for (const auto& [upstream, engine] : m_engines) {
        owned.push_back(upstream);
    }
    for (const auto& upstream : owned) {
        run(upstream);
    }
}

} // namespace siskindrift::requests
