// The retry budget and the prompt guard in the life of a request.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "gateway_process.h"
#include "siskindrift/fleet/request_part.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds blocked_retry_after{30'000}; // a blocked part is tried again
constexpr core::milliseconds suspected_retry_after{1000}; // a suspected request is tried alone
constexpr std::uint16_t first_redirect_status = 300;
constexpr core::milliseconds place_check_interval{30};  // the leader has none for so long
constexpr core::milliseconds place_report_interval{20}; // collects what is freed in that time
constexpr double place_wait_share = 0.3;        // of a caller's time; the rest is for the answer
constexpr std::uint16_t other_run_status = 421; // may come from another run at the address
// Combines what many requests show at the same time in one message.
constexpr core::milliseconds evidence_interval{50};
constexpr core::milliseconds refusal_report_interval{500};
// An upstream that is silent for longer after a send stands still, or its link does.
constexpr core::milliseconds suspicious_silence{3000};
// Coordinators that have known the fleet for so long before a gateway started have heard of all
// upstreams that its former process may have used.
constexpr core::milliseconds max_unannounced_time{20'000};

core::reason reason_for(const gateway::blocked_request& blocked)
{
    return fleet::is_whole_request(blocked.part) ? core::reason::crashing_request
                                                 : core::reason::crashing_prompt;
}

} // namespace

// Refuses a request that has a part which crashes upstreams. Returns whether it did.
bool gateway_process::refuse_blocked(exchange& item)
{
    if (item.on_trial || !m_prompt_guard.has_blocked(item.parts)) {
        return false;
    }
    const auto blocked = m_prompt_guard.find_blocked(item.parts);
    observe::info(blocked ? "request_blocked" : "request_on_trial",
                  {{"request", item.metadata.request_id},
                   {"part", blocked ? blocked->part : std::string{}},
                   {"suspected", blocked && blocked->suspected},
                   {"digest", item.digest},
                   {"prompt", gateway::to_string(item.metadata.prompt)},
                   {"generation", m_prompt_guard.generation()}});
    if (!blocked) {
        item.on_trial = true;
        return false;
    }
    schedule_prompt_evidence(refusal_report_interval);
    const auto reason = reason_for(*blocked);
    if (item.stream_begun) {
        abort_stream(item, reason);
        return true;
    }
    const bool possibly_executed = item.may_have_run > 0;
    const core::duration retry_after =
        blocked->suspected ? suspected_retry_after : blocked_retry_after;
    respond_with_error(item, possibly_executed ? 502 : 503, reason,
                       possibly_executed ? std::nullopt : std::optional{retry_after});
    return true;
}

// Refuses the open requests that have a part which was blocked just now, unless an upstream has
// begun to answer them. Those of a part that is only suspected may be answered, which acquits it.
void gateway_process::refuse_newly_blocked()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : m_exchanges) {
        if (!item->stream_begun && !item->response_head && !m_awaiting_document.contains(id)) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end() || found->second->on_trial) {
            continue;
        }
        auto& item = *found->second;
        if (item.call_id == 0) {
            refuse_blocked(item);
        }
        else if (m_prompt_guard.has_guilty(item.parts)) {
            // An upstream may begin it at any moment.
            const auto blocked = m_prompt_guard.find_blocked(item.parts);
            cancel_attempt(item);
            respond_with_error(item, 502,
                               blocked ? reason_for(*blocked) : core::reason::crashing_request,
                               std::nullopt);
        }
    }
}

// Records that an upstream went on with an answer. A failure acquits the whole request only: a
// prompt part may be what the upstream failed on.
void gateway_process::record_answer(exchange& item, bool success)
{
    // The helper records what it hears of the upstream itself.
    if (item.helper.empty() && !std::exchange(item.answer_recorded, true)) {
        const auto& parts = success ? item.parts : gateway::request_parts{item.parts.back()};
        m_prompt_guard.record_answer(item.service, parts, m_clock.now());
        if (m_prompt_guard.has_news()) {
            schedule_prompt_evidence(evidence_interval);
        }
    }
}

