// Admission, execution and replies of attempts on owned upstreams.
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

// Statuses with which an engine refuses a request before it runs any of it.
bool refused_before_running(std::uint16_t status)
{
    return status == 404 || status == 409 || status == 429 || status == 503;
}

} // namespace

owner::owner(entry_context& context, peer_sender& peers, permit_sender& permits)
    : m_context(context), m_peers(peers), m_permits(permits),
      m_attempt_states(context.options.tombstone_ttl)
{
}

bool owner::is_service(const work_item& item) const
{
    return item.dispatch.adapter.empty();
}

owner::work_item* owner::find_by_call(call_id call)
{
    const auto found = m_by_call.find(call);
    return found == m_by_call.end() ? nullptr : &m_work_items.at(found->second);
}

std::optional<reason> owner::check_admission(const wire::dispatch_t& dispatch) const
{
    const core::upstream_id upstream{dispatch.upstream};
    if (dispatch.owner_incarnation != m_context.self.incarnation) {
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
    if (!dispatch.adapter.empty() &&
        !m_context.catalog.may_use(core::team_id{dispatch.team},
                                   core::adapter_version{dispatch.adapter})) {
        return reason::unknown_model;
    }
    return std::nullopt;
}

void owner::on_dispatch(const std::string& from, const wire::dispatch_t& dispatch)
{
    const attempt_key key{dispatch.request_id, dispatch.attempt};
    const auto now = m_context.now();
    const auto state = m_attempt_states.state_of(key);
    if (state == attempt_state::started || m_by_attempt.contains(key)) {
        return; // duplicate of an attempt that is queued or has started
    }
    if (state == attempt_state::abandoned || state == attempt_state::not_run) {
        refuse(from, dispatch, reason::abandoned);
        return;
    }
    if (const auto fault = check_admission(dispatch)) {
        refuse(from, dispatch, *fault);
        return;
    }
    const core::upstream_id upstream{dispatch.upstream};
    const auto id = m_next_work_id++;
    engines::queued_work queued;
    queued.id = id;
    queued.adapter = core::adapter_version{dispatch.adapter};
    queued.team = core::team_id{dispatch.team};
    queued.priority = dispatch.priority;
    queued.weight = dispatch.weight;
    queued.cost = std::max(1U, dispatch.max_tokens);
    queued.arrived = now;
    queued.deadline = now + core::milliseconds{dispatch.deadline_ms};
    auto& engine = *m_engines.at(upstream);
    if (const auto fault = engine.enqueue(queued, now)) {
        refuse(from, dispatch, *fault,
               static_cast<std::uint32_t>(core::to_ms(engine.expected_wait()) / 2 + 100));
        return;
    }
    work_item item;
    item.id = id;
    item.ingress = from;
    item.dispatch = dispatch;
    item.upstream = upstream;
    item.upstream_incarnation = engine.incarnation();
    item.arrived = now;
    item.deadline = queued.deadline;
    item.last_queued_reply_at = now;
    m_by_attempt[key] = id;
    auto& stored = m_work_items.emplace(id, std::move(item)).first->second;
    wire::dispatch_reply_t message;
    message.event = wire::dispatch_event::queued;
    reply(stored, std::move(message));
    run_engine(upstream);
}

void owner::refuse(const std::string& to, const wire::dispatch_t& dispatch, reason why,
                   std::uint32_t retry_after_ms)
{
    m_context.out.count_reason(why);
    if (dispatch.owner_incarnation == m_context.self.incarnation) {
        m_attempt_states.set({dispatch.request_id, dispatch.attempt}, attempt_state::not_run,
                             m_context.now());
    }
    wire::dispatch_reply_t message;
    message.request_id = dispatch.request_id;
    message.attempt = dispatch.attempt;
    // Echoes the addressed incarnation, so that the ingress matches the reply to its attempt even
    // when that process was replaced by this one.
    message.owner_incarnation = dispatch.owner_incarnation;
    message.ingress_incarnation = dispatch.ingress_incarnation;
    message.event = wire::dispatch_event::refused;
    message.verdict = static_cast<std::uint8_t>(verdict::not_run);
    message.reason = static_cast<std::uint16_t>(why);
    message.retry_after_ms = retry_after_ms;
    m_peers.send(to, wire::make_envelope(std::move(message)));
}

void owner::reply(work_item& item, wire::dispatch_reply_t message)
{
    message.request_id = item.dispatch.request_id;
    message.attempt = item.dispatch.attempt;
    message.owner_incarnation = m_context.self.incarnation;
    message.ingress_incarnation = item.dispatch.ingress_incarnation;
    const bool carries_result = message.event == wire::dispatch_event::piece ||
                                message.event == wire::dispatch_event::finished;
    if (carries_result && !item.dispatch.idempotent) {
        item.sent_reply_bytes += message.data.size();
        if (item.sent_reply_bytes <= m_context.options.max_kept_response_bytes) {
            item.sent_replies.push_back(message);
        }
    }
    m_peers.send(item.ingress, wire::make_envelope(std::move(message)));
}

void owner::resend_replies(const std::string& to,
                           const std::vector<wire::dispatch_reply_t>& sent_replies)
{
    for (const auto& message : sent_replies) {
        m_peers.send(to, wire::make_envelope(message));
    }
}

void owner::remove_expired_outcomes(core::time_point now)
{
    std::erase_if(m_outcomes, [&](const auto& item) {
        return now - item.second.since > m_context.options.outcome_retention;
    });
}

void owner::on_abandon(const std::string& from, const wire::abandon_t& abandon)
{
    const attempt_key key{abandon.request_id, abandon.attempt};
    const auto now = m_context.now();
    wire::abandon_reply_t message;
    message.request_id = abandon.request_id;
    message.attempt = abandon.attempt;
    message.owner_incarnation = m_context.self.incarnation;
    if (abandon.owner_incarnation == m_context.self.incarnation) {
        const auto found = m_by_attempt.find(key);
        if (found != m_by_attempt.end()) {
            auto& item = m_work_items.at(found->second);
            if (item.call == 0) {
                m_engines.at(item.upstream)->cancel_waiting(item.id);
                m_attempt_states.set(key, attempt_state::abandoned, now);
                m_work_items.erase(found->second);
                m_by_attempt.erase(found);
            }
            else if (abandon.cancel) {
                m_context.out.cancel_call(item.call);
                fail_work(item, {verdict::may_have_run, reason::abandoned});
            }
            else {
                resend_replies(from, item.sent_replies);
            }
        }
        else if (const auto kept = m_outcomes.find(key); kept != m_outcomes.end()) {
            resend_replies(from, kept->second.sent_replies);
        }
        else if (m_attempt_states.state_of(key) == attempt_state::unknown) {
            m_attempt_states.set(key, attempt_state::abandoned, now);
        }
        message.tombstoned = m_attempt_states.state_of(key) == attempt_state::abandoned ||
                             m_attempt_states.state_of(key) == attempt_state::not_run;
    }
    m_peers.send(from, wire::make_envelope(std::move(message)));
}

void owner::run_engine(const core::upstream_id& upstream)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end()) {
        return;
    }
    const bool may_act = m_context.lease_valid() &&
                         m_context.registry.is_admissible(upstream, m_context.now()) &&
                         !m_handing_over.contains(upstream);
    if (!may_act) {
        return;
    }
    for (const auto& action : found->second->step(m_context.now())) {
        perform_action(upstream, action);
    }
}

