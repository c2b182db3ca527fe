#include "siskindrift/gateway/retry_ledger.h"

#include <algorithm>
#include <utility>

namespace siskindrift::gateway {
namespace {

// Weight of the latest answer in the moving average of the time of answers.
constexpr double answer_time_weight = 0.05;

} // namespace

bool retry_ledger::try_retry(request_key request, const upstream_run& run, core::time_point now,
                             double share)
{
    remove_expired(now);
    auto& sends = m_requests[request];
    const auto arrival = is_overdue(run, now)   ? retry_arrival::overdue
                         : sends.unanswered > 0 ? retry_arrival::at_any_time
                                                : retry_arrival::soon;
    if (!m_budget.try_consume(now, share, arrival, uncertain_retries(now))) {
        remove_if_done(request);
        return false;
    }
    if (sends.retries == 0 && sends.arrived == 0 && sends.unanswered == 0) {
        sends.arrived = 1; // another gateway made the first send
    }
    ++sends.retries;
    return true;
}

void retry_ledger::record_sent(request_key request, const upstream_run& run, core::time_point now)
{
    auto& sends = m_requests[request];
    sends.open = run;
    sends.open_since = now;
    sends.open_arrived = false;
    auto& state = m_runs[run];
    state.open.insert(request);
    state.waiting_since = state.waiting_since.value_or(now);
}

void retry_ledger::record_answer(request_key request, core::time_point now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.open) {
        return;
    }
    auto& sends = found->second;
    auto [run, state] = end_open_send(request, sends);
    const auto sent = sends.open_since;
    record_answer_time(now - sent);
    state.answered_sent = std::max(state.answered_sent, sent);
    const bool was_silent = is_silent(run, now);
    record_sign_of_life(state, now);
    if (!sends.open_arrived) {
        settle(sends, now);
    }
    settle_earlier(state, sent, was_silent, now);
    remove_if_done(request);
    remove_if_idle(run);
}

void retry_ledger::record_not_sent(request_key request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.open) {
        return;
    }
    auto& sends = found->second;
    auto [run, state] = end_open_send(request, sends);
    if (state.open.empty() && !is_overdue(run, sends.open_since)) {
        state.waiting_since.reset();
    }
    if (sends.retries > 0) {
        --sends.retries;
        m_budget.refund();
    }
    remove_if_done(request);
    remove_if_idle(run);
}

bool retry_ledger::record_unanswered(request_key request, send_end how, core::time_point now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.open) {
        return false;
    }
    auto& sends = found->second;
    auto [run, state] = end_open_send(request, sends);
    const bool silent = is_silent(run, now);
    const bool overdue = is_overdue(run, now);
    // A run that is known to read its requests has read this one, or is about to.
    const bool reads =
        how == send_end::peer_closed ? !silent : state.answered_sent >= sends.open_since && !silent;
    const bool arrived = sends.open_arrived || reads;
    if (reads && how == send_end::peer_closed) {
        record_sign_of_life(state, now);
    }
    if (!arrived) {
        ++sends.unanswered;
        state.unanswered.push_back({request, sends.open_since, now});
        if (state.open.empty() && !overdue) {
            state.waiting_since.reset(); // it had no time to answer
        }
    }
    else if (!sends.open_arrived) {
        settle(sends, now + fleet::late_arrival_limit);
    }
    remove_if_done(request);
    remove_if_idle(run);
    return !arrived;
}

void retry_ledger::record_end(request_key request, bool shared)
{
    if (const auto found = m_requests.find(request); found != m_requests.end()) {
        auto& sends = found->second;
        if (shared && sends.arrived == 0 && sends.unanswered > 0) {
            sends.arrived = 1;
            ++sends.retries;
            m_budget.consume();
        }
        sends.ended = true;
        remove_if_done(request);
    }
}

void retry_ledger::record_activity(const upstream_run& run, core::time_point now)
{
    if (const auto found = m_runs.find(run); found != m_runs.end()) {
        record_sign_of_life(found->second, now);
    }
}

void retry_ledger::record_run_end(const upstream_run& run, core::time_point now)
{
    if (const auto found = m_runs.find(run); found != m_runs.end()) {
        auto& state = found->second;
        settle_unanswered(state, now + fleet::late_arrival_limit,
                          [](const unanswered_send&) { return true; });
        record_sign_of_life(state, now);
        remove_if_idle(run);
    }
}

std::vector<upstream_run> retry_ledger::unanswering_runs() const
{
    std::vector<upstream_run> runs;
    for (const auto& [run, state] : m_runs) {
        if (!state.unanswered.empty()) {
            runs.push_back(run);
        }
    }
    return runs;
}

std::set<std::string> retry_ledger::overdue_upstreams(core::time_point now) const
{
    std::set<std::string> upstreams;
    for (const auto& [run, state] : m_runs) {
        if (is_overdue(run, now)) {
            upstreams.insert(run.upstream);
        }
    }
    return upstreams;
}

