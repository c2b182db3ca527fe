// The retry budget and the prompt guard in the life of a request.
#include "gateway_process.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds blocked_retry_after{30'000}; // a blocked prompt part is tried again
constexpr std::uint16_t first_redirect_status = 300;
constexpr std::uint16_t other_run_status = 421; // may come from another run at the address

} // namespace

// Refuses a request whose prompt has a part that crashes engines. Returns whether it did.
bool gateway_process::refuse_blocked_prompt(exchange& item)
{
    if (item.on_trial || !m_prompt_guard.has_blocked(item.service, item.metadata.prompt)) {
        return false;
    }
    const auto part = m_prompt_guard.find_blocked(item.service, item.metadata.prompt);
    observe::info(part ? "prompt_refused" : "prompt_on_trial",
                  {{"request", item.metadata.request_id},
                   {"part", part.value_or("")},
                   {"prompt", gateway::to_string(item.metadata.prompt)},
                   {"generation", m_prompt_guard.generation()}});
    if (!part) {
        item.on_trial = true;
        return false;
    }
    if (item.stream_begun) {
        abort_stream(item, core::reason::crashing_prompt);
        return true;
    }
    const bool possibly_executed = item.may_have_run > 0;
    respond_with_error(item, possibly_executed ? 502 : 503, core::reason::crashing_prompt,
                       possibly_executed ? std::nullopt
                                         : std::optional<core::duration>{blocked_retry_after});
    return true;
}

// Refuses the open requests whose prompts have a part that was blocked just now, unless an engine
// has begun to answer them.
void gateway_process::refuse_blocked_prompts()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : m_exchanges) {
        if (!item->stream_begun && !item->response_head && !m_awaiting_document.contains(id)) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end() ||
            !m_prompt_guard.has_blocked(found->second->service, found->second->metadata.prompt) ||
            found->second->on_trial) {
            continue;
        }
        if (found->second->call_id != 0) {
            // An engine may begin it at any moment.
            cancel_attempt(*found->second);
            respond_with_error(*found->second, 502, core::reason::crashing_prompt, std::nullopt);
        }
        else {
            refuse_blocked_prompt(*found->second);
        }
    }
}

void gateway_process::record_answer(exchange& item)
{
    if (!std::exchange(item.answer_recorded, true) && !item.metadata.prompt.empty()) {
        m_prompt_guard.record_answer(item.service, item.metadata.prompt, m_clock.now());
        if (m_prompt_guard.has_news()) {
            send_prompt_evidence();
        }
    }
}

// Records a connection that ended just as the engine began its answer.
void gateway_process::record_crash(exchange& item)
{
    const bool success = item.response_head && item.response_head->status < first_redirect_status;
    const bool begun = item.events.events() >= item.events_before + events_begun;
    if (!success || begun || item.metadata.prompt.empty() ||
        item.call_end.result == http::call_result::timed_out) {
        return;
    }
    ++item.crashes;
    observe::info("engine_ended_under_request",
                  {{"request", item.metadata.request_id},
                   {"service", item.service},
                   {"upstream", item.upstream_id},
                   {"prompt", gateway::to_string(item.metadata.prompt)}});
    m_prompt_guard.record_crash(item.service, item.metadata.prompt, item.upstream_id,
                                item.metadata.request_id, m_clock.now());
    send_prompt_evidence();
}

// Records the limit that an upstream names in an answer, or that it names none any more. Errors
// without a limit end none: they may come from a part of the upstream that doesn't know it.
void gateway_process::record_limit(const exchange& item)
{
    const auto& answer = item.response_metadata;
    const auto status = item.response_head->status;
    const bool ends = !answer.limit && !answer.limit_malformed && status < first_redirect_status;
    if (status == other_run_status || (!answer.limit && !answer.limit_malformed && !ends)) {
        return;
    }
    bool changed = false;
    if (!answer.limit_malformed || answer.limit) {
        changed = m_limits.record_answer(
            {item.upstream_id, item.upstream_born_ms, answer.limit, item.sent_at}, m_clock.now());
    }
    if (changed || answer.limit_malformed) {
        observe::info("upstream_limit_named",
                      {{"request", item.metadata.request_id},
                       {"upstream", item.upstream_id},
                       {"status", status},
                       {"ended", ends},
                       {"per_s", answer.limit.value_or(core::request_rate{}).per_s},
                       {"malformed", answer.limit_malformed}});
    }
    if (changed) {
        send_permit_query();
    }
}