void owner::perform_action(const core::upstream_id& upstream, const engine_action& action)
{
    switch (action.type) {
    case engine_action::kind::start:
        start_call(m_work_items.at(action.work));
        break;
    case engine_action::kind::refuse: {
        auto& item = m_work_items.at(action.work);
        finish_work(item, {verdict::not_run, action.refusal_reason}, wire::dispatch_event::refused);
        break;
    }
    case engine_action::kind::load:
    case engine_action::kind::unload:
        send_engine_order(upstream, action);
        break;
    case engine_action::kind::request_permit:
        m_permits.ask_permit(upstream, action.adapter.value(), action.benefit);
        break;
    case engine_action::kind::return_permit:
        m_permits.return_permit(action.permit);
        break;
    }
}

void owner::start_call(work_item& item)
{
    const auto now = m_context.now();
    m_attempt_states.set({item.dispatch.request_id, item.dispatch.attempt}, attempt_state::started,
                         now);
    upstream_call call;
    call.id = m_context.next_call++;
    call.address = m_context.registry.find(item.upstream)->last_announcement.address;
    call.method = item.dispatch.method;
    call.path = item.dispatch.path;
    call.content_type = item.dispatch.content_type;
    call.body = item.dispatch.body;
    call.repeatable = item.dispatch.idempotent;
    call.headers = {
        {"X-Request-Id", item.dispatch.request_id + "." + std::to_string(item.dispatch.attempt)},
        {"Siskindrift-Fencing", std::to_string(m_fencing_tokens[item.upstream])}};
    if (!item.dispatch.key.empty()) {
        call.headers.emplace_back("Idempotency-Key", item.dispatch.key);
    }
    call.head_timeout = m_context.options.head_timeout;
    if (is_service(item)) {
        call.head_timeout = std::max<core::duration>(core::milliseconds{1}, item.deadline - now);
        call.total_timeout = call.head_timeout;
    }
    call.progress_timeout = m_context.options.progress_timeout;
    item.call = call.id;
    m_by_call[call.id] = item.id;
    wire::dispatch_reply_t message;
    message.event = wire::dispatch_event::started;
    message.stall_ms = static_cast<std::uint32_t>(core::to_ms(now - item.arrived));
    reply(item, std::move(message));
    m_context.out.observe_ms("siskindrift_wait_ms",
                             static_cast<double>(core::to_ms(now - item.arrived)));
    m_context.out.start_call(std::move(call));
}

