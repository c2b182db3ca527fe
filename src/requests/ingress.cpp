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
// Same limit as in the control state.
constexpr std::uint64_t max_key_skew_ms = 5ULL * 60 * 1000;

refusal make_refusal(reason why, std::string message)
{
    const outcome result{verdict::not_run, why};
    return {http_status_of(result), result, std::move(message)};
}

} // namespace

ingress::ingress(entry_context& context, peer_sender& peers, claim_sender& claims)
    : m_context(context), m_peers(peers), m_claims(claims),
      m_retry_budget(context.options.retry_ratio, context.options.retry_burst)
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

std::optional<refusal> ingress::check_admission(const caller_request& request) const
{
    if (m_context.left) {
        return make_refusal(reason::vm_draining, "this VM has stopped; use another");
    }
    if (!m_context.config_confirmed()) {
        return make_refusal(reason::config_unconfirmed,
                            "this VM has not confirmed its configuration lately; use another");
    }
    const auto& catalog = m_context.catalog;
    if (catalog.team(request.team) == nullptr) {
        return make_refusal(reason::unauthorized, "the team is not known any more");
    }
    if (request.kind == route::service) {
        const auto* service = catalog.service(request.service);
        if (service == nullptr) {
            return make_refusal(reason::unknown_service, "no service " + request.service);
        }
        const auto& teams = service->teams;
        if (std::find(teams.begin(), teams.end(), request.team.value()) == teams.end()) {
            return make_refusal(reason::forbidden, "the service belongs to other teams");
        }
    }
    else if (!catalog.may_use(request.team, request.adapter)) {
        return make_refusal(reason::unknown_model, "no model " + request.adapter.value());
    }
    if (request.idempotent) {
        return std::nullopt;
    }
    if (request.key.empty()) {
        return make_refusal(reason::key_required,
                            "a non-idempotent request needs an Idempotency-Key");
    }
    const auto key_time = core::key_time_ms(request.key);
    if (!key_time) {
        return make_refusal(reason::key_malformed,
                            "the Idempotency-Key of a non-idempotent request must be a UUIDv7");
    }
    if (*key_time > m_context.time.wall_ms() + max_key_skew_ms) {
        return make_refusal(reason::key_in_future, "the Idempotency-Key lies in the future");
    }
    return std::nullopt;
}

void ingress::submit(caller_id caller, caller_request request)
{
    if (request.kind == route::service && !request.idempotent_specified) {
        const auto* service = m_context.catalog.service(request.service);
        request.idempotent = service != nullptr && service->repeatable;
    }
    if (auto fault = check_admission(request)) {
        refuse(caller, request, *fault);
        return;
    }
    const auto now = m_context.now();
    const auto& team = *m_context.catalog.team(request.team);
    if (const auto limit = m_limits.admit(request.team, team, m_context.vms.size(), now)) {
        refuse(caller, request, make_refusal(*limit, "the team's limit is reached"));
        return;
    }
    m_retry_budget.on_first_attempt();
    const auto max_duration = core::duration{core::milliseconds{team.longest_answer_ms}};
    const auto id = request.id;
    request.priority =
        std::min(request.priority.value_or(team.default_priority), team.highest_priority);
    request.key_time_ms = core::key_time_ms(request.key).value_or(0);
    open_request open;
    open.caller = caller;
    open.started_at = now;
    open.deadline = now + std::min(request.deadline.value_or(max_duration), max_duration);
    open.placing_since = now;
    open.request = std::move(request);
    m_by_caller[caller] = id;
    auto& stored = m_open_requests[id] = std::move(open);
    m_context.trace_request(id, "admitted at " + m_context.self.vm + " for team " +
                                    stored.request.team.value());
    if (stored.request.idempotent) {
        place(stored);
    }
    else {
        take_claim(stored);
    }
    remove_completed();
}

void ingress::reject(caller_id caller, const caller_request& request, reason why,
                     std::string message)
{
    refuse(caller, request, make_refusal(why, std::move(message)));
}

void ingress::refuse(caller_id caller, const caller_request& request, const refusal& why)
{
    m_context.out.count_reason(why.outcome.reason);
    m_context.trace_request(request.id,
                            "refused: " + std::string{core::to_string(why.outcome.reason)});
    final_response response;
    response.outcome = why.outcome;
    response.status = why.status;
    response.body = error_body(why.outcome, why.message, request.id.value());
    response.message = why.message;
    const bool temporary = why.status == 429 || why.status == 503;
    response.retry_after_ms = temporary ? default_retry_after_ms : 0;
    m_context.out.finish(caller, request, std::move(response));
}

void ingress::take_claim(open_request& open)
{
    open.current_phase = phase::claiming;
    wire::take_claim_t command;
    command.team = open.request.team.value();
    command.key = open.request.key;
    command.key_time_ms = open.request.key_time_ms;
    command.body_hash = open.request.body_hash;
    command.request_id = open.request.id.value();
    m_claims.take_claim(open.request.id, std::move(command));
}