// Records a connection that ended before the upstream had gone on with its answer. Without the head
// of an answer only the whole request is suspected: the upstream may not have begun it yet.
void gateway_process::record_crash(exchange& item)
{
    const bool without_head = !item.response_head.has_value();
    const bool success = item.response_head && item.response_head->status < first_redirect_status;
    const bool begun = item.events.events() >= item.events_before + events_begun;
    if (!item.helper.empty() || (!success && !without_head) || begun ||
        item.call_end.result == http::call_result::timed_out) {
        return;
    }
    gateway::crash_report crash;
    crash.parts = item.parts;
    if (without_head) {
        crash.parts = {item.parts.back()};
    }
    if (!without_head || item.on_trial) {
        ++item.crashes;
    }
    crash.upstream = item.upstream_id;
    crash.born_ms = item.upstream_born_ms;
    crash.request = item.metadata.request_id;
    crash.without_head = without_head;
    crash.sent = item.sent_at;
    observe::info("upstream_ended_under_request",
                  {{"request", item.metadata.request_id},
                   {"service", item.service},
                   {"upstream", item.upstream_id},
                   {"without_head", without_head},
                   {"digest", item.digest},
                   {"prompt", gateway::to_string(item.metadata.prompt)}});
    m_prompt_guard.record_crash(crash, m_clock.now());
    schedule_prompt_evidence(evidence_interval);
}

// Tells the leader which prompt parts crashed engines, were answered, or were refused here.
void gateway_process::send_prompt_evidence()
{
    const auto leader = leader_address();
    if (leader.empty()) {
        return;
    }
    m_evidence_sent_at = m_clock.now();
    if (auto evidence =
            m_prompt_guard.take_evidence(m_coordinators[leader].time, m_evidence_sent_at)) {
        m_mesh->send(leader, wire::make_envelope(std::move(*evidence)));
    }
}

// Sends the evidence at once, unless the last was sent less than @p interval ago.
void gateway_process::schedule_prompt_evidence(core::duration interval)
{
    const auto now = m_clock.now();
    const auto due = m_evidence_sent_at + interval;
    if (due <= now) {
        send_prompt_evidence();
        return;
    }
    if (m_evidence_due && *m_evidence_due <= due) {
        return;
    }
    m_evidence_due = due;
    m_evidence_timer.expires_after(due - now);
    m_evidence_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            m_evidence_due.reset();
            send_prompt_evidence();
        }
    });
}

