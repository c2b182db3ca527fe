#include <algorithm>
#include <utility>

#include "siskindrift/requests/ingress.h"

namespace siskindrift::requests {

using core::outcome;
using core::reason;
using core::verdict;

namespace {

// Refusals that say only that this VM's view was old; they cost nobody any work.
bool is_stale_route(reason why)
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

bool ingress::matches(const membership::upstream_record& record, const call& entry) const
{
    const auto& request = entry.request;
    if (request.kind == route::service) {
        return record.last_announcement.kind == wire::upstream_kind::service &&
               record.last_announcement.service == request.service;
    }
    return record.last_announcement.kind == wire::upstream_kind::engine &&
           record.last_announcement.base_model == m_context.catalog.base_model_of(request.adapter);
}

bool ingress::usable(const core::upstream_id& id, const call& entry) const
{
    if (m_context.catalog.drained(id)) {
        return false;
    }
    if (entry.avoided.contains(id) || !m_context.registry.is_admissible(id, m_context.now())) {
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

std::optional<core::upstream_id> ingress::choose(const call& entry)
{
    std::vector<const routing::engine_status*> candidates;
    for (const auto& [id, record] : m_context.registry.all()) {
        if (!matches(record, entry) || !usable(id, entry)) {
            continue;
        }
        auto& view = m_views[id];
        view.id = id;
        view.base_model = record.last_announcement.base_model;
        view.slots = std::max(1U, record.last_announcement.slots);
        view.batch = std::max(1U, record.last_announcement.batch);
        candidates.push_back(&view);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (entry.request.kind == route::service) {
        return routing::least_loaded_placement{}.choose(entry.request.adapter, candidates);
    }
    return m_placement->choose(entry.request.adapter, candidates);
}

void ingress::place(call& entry)
{
    entry.now_in = phase::placing;
    const auto now = m_context.now();
    auto chosen = choose(entry);
    if (!chosen && !entry.avoided.empty()) {
        entry.avoided.clear();
        chosen = choose(entry);
    }
    if (chosen) {
        dispatch(entry, *chosen);
        return;
    }
    if (now >= entry.deadline ||
        now - entry.placing_since >= m_context.options.placement_patience) {
        const auto why =
            entry.last.reason == reason::none ? reason::no_upstream : entry.last.reason;
        complete(entry, {verdict::not_run, why}, 503, "", "", "no upstream can take the request");
        return;
    }
    entry.retry_at = now + m_context.options.placement_retry;
}

void ingress::dispatch(call& entry, const core::upstream_id& upstream)
{
    const auto now = m_context.now();
    const auto& owned = m_context.owners.at(upstream.value());
    auto& current = entry.current;
    ++current.number;
    current.vm = owned.vm;
    current.vm_incarnation = owned.incarnation;
    current.upstream = upstream;
    current.last_progress = now;
    current.received = 0;
    current.early.clear();
    current.end.reset();
    entry.now_in = phase::running;
    ++m_views[upstream].dispatched_since_digest;

    const auto& request = entry.request;
    const auto* team = m_context.catalog.team(request.team);
    wire::dispatch_t order;
    order.request_id = request.id.value();
    order.attempt = current.number;
    order.ingress_incarnation = m_context.self.incarnation;
    order.owner_incarnation = owned.incarnation;
    order.upstream = upstream.value();
    order.team = request.team.value();
    order.adapter = request.adapter.value();
    order.path = request.path;
    order.method = request.method;
    order.content_type = request.content_type;
    order.body = entry.delivered.empty() ? request.body
                                         : resume_body(request.body, request.kind == route::chat,
                                                       entry.delivered, entry.pieces);
    order.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, core::to_ms(entry.deadline - now)));
    order.priority = request.priority.value_or(0);
    order.idempotent = request.idempotent;
    order.max_tokens = request.max_tokens;
    order.key = request.key;
    order.weight = team == nullptr ? 1.0F : static_cast<float>(team->share);
    m_context.note(request.id, "attempt " + std::to_string(current.number) + " to " +
                                   upstream.value() + " owned by " + owned.vm);
    m_peers.send(current.vm, wire::make_envelope(std::move(order)));
}

void ingress::on_dispatch_reply(const std::string& from, const wire::dispatch_reply_t& reply)
{
    const auto found = m_calls.find(core::request_id{reply.request_id});
    if (found == m_calls.end() || m_done.contains(found->first)) {
        return;
    }
    auto& entry = found->second;
    const auto& current = entry.current;
    const bool ours = reply.attempt == current.number && from == current.vm &&
                      reply.owner_incarnation == current.vm_incarnation &&
                      reply.ingress_incarnation == m_context.self.incarnation;
    const bool waiting = entry.now_in == phase::running || entry.now_in == phase::abandoning;
    if (!ours || !waiting) {
        m_context.out.increment_counter("siskindrift_late_replies_total");
        return;
    }
    entry.current.last_progress = m_context.now();
    switch (reply.event) {
    case wire::dispatch_event::queued:
        break;
    case wire::dispatch_event::started:
        entry.stall_ms += reply.stall_ms;
        m_context.note(entry.request.id, "started after " + std::to_string(reply.stall_ms) + " ms");
        break;
    case wire::dispatch_event::piece:
        take_piece(entry, reply);
        break;
    case wire::dispatch_event::finished:
        take_end(entry, reply);
        break;
    case wire::dispatch_event::refused:
        after_attempt(entry, {verdict::not_run, core::reason_from(reply.reason)},
                      reply.retry_after_ms);
        break;
    }
    remove_done();
}

void ingress::take_piece(call& entry, const wire::dispatch_reply_t& reply)
{
    auto& current = entry.current;
    if (reply.offset < current.received) {
        return; // a copy
    }
    if (reply.offset > current.received) {
        // A relayed message may overtake a direct one; the gap may yet close.
        if (current.early.empty()) {
            current.gap_since = m_context.now();
        }
        current.early.emplace(reply.offset, reply.data);
        return;
    }
    deliver(entry, reply.data);
    take_early_pieces(entry);
}

void ingress::take_early_pieces(call& entry)
{
    auto& current = entry.current;
    while (!current.early.empty() && current.early.begin()->first <= current.received) {
        const auto piece = current.early.extract(current.early.begin());
        if (piece.key() == current.received) {
            deliver(entry, piece.mapped());
        }
    }
    if (current.end && current.end->offset == current.received) {
        const auto end = *current.end;
        take_end(entry, end);
    }
}

void ingress::deliver(call& entry, const std::string& data)
{
    entry.current.received += data.size();
    if (!entry.first_piece_seen) {
        entry.first_piece_seen = true;
        const std::chrono::duration<double, std::milli> took = m_context.now() - entry.begun;
        m_context.out.observe_ms("siskindrift_first_token_ms", took.count());
    }
    ++entry.pieces;
    entry.delivered += data;
    if (entry.request.stream && entry.caller != 0) {
        m_context.out.stream_piece(entry.caller, entry.request, data);
    }
}

bool ingress::gap_lasts(const call& entry) const
{
    const bool gap = !entry.current.early.empty() || entry.current.end.has_value();
    return gap && m_context.now() - entry.current.gap_since > m_context.options.gap_patience;
}

std::string ingress::text_of(const call& entry) const
{
    if (entry.request.kind == route::service) {
        return entry.delivered;
    }
    return whole_answer(entry.request, entry.delivered, entry.pieces);
}

void ingress::take_end(call& entry, const wire::dispatch_reply_t& reply)
{
    const auto said = core::verdict_from(reply.verdict).value_or(verdict::may_have_run);
    if (said != verdict::ran) {
        after_attempt(entry, {said, core::reason_from(reply.reason)}, reply.retry_after_ms);
        return;
    }
    if (reply.offset != entry.current.received) {
        if (entry.current.early.empty()) {
            entry.current.gap_since = m_context.now();
        }
        entry.current.end = reply; // a piece is still on its way, or lost
        return;
    }
    const auto status = entry.request.kind == route::service ? reply.status : std::uint16_t{200};
    complete(entry, {verdict::ran, reason::none}, status, reply.content_type, text_of(entry), "");
}

void ingress::after_attempt(call& entry, outcome result, std::uint32_t retry_after_ms)
{
    const auto now = m_context.now();
    m_context.note(entry.request.id,
                   "attempt ended: " + std::string{core::to_string(result.verdict)} + " " +
                       std::string{core::to_string(result.reason)});
    entry.last = result;
    entry.retry_after_ms = retry_after_ms;
    entry.may_have_run = entry.may_have_run || result.verdict == verdict::may_have_run;
    const bool lost_answer = entry.request.kind == route::service && !entry.delivered.empty();
    if (lost_answer) {
        entry.delivered.clear(); // a service's answer can't be resumed
    }
    const bool all_delivered = entry.request.kind != route::service && entry.request.idempotent &&
                               entry.pieces >= entry.request.max_tokens;
    if (all_delivered) {
        // Only the end marker is missing; every token that was asked for has arrived.
        complete(entry, {verdict::ran, reason::none}, 200, "", text_of(entry), "");
        return;
    }
    const bool allowed = core::may_retry(result, entry.request.idempotent) &&
                         !is_final_refusal(result.reason) && now < entry.deadline;
    if (!allowed) {
        complete(entry, result, http_status_of(result), "", "",
                 "the request could not be completed");
        return;
    }
    entry.avoided.insert(entry.current.upstream);
    if (is_stale_route(result.reason)) {
        m_context.out.increment_counter("siskindrift_reroutes_total");
        entry.now_in = phase::placing;
        entry.retry_at = now + m_context.options.placement_retry;
        return;
    }
    if (entry.current.number >= m_context.options.max_attempts) {
        complete(entry, result, http_status_of(result), "", "", "all attempts failed");
        return;
    }
    if (!m_retries.take()) {
        m_context.out.count_reason(reason::retry_budget);
        complete(entry, result, http_status_of(result), "", "", "the retry budget is spent");
        return;
    }
    m_context.out.increment_counter("siskindrift_retries_total");
    m_context.out.count_reason(result.reason);
    entry.placing_since = now;
    place(entry);
}

void ingress::send_abandon(call& entry, bool cancel)
{
    wire::abandon_t order;
    order.request_id = entry.request.id.value();
    order.attempt = entry.current.number;
    order.owner_incarnation = entry.current.vm_incarnation;
    order.cancel = cancel;
    m_peers.send(entry.current.vm, wire::make_envelope(std::move(order)));
}

void ingress::abandon(call& entry, reason why)
{
    const auto now = m_context.now();
    if (entry.request.idempotent) {
        send_abandon(entry, true);
        after_attempt(entry, {verdict::may_have_run, why}, 0);
        return;
    }
    if (entry.now_in == phase::abandoning) {
        return;
    }
    // Only the owner's word that it never started allows another attempt.
    entry.now_in = phase::abandoning;
    entry.abandon_at = now;
    entry.abandon_sent = now;
    entry.abandon_why = why;
    m_context.note(entry.request.id, "asks " + entry.current.vm +
                                         " to abandon it: " + std::string{core::to_string(why)});
    send_abandon(entry, false);
}

void ingress::on_abandon_reply(const std::string& from, const wire::abandon_reply_t& reply)
{
    const auto found = m_calls.find(core::request_id{reply.request_id});
    if (found == m_calls.end() || found->second.now_in != phase::abandoning) {
        return;
    }
    auto& entry = found->second;
    if (reply.attempt != entry.current.number || from != entry.current.vm) {
        return;
    }
    const bool same_process = reply.owner_incarnation == entry.current.vm_incarnation;
    if (reply.tombstoned && same_process) {
        after_attempt(entry, {verdict::not_run, reason::abandoned}, 0);
    }
    else if (!same_process) {
        after_attempt(entry, {verdict::may_have_run, reason::vm_restarted}, 0);
    }
    else if (m_context.now() < entry.deadline) {
        // It has started at a process that lives; its answer is told again until the deadline.
        entry.abandon_at = m_context.now();
    }
    remove_done();
}

void ingress::on_peer_down(const std::string& vm)
{
    for (auto& [id, entry] : m_calls) {
        if (entry.now_in == phase::running && entry.current.vm == vm && !m_done.contains(id)) {
            abandon(entry, reason::vm_unreachable);
        }
    }
    remove_done();
}

void ingress::on_ownership_changed()
{
    for (auto& [id, entry] : m_calls) {
        if (entry.now_in != phase::running || m_done.contains(id)) {
            continue;
        }
        const auto vm = m_context.vms.find(entry.current.vm);
        const bool gone =
            vm == m_context.vms.end() || vm->second.incarnation != entry.current.vm_incarnation;
        if (gone) {
            abandon(entry, reason::vm_restarted);
        }
    }
    remove_done();
}

void ingress::on_digest(const std::string& vm, const wire::owner_digest_t& digest)
{
    for (const auto& engine : digest.engines) {
        const auto owned = m_context.owners.find(engine->upstream);
        if (owned == m_context.owners.end() || owned->second.vm != vm ||
            owned->second.fencing != engine->fencing) {
            continue;
        }
        auto& view = m_views[core::upstream_id{engine->upstream}];
        view.id = core::upstream_id{engine->upstream};
        view.running = engine->running;
        view.waiting = engine->waiting;
        view.eviction_cost = engine->eviction_cost;
        view.dispatched_since_digest = 0;
        view.adapters.clear();
        for (const auto& resident : engine->residents) {
            auto& belief = view.adapters[core::adapter_version{resident->adapter}];
            belief.state = static_cast<routing::adapter_residency>(resident->state);
            belief.in_use = resident->in_use;
            belief.waiting = resident->waiting;
        }
    }
}

void ingress::tick(call& entry)
{
    const auto now = m_context.now();
    const auto& options = m_context.options;
    switch (entry.now_in) {
    case phase::claiming:
        break; // the control client gives up by itself
    case phase::placing:
        if (now >= entry.deadline) {
            complete(entry, {verdict::not_run, reason::deadline_passed}, 503, "", "",
                     "the deadline passed before the request could start");
        }
        else if (now >= entry.retry_at) {
            place(entry);
        }
        break;
    case phase::running: {
        // The owner refuses what is late by itself; its word gets a moment to arrive.
        constexpr core::milliseconds word_of_owner{300};
        if (gap_lasts(entry)) {
            abandon(entry, reason::answer_incomplete);
        }
        else if (now >= entry.deadline + word_of_owner) {
            abandon(entry, reason::deadline_passed);
        }
        else if (now - entry.current.last_progress > options.owner_silence) {
            abandon(entry, reason::vm_unreachable);
        }
        break;
    }
    case phase::abandoning:
        if (now - entry.abandon_at > options.abandon_wait) {
            after_attempt(entry, {verdict::may_have_run, entry.abandon_why}, 0);
        }
        else if (now - entry.abandon_sent > options.abandon_resend) {
            entry.abandon_sent = now;
            send_abandon(entry, false);
        }
        break;
    }
}

} // namespace siskindrift::requests
