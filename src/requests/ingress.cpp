#include "siskindrift/requests/ingress.h"

#include <algorithm>
#include <utility>

#include "siskindrift/core/idempotency_key.h"

namespace siskindrift::requests {

using core::outcome;
using core::reason;
using core::verdict;

namespace {

constexpr std::uint32_t default_retry_after_ms = 1000;
constexpr std::uint64_t key_skew_ms = 5ULL * 60 * 1000; // as the control state allows

refusal refused(reason why, std::string message)
{
    const outcome result{verdict::not_run, why};
    return {http_status_of(result), result, std::move(message)};
}

} // namespace

ingress::ingress(entry_context& context, peer_sender& peers, claim_sender& claims)
    : m_context(context), m_peers(peers), m_claims(claims),
      m_retries(context.options.retry_share, context.options.retry_burst)
{
    on_config_changed();
}

void ingress::on_config_changed()
{
    const auto& deployment = m_context.catalog.deployment();
    const auto key = deployment.policy + std::to_string(deployment.stall_weight) +
                     std::to_string(deployment.loads_per_second);
    if (key == m_placement_key) {
        return;
    }
    m_placement_key = key;
    routing::placement_options options;
    options.stall_weight = deployment.stall_weight;
    options.loads_per_second = deployment.loads_per_second;
    m_placement = routing::make_placement_policy(deployment.policy, options);
}

std::optional<refusal> ingress::check(const caller_request& request) const
{
    if (m_context.left) {
        return refused(reason::vm_draining, "this VM has stopped; use another");
    }
    if (!m_context.config_confirmed()) {
        return refused(reason::config_unconfirmed,
                       "this VM has not confirmed its configuration lately; use another");
    }
    const auto& catalog = m_context.catalog;
    if (catalog.team(request.team) == nullptr) {
        return refused(reason::unauthorized, "the team is not known any more");
    }
    if (request.kind == route::service) {
        const auto* service = catalog.service(request.service);
        if (service == nullptr) {
            return refused(reason::unknown_service, "no service " + request.service);
        }
        const auto& teams = service->teams;
        if (std::find(teams.begin(), teams.end(), request.team.value()) == teams.end()) {
            return refused(reason::forbidden, "the service belongs to other teams");
        }
    }
    else if (!catalog.may_use(request.team, request.adapter)) {
        return refused(reason::unknown_model, "no model " + request.adapter.value());
    }
    if (request.idempotent) {
        return std::nullopt;
    }
    if (request.key.empty()) {
        return refused(reason::key_required, "a non-idempotent request needs an Idempotency-Key");
    }
    const auto key_time = core::key_time_ms(request.key);
    if (!key_time) {
        return refused(reason::key_malformed,
                       "the Idempotency-Key of a non-idempotent request must be a UUIDv7");
    }
    if (*key_time > m_context.time.wall_ms() + key_skew_ms) {
        return refused(reason::key_in_future, "the Idempotency-Key lies in the future");
    }
    return std::nullopt;
}

void ingress::submit(caller_id caller, caller_request request)
{
    if (request.kind == route::service && !request.idempotent_said) {
        const auto* service = m_context.catalog.service(request.service);
        request.idempotent = service != nullptr && service->repeatable;
    }
    if (auto fault = check(request)) {
        refuse(caller, request, *fault);
        return;
    }
    const auto now = m_context.now();
    const auto& team = *m_context.catalog.team(request.team);
    if (const auto limit = m_limits.admit(request.team, team, m_context.vms.size(), now)) {
        refuse(caller, request, refused(*limit, "the team's limit is reached"));
        return;
    }
    m_retries.note_fresh();
    const auto longest = core::duration{core::milliseconds{team.longest_answer_ms}};
    const auto id = request.id;
    request.priority =
        std::min(request.priority.value_or(team.default_priority), team.highest_priority);
    request.key_time_ms = core::key_time_ms(request.key).value_or(0);
    call entry;
    entry.caller = caller;
    entry.begun = now;
    entry.deadline = now + std::min(request.deadline.value_or(longest), longest);
    entry.placing_since = now;
    entry.request = std::move(request);
    m_by_caller[caller] = id;
    auto& stored = m_calls[id] = std::move(entry);
    m_context.note(id,
                   "admitted at " + m_context.self.vm + " for team " + stored.request.team.value());
    if (stored.request.idempotent) {
        place(stored);
    }
    else {
        take_claim(stored);
    }
    remove_done();
}

void ingress::reject(caller_id caller, const caller_request& request, reason why,
                     std::string message)
{
    refuse(caller, request, refused(why, std::move(message)));
}

void ingress::refuse(caller_id caller, const caller_request& request, const refusal& why)
{
    m_context.out.count_reason(why.outcome.reason);
    m_context.note(request.id, "refused: " + std::string{core::to_string(why.outcome.reason)});
    final_response answer;
    answer.outcome = why.outcome;
    answer.status = why.status;
    answer.body = error_body(why.outcome, why.message, request.id.value());
    answer.message = why.message;
    const bool temporary = why.status == 429 || why.status == 503;
    answer.retry_after_ms = temporary ? default_retry_after_ms : 0;
    m_context.out.finish(caller, request, std::move(answer));
}

void ingress::take_claim(call& entry)
{
    entry.now_in = phase::claiming;
    wire::take_claim_t order;
    order.team = entry.request.team.value();
    order.key = entry.request.key;
    order.key_time_ms = entry.request.key_time_ms;
    order.body_hash = entry.request.body_hash;
    order.request_id = entry.request.id.value();
    m_claims.take_claim(entry.request.id, std::move(order));
}

void ingress::on_claim(const core::request_id& id, const wire::control_reply_t& reply)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.now_in != phase::claiming) {
        return;
    }
    auto& entry = found->second;
    const auto* result = reply.body.Asclaim_result();
    if (reply.outcome != wire::control_outcome::ok || result == nullptr) {
        entry.claimed = true; // it may have been granted with the answer lost; give it back
        complete(entry, {verdict::not_run, reason::control_unavailable}, 503, "", "",
                 "no control replica answered");
    }
    else if (result->state == wire::claim_state::granted) {
        entry.claimed = true;
        m_context.note(id, "claim granted");
        entry.placing_since = m_context.now();
        place(entry);
    }
    else {
        finish_from_claim(entry, *result);
    }
    remove_done();
}