std::set<std::string> retry_ledger::unsettled_upstreams(core::time_point now) const
{
    std::set<std::string> upstreams;
    for (const auto& [run, state] : m_runs) {
        if (!state.unanswered.empty() && !is_overdue(run, now)) {
            upstreams.insert(run.upstream);
        }
    }
    return upstreams;
}

core::duration retry_ledger::longest_silence(core::time_point now) const
{
    core::duration longest{};
    for (const auto& [run, state] : m_runs) {
        if (!state.unanswered.empty()) {
            longest = std::max(longest, now - state.waiting_since.value_or(now));
        }
    }
    return longest;
}

bool retry_ledger::is_silent(const upstream_run& run, core::time_point now) const
{
    return waits_longer_than(run, m_options.silence_limit, now);
}

bool retry_ledger::is_overdue(const upstream_run& run, core::time_point now) const
{
    return waits_longer_than(run, overdue_time(), now);
}

bool retry_ledger::waits_longer_than(const upstream_run& run, core::duration limit,
                                     core::time_point now) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end() && found->second.waiting_since &&
           now - *found->second.waiting_since > limit;
}

core::duration retry_ledger::overdue_time() const
{
    if (m_answer_time == core::duration::zero()) {
        return m_options.silence_limit;
    }
    return std::max(
        std::chrono::duration_cast<core::duration>(m_answer_time * m_options.overdue_factor),
        m_options.min_overdue_time);
}

void retry_ledger::record_answer_time(core::duration time)
{
    const auto before = m_answer_time == core::duration::zero() ? time : m_answer_time;
    m_answer_time = std::chrono::duration_cast<core::duration>(before * (1 - answer_time_weight) +
                                                               time * answer_time_weight);
}

std::uint32_t retry_ledger::uncertain_retries(core::time_point now) const
{
    std::uint32_t number = 0;
    for (const auto& [request, sends] : m_requests) {
        const bool uncertain = sends.unanswered > 0 || (sends.open && is_overdue(*sends.open, now));
        number += uncertain ? sends.retries : 0;
    }
    return number;
}

std::size_t retry_ledger::unanswered() const
{
    std::size_t number = 0;
    for (const auto& [request, sends] : m_requests) {
        number += sends.retries > 0 ? sends.unanswered : 0;
    }
    return number;
}

std::pair<upstream_run, retry_ledger::run_state&> retry_ledger::end_open_send(request_key request,
                                                                              request_sends& sends)
{
    const auto run = *std::exchange(sends.open, std::nullopt);
    auto& state = m_runs[run];
    state.open.erase(request);
    return {run, state};
}

// Counts a send as arrived. The first of a request to arrive is no retry.
void retry_ledger::settle(request_sends& sends, core::time_point arrived_by)
{
    ++sends.arrived;
    if (sends.arrived > 1 && sends.retries > 0) {
        --sends.retries;
        m_budget.settle(arrived_by);
    }
}

// Settles those unanswered sends that the run has read, or will never read.
void retry_ledger::settle_unanswered(run_state& run, core::time_point arrived_by,
                                     const std::function<bool(const unanswered_send&)>& arrived)
{
    std::erase_if(run.unanswered, [&](const unanswered_send& send) {
        if (!arrived(send)) {
            return false;
        }
        if (const auto found = m_requests.find(send.request); found != m_requests.end()) {
            --found->second.unanswered;
            settle(found->second, arrived_by);
            remove_if_done(send.request);
        }
        return true;
    });
}

// Settles what was sent to a run before a send that it answered.
void retry_ledger::settle_earlier(run_state& run, core::time_point answered_sent, bool was_silent,
                                  core::time_point now)
{
    for (const auto request : run.open) {
        auto& sends = m_requests.at(request);
        // A run that stood still may not have read it yet; its own answer tells the time better.
        if (!was_silent && !sends.open_arrived && sends.open_since <= answered_sent &&
            now - sends.open_since >= fleet::late_arrival_limit) {
            sends.open_arrived = true;
            settle(sends, now);
        }
    }
    settle_unanswered(run, now + fleet::late_arrival_limit,
                      [&](const unanswered_send& send) { return send.sent <= answered_sent; });
}

void retry_ledger::record_sign_of_life(run_state& run, core::time_point now) const
{
    run.waiting_since = !run.open.empty() ? std::optional{now} : std::nullopt;
}

// Unanswered sends of a request without a counted retry are its first arrival or none.
void retry_ledger::remove_if_done(request_key request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.ended && found->second.retries == 0 &&
        !found->second.open) {
        m_requests.erase(found);
    }
}

void retry_ledger::remove_if_idle(const upstream_run& run)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end() && found->second.open.empty() && found->second.unanswered.empty() &&
        !found->second.waiting_since) {
        m_runs.erase(found);
    }
}

void retry_ledger::remove_expired(core::time_point now)
{
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        auto& state = run->second;
        settle_unanswered(state, now + fleet::late_arrival_limit, [&](const unanswered_send& send) {
            return now - send.ended > m_options.max_unanswered;
        });
        if (state.open.empty() && state.unanswered.empty()) {
            run = m_runs.erase(run);
        }
        else {
            ++run;
        }
    }
}

} // namespace siskindrift::gateway