void ingress::on_claim(const core::request_id& id, const wire::control_reply_t& reply)
{
    const auto found = m_open_requests.find(id);
    if (found == m_open_requests.end() || found->second.current_phase != phase::claiming) {
        return;
    }
    auto& open = found->second;
    const auto* result = reply.body.Asclaim_result();
    if (reply.outcome != wire::control_outcome::ok || result == nullptr) {
        // The claim may have been granted and the reply lost; `complete` then releases it.
        open.claimed = true;
        complete(open, {verdict::not_run, reason::control_unavailable}, 503, "", "",
                 "no control replica answered");
    }
    else if (result->state == wire::claim_state::granted) {
        open.claimed = true;
        m_context.trace_request(id, "claim granted");
        open.placing_since = m_context.now();
        place(open);
    }
    else {
        finish_from_claim(open, *result);
    }
    remove_completed();
}

void ingress::finish_from_claim(open_request& open, const wire::claim_result_t& claim)
{
    switch (claim.state) {
    case wire::claim_state::body_mismatch:
        complete(open, {verdict::not_run, reason::key_reused_with_other_body}, 409, "", "",
                 "the key was used with another body");
        return;
    case wire::claim_state::key_expired:
        complete(open, {verdict::may_have_run, reason::key_expired}, 409, "", "",
                 "the key is older than the retention of claims");
        return;
    case wire::claim_state::finished:
        if (claim.ran && replay_stream(open, claim)) {
            m_context.trace_request(open.request.id,
                                    "answered from the claim of " + claim.request_id);
            complete(open, {verdict::ran, reason::none}, claim.status, claim.content_type,
                     claim.response, "");
            return;
        }
        break;
    default:
        break;
    }
    complete(open, {verdict::may_have_run, reason::claim_held}, 409, "", "",
             "an earlier request with this key may have run");
}

bool ingress::replay_stream(const open_request& open, const wire::claim_result_t& claim)
{
    if (!open.request.stream || open.request.kind == route::service) {
        return true; // the body carries the answer
    }
    const auto text = response_text(claim.response);
    if (text && !text->empty() && open.caller != 0) {
        m_context.out.stream_piece(open.caller, open.request, *text);
    }
    return text.has_value();
}

void ingress::complete(open_request& open, outcome result, std::uint16_t status,
                       std::string content_type, std::string body, std::string message)
{
    // If any attempt may have run, the request may have run, whatever later attempts reported.
    if (open.may_have_run && result.verdict == verdict::not_run) {
        result.verdict = verdict::may_have_run;
        status = http_status_of(result);
    }
    final_response response;
    response.outcome = result;
    response.status = status;
    response.content_type = content_type.empty() ? "application/json" : std::move(content_type);
    response.body = std::move(body);
    response.stall_ms = open.stall_ms;
    if (result.verdict != verdict::ran) {
        m_context.out.count_reason(result.reason);
        response.body = error_body(result, message, open.request.id.value());
        response.message = std::move(message);
        const bool temporary = status == 429 || status == 503;
        response.retry_after_ms =
            std::max(open.retry_after_ms, temporary ? default_retry_after_ms : 0);
    }
    report_claim_outcome(open, result, response);
    const std::chrono::duration<double, std::milli> elapsed = m_context.now() - open.started_at;
    m_context.out.observe_ms("siskindrift_request_ms", elapsed.count());
    m_context.trace_request(open.request.id,
                            "ended: " + std::string{core::to_string(result.verdict)} + " " +
                                std::string{core::to_string(result.reason)});
    m_limits.release(open.request.team);
    if (open.caller != 0) {
        m_by_caller.erase(open.caller);
        m_context.out.finish(open.caller, open.request, std::move(response));
    }
    m_completed.insert(open.request.id);
}

void ingress::report_claim_outcome(const open_request& open, outcome result,
                                   const final_response& response)
{
    if (!open.claimed) {
        return;
    }
    wire::finish_claim_t command;
    command.team = open.request.team.value();
    command.key = open.request.key;
    command.request_id = open.request.id.value();
    command.release = result.verdict == verdict::not_run;
    command.ran = result.verdict == verdict::ran;
    command.status = response.status;
    command.content_type = response.content_type;
    command.response = command.ran ? response.body : std::string{};
    m_claims.finish_claim(std::move(command));
}

void ingress::on_caller_left(caller_id caller)
{
    const auto found = m_by_caller.find(caller);
    if (found == m_by_caller.end()) {
        return;
    }
    const auto request = m_open_requests.find(found->second);
    m_by_caller.erase(found);
    if (request == m_open_requests.end()) {
        return;
    }
    auto& open = request->second;
    open.caller = 0;
    m_context.out.count_reason(reason::caller_left);
    // A non-idempotent request keeps running, so that its outcome is stored with the claim.
    if (open.request.idempotent) {
        if (open.current_phase == phase::running) {
            send_abandon(open, true);
        }
        complete(open, {verdict::may_have_run, reason::caller_left}, 0, "", "", "the caller left");
    }
    remove_completed();
}

void ingress::remove_completed()
{
    for (const auto& id : m_completed) {
        m_open_requests.erase(id);
    }
    m_completed.clear();
}

void ingress::tick()
{
    for (auto& [id, open] : m_open_requests) {
        if (!m_completed.contains(id)) {
            tick(open);
        }
    }
    remove_completed();
}

} // namespace siskindrift::requests
