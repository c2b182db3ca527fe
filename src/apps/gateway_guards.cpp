// The retry budget and the prompt guard in the life of a request.
#include "gateway_process.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds blocked_retry_after{30'000}; // a blocked prompt part is tried again
constexpr std::uint16_t first_redirect_status = 300;

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

// Logs the limit that an upstream names in an answer.
void gateway_process::record_limit(const exchange& item)
{
    const auto& answer = item.response_metadata;
    if (answer.limit || answer.limit_malformed) {
        observe::info("upstream_limit_named",
                      {{"request", item.metadata.request_id},
                       {"upstream", item.upstream_id},
                       {"status", item.response_head->status},
                       {"per_s", answer.limit.value_or(core::request_rate{}).per_s},
                       {"malformed", answer.limit_malformed}});
    }
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