// Lets another request try a blocked part, if this one was to try it and was never sent.
void gateway_process::restore_trial(exchange& item)
{
    if (std::exchange(item.on_trial, false) && item.attempts_sent == 0) {
        m_prompt_guard.restore_trial(item.parts);
    }
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

// Records whether an upstream says that it fails when it rejects too much. Errors that don't say so
// end nothing: they may come from a part of the upstream that doesn't know it.
void gateway_process::record_rejection_limit(const exchange& item)
{
    const auto& answer = item.response_metadata;
    const auto status = item.response_head->status;
    if (status == other_run_status ||
        (!answer.rejection_limit && status >= first_redirect_status)) {
        return;
    }
    const auto* entry = m_roster.find(item.upstream_id);
    gateway::place_answer place;
    place.service = item.service;
    place.upstream = item.upstream_id;
    place.born_ms = item.upstream_born_ms;
    place.slots = entry != nullptr ? entry->info.slots : 1;
    place.limited = answer.rejection_limit.has_value();
    place.sent = item.sent_at;
    m_limits.places().set_leader(!leader_address().empty(), gateway_count());
    if (m_limits.places().record_answer(place, m_clock.now())) {
        observe::info("rejection_limit_named", {{"request", item.metadata.request_id},
                                                {"upstream", item.upstream_id},
                                                {"slots", place.slots},
                                                {"limit", answer.rejection_limit.value_or(0)},
                                                {"ended", !place.limited}});
        send_permit_query();
        schedule_place_report();
    }
}

// An upstream that has just started says nothing before its first answers, but fails like the
// others of its service.
void gateway_process::divide_places_of_new_runs()
{
    auto& places = m_limits.places();
    if (places.limited_services().empty()) {
        return;
    }
    for (const auto& [id, entry] : m_roster.entries()) {
        if (places.limited_services().contains(entry.info.service)) {
            places.set_limited(entry.info.service, id, entry.info.born_ms, entry.info.slots,
                               m_clock.now());
        }
    }
    schedule_place_report();
}

// Records that an upstream says that it leaves, or that it wants no requests for some time.
void gateway_process::record_departure(const exchange& item)
{
    const auto& answer = item.response_metadata;
    const auto now = m_clock.now();
    const auto& upstream = item.helper.empty() ? item.upstream_id : item.relay_upstream;
    if (answer.leaving && m_roster.mark_draining(upstream, item.upstream_born_ms, m_clock.now())) {
        observe::info("upstream_leaving",
                      {{"request", item.metadata.request_id}, {"upstream", upstream}});
    }
    if (answer.pause && item.helper.empty()) {
        m_pool.record_pause(item.upstream_id, now + *answer.pause, now);
        observe::info("upstream_paused", {{"request", item.metadata.request_id},
                                          {"upstream", item.upstream_id},
                                          {"ms", core::to_ms(*answer.pause)}});
    }
}

// Lets a request wait until an upstream has a place. Returns false if it has waited long enough.
bool gateway_process::wait_for_place(exchange& item)
{
    const auto waited = m_clock.now() - item.arrived_at;
    const auto longest = std::chrono::duration_cast<core::duration>(
        std::min<core::duration>(item.deadline - item.arrived_at, item.route.stream_idle_timeout) *
        place_wait_share);
    if (waited >= longest) {
        return false;
    }
    item.waiting = false;
    m_waiting.erase(item.id);
    m_awaiting_place.insert(item.id);
    arm_timer(item, std::min<core::duration>(place_check_interval, longest - waited));
    return true;
}

// Gives the place of a request that has ended to one that waits here, or else back to the leader.
void gateway_process::free_place(const exchange& item)
{
    m_limits.places().end(item.upstream_id);
    if (!m_limits.places().is_limited(item.upstream_id, item.upstream_born_ms)) {
        return;
    }
    schedule_place_report();
    if (!m_awaiting_place.empty()) {
        const auto id = *m_awaiting_place.begin();
        boost::asio::post(m_context, [this, id] {
            const auto found = m_exchanges.find(id);
            if (found != m_exchanges.end() && m_awaiting_place.erase(id) > 0) {
                dispatch(*found->second);
            }
        });
    }
}

// Tells the leader about places in use while upstreams have places to divide.
void gateway_process::schedule_place_report()
{
    if (std::exchange(m_place_report_scheduled, true)) {
        return;
    }
    m_place_timer.expires_after(place_report_interval);
    m_place_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_place_report_scheduled = false;
        m_limits.places().set_leader(!leader_address().empty(), gateway_count());
        send_permit_query();
        if (m_limits.places().has_news()) {
            schedule_place_report();
        }
    });
}

