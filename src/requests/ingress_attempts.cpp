// Placement, dispatch and completion of the attempts of open requests.
#include <algorithm>
#include <utility>

#include "siskindrift/requests/ingress.h"

namespace siskindrift::requests {

using core::outcome;
using core::reason;
using core::verdict;

namespace {

// Refusals caused by an outdated view of owners and upstreams. No work was done, so the request
// is placed again without using the retry budget.
bool is_routing_refusal(reason why)
{
    switch (why) {
    case reason::not_owner:
    case reason::lease_expired:
    case reason::vm_restarted:
    case reason::vm_draining:
    case reason::upstream_restarted:
    case reason::upstream_stale:
    case reason::upstream_leaving:
        return true;
    default:
        return false;
    }
}

bool is_final_refusal(reason why)
{
    return why == reason::bad_request || why == reason::deadline_passed ||
           why == reason::forbidden || why == reason::unknown_model;
}

} // namespace

bool ingress::matches(const membership::upstream_record& record, const open_request& open) const
{
    const auto& request = open.request;
    if (request.kind == route::service) {
        return record.last_announcement.kind == wire::upstream_kind::service &&
               record.last_announcement.service == request.service;
    }
    return record.last_announcement.kind == wire::upstream_kind::engine &&
           record.last_announcement.base_model == m_context.catalog.base_model_of(request.adapter);
}

bool ingress::is_usable(const core::upstream_id& id, const open_request& open) const
{
    if (m_context.catalog.drained(id)) {
        return false;
    }
    if (open.excluded_upstreams.contains(id) ||
        !m_context.registry.is_admissible(id, m_context.now())) {
        return false;
    }
    const auto owned = m_context.owners.find(id.value());
    if (owned == m_context.owners.end() || owned->second.vm.empty()) {
        return false;
    }
    const auto vm = m_context.vms.find(owned->second.vm);
    return vm != m_context.vms.end() && vm->second.incarnation == owned->second.incarnation &&
           m_peers.reachable(owned->second.vm);
}

std::optional<core::upstream_id> ingress::choose_upstream(const open_request& open)
{
    std::vector<const routing::engine_status*> candidates;
    for (const auto& [id, record] : m_context.registry.all()) {
        if (!matches(record, open) || !is_usable(id, open)) {
            continue;
        }
        auto& view = m_engine_views[id];
        view.id = id;
        view.base_model = record.last_announcement.base_model;
        view.slots = std::max(1U, record.last_announcement.slots);
        view.batch = std::max(1U, record.last_announcement.batch);
        candidates.push_back(&view);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (open.request.kind == route::service) {
        return routing::least_loaded_placement{}.choose(open.request.adapter, candidates);
    }
    return m_placement->choose(open.request.adapter, candidates);
}

void ingress::place(open_request& open)
{
    open.current_phase = phase::placing;
    const auto now = m_context.now();
    auto chosen = choose_upstream(open);
    if (!chosen && !open.excluded_upstreams.empty()) {
        open.excluded_upstreams.clear();
        chosen = choose_upstream(open);
    }
    if (chosen) {
        dispatch(open, *chosen);
        return;
    }
    if (now >= open.deadline || now - open.placing_since >= m_context.options.placement_timeout) {
        const auto why = open.last_outcome.reason == reason::none ? reason::no_upstream
                                                                  : open.last_outcome.reason;
        complete(open, {verdict::not_run, why}, 503, "", "", "no upstream can take the request");
        return;
    }
    open.retry_at = now + m_context.options.placement_retry_interval;
}

void ingress::dispatch(open_request& open, const core::upstream_id& upstream)
{
    const auto now = m_context.now();
    const auto& owned = m_context.owners.at(upstream.value());
    auto& current = open.current;
    ++current.number;
    current.vm = owned.vm;
    current.vm_incarnation = owned.incarnation;
    current.upstream = upstream;
    current.last_progress = now;
    current.received_bytes = 0;
    current.out_of_order.clear();
    current.pending_end.reset();
    open.current_phase = phase::running;
    ++m_engine_views[upstream].dispatched_since_digest;

    const auto& request = open.request;
    const auto* team = m_context.catalog.team(request.team);
    wire::dispatch_t message;
    message.request_id = request.id.value();
    message.attempt = current.number;
    message.ingress_incarnation = m_context.self.incarnation;
    message.owner_incarnation = owned.incarnation;
    message.upstream = upstream.value();
    message.team = request.team.value();
    message.adapter = request.adapter.value();
    message.path = request.path;
    message.method = request.method;
    message.content_type = request.content_type;
    message.body = open.delivered.empty() ? request.body
                                          : resume_body(request.body, request.kind == route::chat,
                                                        open.delivered, open.piece_count);
    message.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, core::to_ms(open.deadline - now)));
    message.priority = request.priority.value_or(0);
    message.idempotent = request.idempotent;
    message.max_tokens = request.max_tokens;
    message.key = request.key;
    message.weight = team == nullptr ? 1.0F : static_cast<float>(team->share);
    m_context.trace_request(request.id, "attempt " + std::to_string(current.number) + " to " +
                                            upstream.value() + " owned by " + owned.vm);
    m_peers.send(current.vm, wire::make_envelope(std::move(message)));
}