void owner::on_call_head(call_id call, const call_head& head)
{
    if (const auto found = m_engine_orders.find(call); found != m_engine_orders.end()) {
        found->second.status = head.status;
        return;
    }
    auto* item = find_by_call(call);
    if (item == nullptr) {
        return;
    }
    item->status = head.status;
    item->content_type = head.content_type;
    const auto expected = item->dispatch.request_id + "." + std::to_string(item->dispatch.attempt);
    const bool echoed =
        head.request_id == expected || (is_service(*item) && head.request_id.empty());
    const bool refused = is_service(*item)
                             ? (head.status == 429 || head.status == 503) && head.retry_after
                             : refused_before_running(head.status);
    if (refused && (echoed || head.request_id.empty())) {
        m_context.out.cancel_call(call);
        item->engine_done = true;
        const auto why = head.status == 409 ? reason::not_owner : reason::upstream_refused;
        fail_work(*item, {verdict::not_run, why});
    }
    else if (!echoed) {
        m_context.out.cancel_call(call);
        fail_work(*item, {verdict::may_have_run, reason::answer_crossed});
    }
    else if (!is_service(*item) && head.status != 200) {
        m_context.out.cancel_call(call);
        const bool bad = head.status == 400 || head.status == 422;
        fail_work(*item, bad ? outcome{verdict::not_run, reason::bad_request}
                             : outcome{verdict::may_have_run, reason::upstream_error});
    }
    else {
        item->head_accepted = true;
        if (is_service(*item) && http::is_event_stream(head.content_type)) {
            item->service_events.emplace();
        }
    }
}

void owner::on_call_data(call_id call, const std::string& bytes)
{
    auto* item = find_by_call(call);
    if (item == nullptr || !item->head_accepted) {
        return;
    }
    if (!is_service(*item)) {
        on_model_bytes(*item, bytes);
        return;
    }
    if (item->service_events) {
        item->service_events->feed(bytes);
    }
    wire::dispatch_reply_t piece;
    piece.event = wire::dispatch_event::piece;
    piece.offset = static_cast<std::uint32_t>(item->offset);
    piece.data = bytes;
    item->offset += bytes.size();
    reply(*item, std::move(piece));
}

void owner::on_model_bytes(work_item& item, const std::string& bytes)
{
    const auto call = item.call;
    for (const auto& data : item.events.feed(bytes)) {
        if (!on_model_event(item, data)) {
            m_context.out.cancel_call(call);
            return;
        }
    }
    if (item.events.exceeds_event_limit()) {
        m_context.out.cancel_call(call);
        fail_work(item, {verdict::may_have_run, reason::upstream_error});
    }
}

bool owner::on_model_event(work_item& item, const std::string& data)
{
    if (data == end_marker) {
        item.end_marker_seen = true;
        return true;
    }
    const auto event = parse_model_event(data);
    if (!event) {
        fail_work(item, {verdict::may_have_run, reason::upstream_error});
        return false;
    }
    if (event->model != item.dispatch.adapter) {
        fail_work(item, {verdict::may_have_run, reason::answer_wrong_adapter});
        return false;
    }
    item.model_verified = true;
    if (event->text.empty()) {
        return true;
    }
    wire::dispatch_reply_t piece;
    piece.event = wire::dispatch_event::piece;
    piece.offset = static_cast<std::uint32_t>(item.offset);
    piece.data = event->text;
    item.offset += event->text.size();
    reply(item, std::move(piece));
    return true;
}