// Lets a request wait for the leader's permit to send it to an upstream with a limit.
void gateway_process::request_permit(exchange& item, const std::string& upstream)
{
    item.waiting = false;
    m_waiting.erase(item.id);
    if (leader_address().empty()) {
        m_limits.record_no_leader(upstream, m_clock.now());
        m_limits.places().set_leader(false, gateway_count());
        dispatch(item); // elsewhere, or it is refused
        return;
    }
    item.permit_upstream = upstream;
    m_awaiting_permit.insert(item.id);
    m_limits.places().set_leader(true, gateway_count());
    const auto* entry = m_roster.find(upstream);
    if (entry == nullptr ||
        m_limits.places().has_place(upstream, entry->info.born_ms, m_clock.now())) {
        m_limits.add_wish(upstream);
    }
    else {
        m_limits.places().add_wish(upstream);
    }
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
    for (const auto& place : grant.places) {
        upstreams.insert(place->upstream);
    }
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

// Returns the run that the current attempt was sent to.
gateway::upstream_run gateway_process::run_of(const exchange& item)
{
    if (!item.helper.empty()) {
        return gateway::relay_run(item.helper, item.call_id);
    }
    return {item.upstream_id, item.upstream_born_ms};
}

// Keeps retries away from upstreams that may stand still, and lets first sends find out which do.
gateway::send_preference gateway_process::preference_for(const exchange& item)
{
    const auto& retries = m_retries[item.service];
    const auto now = m_clock.now();
    if (item.attempts_sent > item.attempts_counted) {
        return {retries.overdue_upstreams(now), {}};
    }
    return {{}, retries.unsettled_upstreams(now)};
}

// Counts the next attempt as a retry. Returns false if the budget doesn't allow it.
bool gateway_process::try_retry(const exchange& item, const gateway::upstream_run& run)
{
    const auto now = m_clock.now();
    const auto share = m_retry_share.fraction(now);
    auto& retries = m_retries[item.service];
    const bool overdue = retries.is_overdue(run, now);
    const bool allowed = retries.try_retry(gateway::request_key{item.id}, run, now, share);
    const auto usage = retries.usage(now, share);
    observe::info(allowed ? "retry_sent" : "retry_refused",
                  {{"request", item.metadata.request_id},
                   {"service", item.service},
                   {"upstream", run.upstream},
                   {"overdue", overdue},
                   {"attempt", item.attempts_sent + 1},
                   {"counted", usage.retries},
                   {"unanswered", retries.unanswered()},
                   {"uncertain", retries.uncertain_retries(now)},
                   {"allowed", usage.allowed},
                   {"share", share},
                   {"generation", m_retry_share.generation()}});
    if (allowed) {
        m_metrics.count("siskindrift_retries_total");
    }
    return allowed;
}

// Records that the current attempt ended without an answer.
void gateway_process::record_unanswered_send(const exchange& item, gateway::send_end how)
{
    const auto now = m_clock.now();
    auto& retries = m_retries[item.service];
    if (!item.helper.empty()) {
        how = gateway::send_end::given_up; // an upstream may hold what the helper sent
    }
    const bool silent = retries.is_silent(run_of(item), now);
    const bool may_arrive = retries.record_unanswered(gateway::request_key{item.id}, how, now);
    if (item.response_head) {
        return;
    }
    observe::info("send_unanswered", {{"request", item.metadata.request_id},
                                      {"service", item.service},
                                      {"upstream", run_of(item).upstream},
                                      {"attempt", item.attempts_sent},
                                      {"peer_closed", how == gateway::send_end::peer_closed},
                                      {"silent", silent},
                                      {"may_arrive", may_arrive},
                                      {"age_ms", core::to_ms(now - item.sent_at)}});
}

// Records that the current attempt was answered. A helper that failed goes on counting its own
// sends, so that an answer of its own settles this one too.
void gateway_process::record_answered_send(const exchange& item)
{
    auto& retries = m_retries[item.service];
    const gateway::request_key request{item.id};
    // An upstream that rejected the request has received it, although it has not run.
    if (item.relay_verdict == core::verdict::not_run && !item.helper_sent) {
        retries.record_not_sent(request);
    }
    else {
        retries.record_answer(request, m_clock.now());
    }
}

// Looks for upstreams that may still receive what a former process of this gateway sent. One that
// stands still doesn't announce itself.
void gateway_process::watch_silent_upstreams()
{
    const auto now = m_clock.now();
    const auto& entries = m_roster.entries();
    const bool unannounced = std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
        return item.second.info.state == wire::fleet_state::ready &&
               !m_roster.usable(item.second, now);
    });
    const bool silent = std::any_of(m_retries.begin(), m_retries.end(), [&](const auto& item) {
        return item.second.longest_silence(now) > suspicious_silence;
    });
    if (unannounced || silent || m_fleet_known_since > m_started_at - max_unannounced_time) {
        m_retry_share.record_silent_upstream(now);
    }
}

// Finds out what became of sends without an answer. They end with the run that they were sent to:
// when it starts again, or another upstream starts at its address.
void gateway_process::resolve_unanswered_sends()
{
    const auto now = m_clock.now();
    for (auto& [service, retries] : m_retries) {
        retries.remove_expired(now);
        for (const auto& run : retries.unanswering_runs()) {
            const auto* entry = m_roster.find(run.upstream);
            if (entry == nullptr) {
                continue;
            }
            const auto& entries = m_roster.entries();
            const bool replaced =
                std::any_of(entries.begin(), entries.end(), [&](const auto& other) {
                    return other.second.info.address == entry->info.address &&
                           other.second.info.born_ms > run.born_ms;
                });
            if (replaced) {
                observe::info("unanswering_run_ended",
                              {{"service", service}, {"upstream", run.upstream}});
                retries.record_run_end(run, now);
            }
        }
    }
}

} // namespace siskindrift::apps