void ingress::on_dispatch_reply(const std::string& from, const wire::dispatch_reply_t& reply)
{
    const auto found = m_open_requests.find(core::request_id{reply.request_id});
    if (found == m_open_requests.end() || m_completed.contains(found->first)) {
        return;
    }
    auto& open = found->second;
    const auto& current = open.current;
    const bool matches_attempt = reply.attempt == current.number && from == current.vm &&
                                 reply.owner_incarnation == current.vm_incarnation &&
                                 reply.ingress_incarnation == m_context.self.incarnation;
    const bool expecting_reply =
        open.current_phase == phase::running || open.current_phase == phase::abandoning;
    if (!matches_attempt || !expecting_reply) {
        m_context.out.increment_counter("siskindrift_late_replies_total");
        return;
    }
    open.current.last_progress = m_context.now();
    switch (reply.event) {
    case wire::dispatch_event::queued:
        break;
    case wire::dispatch_event::started:
        open.stall_ms += reply.stall_ms;
        m_context.trace_request(open.request.id,
                                "started after " + std::to_string(reply.stall_ms) + " ms");
        break;
    case wire::dispatch_event::piece:
        on_piece(open, reply);
        break;
    case wire::dispatch_event::finished:
        on_finished_reply(open, reply);
        break;
    case wire::dispatch_event::refused:
        on_attempt_ended(open, {verdict::not_run, core::reason_from(reply.reason)},
                         reply.retry_after_ms);
        break;
    }
    remove_completed();
}

void ingress::on_piece(open_request& open, const wire::dispatch_reply_t& reply)
{
    auto& current = open.current;
    if (reply.offset < current.received_bytes) {
        return; // duplicate
    }
    if (reply.offset > current.received_bytes) {
        // A relayed message may overtake a direct one, so the missing piece may still arrive.
        if (current.out_of_order.empty()) {
            current.gap_since = m_context.now();
        }
        current.out_of_order.emplace(reply.offset, reply.data);
        return;
    }
    deliver(open, reply.data);
    deliver_out_of_order_pieces(open);
}

void ingress::deliver_out_of_order_pieces(open_request& open)
{
    auto& current = open.current;
    while (!current.out_of_order.empty() &&
           current.out_of_order.begin()->first <= current.received_bytes) {
        const auto piece = current.out_of_order.extract(current.out_of_order.begin());
        if (piece.key() == current.received_bytes) {
            deliver(open, piece.mapped());
        }
    }
    if (current.pending_end && current.pending_end->offset == current.received_bytes) {
        const auto end = *current.pending_end;
        on_finished_reply(open, end);
    }
}

void ingress::deliver(open_request& open, const std::string& data)
{
    open.current.received_bytes += data.size();
    if (!open.first_piece_seen) {
        open.first_piece_seen = true;
        const std::chrono::duration<double, std::milli> elapsed = m_context.now() - open.started_at;
        m_context.out.observe_ms("siskindrift_first_token_ms", elapsed.count());
    }
    ++open.piece_count;
    open.delivered += data;
    if (open.request.stream && open.caller != 0) {
        m_context.out.stream_piece(open.caller, open.request, data);
    }
}