void owner::on_call_end(call_id call, call_end how)
{
    if (const auto found = m_engine_orders.find(call); found != m_engine_orders.end()) {
        auto order = std::move(found->second);
        m_engine_orders.erase(found);
        finish_engine_order(order, how);
        return;
    }
    auto* item = find_by_call(call);
    if (item == nullptr) {
        return;
    }
    item->engine_done =
        how == call_end::complete || how == call_end::closed || how == call_end::not_sent;
    switch (how) {
    case call_end::not_sent:
        fail_work(*item, {verdict::not_run, reason::upstream_unreachable});
        return;
    case call_end::lost:
        fail_work(*item, {verdict::may_have_run, reason::upstream_lost});
        return;
    case call_end::silent:
        fail_work(*item, {verdict::may_have_run, reason::upstream_silent});
        return;
    case call_end::complete:
    case call_end::closed:
        break;
    }
    const bool whole =
        item->head_accepted && (is_service(*item) ? service_answer_may_end(*item, how)
                                                  : item->end_marker_seen && item->model_verified);
    if (whole) {
        finish_work(*item, {verdict::ran, reason::none}, wire::dispatch_event::finished);
    }
    else {
        fail_work(*item, {verdict::may_have_run, reason::answer_incomplete});
    }
}

bool owner::service_answer_may_end(const work_item& item, call_end how)
{
    const bool marked = how == call_end::complete;
    return !item.service_events || item.service_events->may_end(marked);
}

void owner::fail_work(work_item& item, outcome result)
{
    const bool refused = result.verdict == verdict::not_run;
    finish_work(item, result,
                refused ? wire::dispatch_event::refused : wire::dispatch_event::finished);
}

void owner::finish_work(work_item& item, outcome result, wire::dispatch_event event)
{
    const auto now = m_context.now();
    if (result.verdict != verdict::ran) {
        m_context.out.count_reason(result.reason);
    }
    const attempt_key key{item.dispatch.request_id, item.dispatch.attempt};
    if (item.call == 0) {
        m_attempt_states.set(key, attempt_state::not_run, now);
    }
    wire::dispatch_reply_t message;
    message.event = event;
    message.verdict = static_cast<std::uint8_t>(result.verdict);
    message.reason = static_cast<std::uint16_t>(result.reason);
    message.offset = static_cast<std::uint32_t>(item.offset);
    message.status = item.status;
    message.content_type = item.content_type;
    reply(item, std::move(message));
    const auto upstream = item.upstream;
    const auto id = item.id;
    if (const auto engine = m_engines.find(upstream);
        engine != m_engines.end() && engine->second->incarnation() == item.upstream_incarnation) {
        engine->second->finish(id, item.engine_done, now);
    }
    if (!item.sent_replies.empty() && result.verdict == verdict::ran) {
        m_outcomes[key] = {now, std::move(item.sent_replies)};
    }
    m_by_call.erase(item.call);
    m_by_attempt.erase(key);
    m_work_items.erase(id);
    run_engine(upstream);
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
    run_engine(upstream);
}

void owner::tick()
{
    const auto now = m_context.now();
    m_attempt_states.remove_expired(now);
    remove_expired_outcomes(now);
    std::vector<engines::work_id> to_refuse;
    std::vector<call_id> overdue;
    for (auto& [id, item] : m_work_items) {
        const bool stuck =
            !m_context.lease_valid() || !m_context.registry.is_admissible(item.upstream, now);
        if (item.call == 0 && (stuck || now >= item.deadline)) {
            to_refuse.push_back(id);
        }
        else if (item.call != 0 && now >= item.deadline && item.dispatch.idempotent) {
            overdue.push_back(item.call);
        }
        else if (item.call == 0 &&
                 now - item.last_queued_reply_at > m_context.options.queued_reply_interval) {
            item.last_queued_reply_at = now;
            wire::dispatch_reply_t message;
            message.event = wire::dispatch_event::queued;
            reply(item, std::move(message));
        }
    }
    for (const auto id : to_refuse) {
        const auto found = m_work_items.find(id);
        if (found == m_work_items.end() || found->second.call != 0) {
            continue;
        }
        auto& item = found->second;
        if (const auto engine = m_engines.find(item.upstream); engine != m_engines.end()) {
            engine->second->cancel_waiting(id);
        }
        const auto why = now >= item.deadline       ? reason::deadline_passed
                         : !m_context.lease_valid() ? reason::lease_expired
                                                    : reason::upstream_stale;
        finish_work(item, {verdict::not_run, why}, wire::dispatch_event::refused);
    }
    for (const auto call : overdue) {
        if (auto* item = find_by_call(call)) {
            m_context.out.cancel_call(call);
            fail_work(*item, {verdict::may_have_run, reason::deadline_passed});
        }
    }
    std::vector<core::upstream_id> owned;
    for (const auto& [upstream, engine] : m_engines) {
        owned.push_back(upstream);
    }
    for (const auto& upstream : owned) {
        run_engine(upstream);
    }
}

} // namespace siskindrift::requests