void ingress::finish_from_claim(call& entry, const wire::claim_result_t& held)
{
    switch (held.state) {
    case wire::claim_state::body_mismatch:
        complete(entry, {verdict::not_run, reason::key_reused_with_other_body}, 409, "", "",
                 "the key was used with another body");
        return;
    case wire::claim_state::key_expired:
        complete(entry, {verdict::may_have_run, reason::key_expired}, 409, "", "",
                 "the key is older than the retention of claims");
        return;
    case wire::claim_state::finished:
        if (held.ran) {
            m_context.note(entry.request.id, "answered from the claim of " + held.request_id);
            complete(entry, {verdict::ran, reason::none}, held.status, held.content_type,
                     held.response, "");
            return;
        }
        break;
    default:
        break;
    }
    complete(entry, {verdict::may_have_run, reason::claim_held}, 409, "", "",
             "an earlier request with this key may have run");
}

void ingress::complete(call& entry, outcome result, std::uint16_t status, std::string content_type,
                       std::string body, std::string message)
{
    // An attempt that may have run outweighs a later one that did not.
    if (entry.may_have_run && result.verdict == verdict::not_run) {
        result.verdict = verdict::may_have_run;
        status = http_status_of(result);
    }
    final_response answer;
    answer.outcome = result;
    answer.status = status;
    answer.content_type = content_type.empty() ? "application/json" : std::move(content_type);
    answer.body = std::move(body);
    answer.stall_ms = entry.stall_ms;
    if (result.verdict != verdict::ran) {
        m_context.out.count_reason(result.reason);
        answer.body = error_body(result, message, entry.request.id.value());
        answer.message = std::move(message);
        const bool temporary = status == 429 || status == 503;
        answer.retry_after_ms =
            std::max(entry.retry_after_ms, temporary ? default_retry_after_ms : 0);
    }
    settle_claim(entry, result, answer);
    const std::chrono::duration<double, std::milli> took = m_context.now() - entry.begun;
    m_context.out.observe_ms("siskindrift_request_ms", took.count());
    m_context.note(entry.request.id, "ended: " + std::string{core::to_string(result.verdict)} +
                                         " " + std::string{core::to_string(result.reason)});
    m_limits.release(entry.request.team);
    if (entry.caller != 0) {
        m_by_caller.erase(entry.caller);
        m_context.out.finish(entry.caller, entry.request, std::move(answer));
    }
    m_done.insert(entry.request.id);
}

void ingress::settle_claim(const call& entry, outcome result, const final_response& answer)
{
    if (!entry.claimed) {
        return;
    }
    wire::finish_claim_t order;
    order.team = entry.request.team.value();
    order.key = entry.request.key;
    order.request_id = entry.request.id.value();
    order.release = result.verdict == verdict::not_run;
    order.ran = result.verdict == verdict::ran;
    order.status = answer.status;
    order.content_type = answer.content_type;
    order.response = order.ran ? answer.body : std::string{};
    m_claims.finish_claim(std::move(order));
}

void ingress::on_caller_left(caller_id caller)
{
    const auto found = m_by_caller.find(caller);
    if (found == m_by_caller.end()) {
        return;
    }
    const auto entry = m_calls.find(found->second);
    m_by_caller.erase(found);
    if (entry == m_calls.end()) {
        return;
    }
    auto& call = entry->second;
    call.caller = 0;
    m_context.out.count_reason(reason::caller_left);
    // A call that may not be repeated runs on, so that its claim learns the outcome.
    if (call.request.idempotent) {
        if (call.now_in == phase::running) {
            send_abandon(call, true);
        }
        complete(call, {verdict::may_have_run, reason::caller_left}, 0, "", "", "the caller left");
    }
    remove_done();
}

void ingress::remove_done()
{
    for (const auto& id : m_done) {
        m_calls.erase(id);
    }
    m_done.clear();
}

void ingress::tick()
{
    for (auto& [id, entry] : m_calls) {
        if (!m_done.contains(id)) {
            tick(entry);
        }
    }
    remove_done();
}

} // namespace siskindrift::requests