bool ingress::gap_timed_out(const open_request& open) const
{
    const bool gap = !open.current.out_of_order.empty() || open.current.pending_end.has_value();
    return gap && m_context.now() - open.current.gap_since > m_context.options.gap_timeout;
}

std::string ingress::assemble_body(const open_request& open) const
{
    if (open.request.kind == route::service) {
        return open.delivered;
    }
    return response_body(open.request, open.delivered, open.piece_count);
}

void ingress::on_finished_reply(open_request& open, const wire::dispatch_reply_t& reply)
{
    const auto reported = core::verdict_from(reply.verdict).value_or(verdict::may_have_run);
    if (reported != verdict::ran) {
        on_attempt_ended(open, {reported, core::reason_from(reply.reason)}, reply.retry_after_ms);
        return;
    }
    if (reply.offset != open.current.received_bytes) {
        if (open.current.out_of_order.empty()) {
            open.current.gap_since = m_context.now();
        }
        open.current.pending_end = reply; // a piece is delayed or lost
        return;
    }
    const auto status = open.request.kind == route::service ? reply.status : std::uint16_t{200};
    complete(open, {verdict::ran, reason::none}, status, reply.content_type, assemble_body(open),
             "");
}

void ingress::on_attempt_ended(open_request& open, outcome result, std::uint32_t retry_after_ms)
{
    const auto now = m_context.now();
    m_context.trace_request(open.request.id,
                            "attempt ended: " + std::string{core::to_string(result.verdict)} + " " +
                                std::string{core::to_string(result.reason)});
    open.last_outcome = result;
    open.retry_after_ms = retry_after_ms;
    open.may_have_run = open.may_have_run || result.verdict == verdict::may_have_run;
    const bool lost_response = open.request.kind == route::service && !open.delivered.empty();
    if (lost_response) {
        open.delivered.clear(); // the response of a service can't be resumed
    }
    const bool all_delivered = open.request.kind != route::service && open.request.idempotent &&
                               open.piece_count >= open.request.max_tokens;
    if (all_delivered) {
        // All requested tokens have arrived; only the end of the stream is missing.
        complete(open, {verdict::ran, reason::none}, 200, "", assemble_body(open), "");
        return;
    }
    const bool allowed = core::may_retry(result, open.request.idempotent) &&
                         !is_final_refusal(result.reason) && now < open.deadline;
    if (!allowed) {
        complete(open, result, http_status_of(result), "", "",
                 "the request could not be completed");
        return;
    }
    open.excluded_upstreams.insert(open.current.upstream);
    if (is_routing_refusal(result.reason)) {
        m_context.out.increment_counter("siskindrift_reroutes_total");
        open.current_phase = phase::placing;
        open.retry_at = now + m_context.options.placement_retry_interval;
        return;
    }
    if (open.current.number >= m_context.options.max_attempts) {
        complete(open, result, http_status_of(result), "", "", "all attempts failed");
        return;
    }
    if (!m_retry_budget.try_take()) {
        m_context.out.count_reason(reason::retry_budget);
        complete(open, result, http_status_of(result), "", "", "the retry budget is spent");
        return;
    }
    m_context.out.increment_counter("siskindrift_retries_total");
    m_context.out.count_reason(result.reason);
    open.placing_since = now;
    place(open);
}

void ingress::send_abandon(open_request& open, bool cancel)
{
    wire::abandon_t message;
    message.request_id = open.request.id.value();
    message.attempt = open.current.number;
    message.owner_incarnation = open.current.vm_incarnation;
    message.cancel = cancel;
    m_peers.send(open.current.vm, wire::make_envelope(std::move(message)));
}

void ingress::abandon(open_request& open, reason why)
{
    const auto now = m_context.now();
    if (open.request.idempotent) {
        send_abandon(open, true);
        on_attempt_ended(open, {verdict::may_have_run, why}, 0);
        return;
    }
    if (open.current_phase == phase::abandoning) {
        return;
    }
    // A non-idempotent request may be retried only after the owner confirmed that this attempt
    // never started.
    open.current_phase = phase::abandoning;
    open.abandon_wait_start = now;
    open.abandon_sent_at = now;
    open.abandon_reason = why;
    m_context.trace_request(open.request.id, "asks " + open.current.vm + " to abandon it: " +
                                                 std::string{core::to_string(why)});
    send_abandon(open, false);
}