// Lets a request wait for the leader's permit to send it to an upstream with a limit.
void gateway_process::request_permit(exchange& item, const std::string& upstream)
{
    item.permit_upstream = upstream;
    item.waiting = false;
    m_waiting.erase(item.id);
    m_awaiting_permit.insert(item.id);
    m_limits.add_wish(upstream);
    arm_timer(item, std::min(m_limits.answer_timeout(), time_left(item)));
    send_permit_query();
}

void gateway_process::stop_awaiting_permit(exchange& item)
{
    item.permit_upstream.clear();
    m_awaiting_permit.erase(item.id);
}

// Tells the leader about limits that answers named, and asks it for permits.
void gateway_process::send_permit_query()
{
    const auto leader = leader_address();
    if (leader.empty()) {
        return;
    }
    if (auto query = m_limits.take_query(m_clock.now())) {
        m_mesh->send(leader, wire::make_envelope(std::move(*query)));
    }
}

void gateway_process::apply_permits(const wire::send_permit_grant_t& grant)
{
    m_limits.apply_grant(grant, m_clock.now());
    std::set<std::string_view> upstreams;
    for (const auto& permit : grant.permits) {
        upstreams.insert(permit->upstream);
        observe::routine("send_permits", {{"upstream", permit->upstream},
                                          {"granted", permit->granted},
                                          {"next_ms", permit->next_ms},
                                          {"retry_after_ms", permit->retry_after_ms}});
    }
    for (const auto id : std::set<std::uint64_t>{m_awaiting_permit}) {
        const auto found = m_exchanges.find(id);
        if (found != m_exchanges.end() && upstreams.contains(found->second->permit_upstream)) {
            dispatch(*found->second);
        }
    }
    send_permit_query();
}

// Refuses a request because all upstreams that could run it have used up their limits.
void gateway_process::refuse_limited(exchange& item, core::duration retry_after)
{
    observe::info("request_limited", {{"request", item.metadata.request_id},
                                      {"service", item.service},
                                      {"generation", m_limits.generation()},
                                      {"retry_after_ms", core::to_ms(retry_after)}});
    if (item.stream_begun || item.may_have_run > 0) {
        fail_request(item, item.may_have_run > 0 && !item.stream_begun
                               ? item.failure_reason
                               : core::reason::upstream_limit);
        return;
    }
    respond_with_error(item, 503, core::reason::upstream_limit, retry_after);
}

bool gateway_process::consume_retry(exchange& item, const gateway::pool_choice& choice)
{
    const auto now = m_clock.now();
    const auto share = m_retry_share.fraction(now);
    auto& budget = m_retry_budgets[item.service];
    item.counts_as_retry = budget.try_consume(now, share);
    const auto usage = budget.usage(now, share);
    observe::info(item.counts_as_retry ? "retry_sent" : "retry_refused",
                  {{"request", item.metadata.request_id},
                   {"service", item.service},
                   {"upstream", choice.upstream},
                   {"attempt", item.attempts_sent + 1},
                   {"counted", usage.retries},
                   {"allowed", usage.allowed},
                   {"share", share},
                   {"generation", m_retry_share.generation()}});
    if (item.counts_as_retry) {
        m_metrics.count("siskindrift_retries_total");
    }
    return item.counts_as_retry;
}

void gateway_process::settle_retry(exchange& item)
{
    if (std::exchange(item.counts_as_retry, false)) {
        m_retry_budgets[item.service].settle(m_clock.now());
    }
}

void gateway_process::settle_retry_late(exchange& item)
{
    if (std::exchange(item.counts_as_retry, false)) {
        m_retry_budgets[item.service].settle_late(m_clock.now());
    }
}

void gateway_process::refund_retry(exchange& item)
{
    if (std::exchange(item.counts_as_retry, false)) {
        m_retry_budgets[item.service].refund();
    }
}

} // namespace siskindrift::apps