void ingress::on_abandon_reply(const std::string& from, const wire::abandon_reply_t& reply)
{
    const auto found = m_open_requests.find(core::request_id{reply.request_id});
    if (found == m_open_requests.end() || found->second.current_phase != phase::abandoning) {
        return;
    }
    auto& open = found->second;
    if (reply.attempt != open.current.number || from != open.current.vm) {
        return;
    }
    const bool same_process = reply.owner_incarnation == open.current.vm_incarnation;
    if (reply.tombstoned && same_process) {
        on_attempt_ended(open, {verdict::not_run, reason::abandoned}, 0);
    }
    else if (!same_process) {
        on_attempt_ended(open, {verdict::may_have_run, reason::vm_restarted}, 0);
    }
    else if (m_context.now() < open.deadline) {
        // The attempt has started and its owner is alive. Further abandon messages make the
        // owner resend its replies, until the deadline.
        open.abandon_wait_start = m_context.now();
    }
    remove_completed();
}

void ingress::on_peer_down(const std::string& vm)
{
    for (auto& [id, open] : m_open_requests) {
        if (open.current_phase == phase::running && open.current.vm == vm &&
            !m_completed.contains(id)) {
            abandon(open, reason::vm_unreachable);
        }
    }
    remove_completed();
}

void ingress::on_ownership_changed()
{
    for (auto& [id, open] : m_open_requests) {
        if (open.current_phase != phase::running || m_completed.contains(id)) {
            continue;
        }
        const auto vm = m_context.vms.find(open.current.vm);
        const bool owner_gone =
            vm == m_context.vms.end() || vm->second.incarnation != open.current.vm_incarnation;
        if (owner_gone) {
            abandon(open, reason::vm_restarted);
        }
    }
    remove_completed();
}

void ingress::on_digest(const std::string& vm, const wire::owner_digest_t& digest)
{
    for (const auto& engine : digest.engines) {
        const auto owned = m_context.owners.find(engine->upstream);
        if (owned == m_context.owners.end() || owned->second.vm != vm ||
            owned->second.fencing != engine->fencing) {
            continue;
        }
        auto& view = m_engine_views[core::upstream_id{engine->upstream}];
        view.id = core::upstream_id{engine->upstream};
        view.running = engine->running;
        view.waiting = engine->waiting;
        view.eviction_cost = engine->eviction_cost;
        view.dispatched_since_digest = 0;
        view.adapters.clear();
        for (const auto& resident : engine->residents) {
            auto& residency = view.adapters[core::adapter_version{resident->adapter}];
            residency.state = static_cast<routing::adapter_residency>(resident->state);
            residency.in_use = resident->in_use;
            residency.waiting = resident->waiting;
        }
    }
}

void ingress::tick(open_request& open)
{
    const auto now = m_context.now();
    const auto& options = m_context.options;
    switch (open.current_phase) {
    case phase::claiming:
        break; // `entry_core` reports a timeout through `on_claim`
    case phase::placing:
        if (now >= open.deadline) {
            complete(open, {verdict::not_run, reason::deadline_passed}, 503, "", "",
                     "the deadline passed before the request could start");
        }
        else if (now >= open.retry_at) {
            place(open);
        }
        break;
    case phase::running: {
        // The owner ends overdue attempts itself; this allows for the delay of its reply.
        constexpr core::milliseconds owner_reply_delay{300};
        if (gap_timed_out(open)) {
            abandon(open, reason::answer_incomplete);
        }
        else if (now >= open.deadline + owner_reply_delay) {
            abandon(open, reason::deadline_passed);
        }
        else if (now - open.current.last_progress > options.owner_silence_timeout) {
            abandon(open, reason::vm_unreachable);
        }
        break;
    }
    case phase::abandoning:
        if (now - open.abandon_wait_start > options.abandon_timeout) {
            on_attempt_ended(open, {verdict::may_have_run, open.abandon_reason}, 0);
        }
        else if (now - open.abandon_sent_at > options.abandon_resend_interval) {
            open.abandon_sent_at = now;
            send_abandon(open, false);
        }
        break;
    }
}

} // namespace siskindrift::requests
