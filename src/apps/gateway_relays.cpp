// Requests that reach their upstreams through another gateway, and the paths to upstreams.
#include <algorithm>

#include "gateway_process.h"
#include "platform/calls.h"
#include "platform/exchange_codec.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds helper_connect_timeout{300}; // several round trips
constexpr core::milliseconds probe_timeout{400};          // several round trips
constexpr core::milliseconds path_check_interval{250};    // a few within the time to notice a cut
constexpr std::size_t max_relayed_bytes = 16UL * 1024 * 1024;
// A gateway takes on the requests of some others, but no more than it can carry beside its own.
constexpr std::size_t max_helped_requests = 256;
// Exchanges of the two servers are numbered independently.
constexpr std::uint64_t relayed_exchange_bit = 1ULL << 63;

} // namespace

void gateway_process::handle_relay_disconnect(std::uint64_t server_id)
{
    handle_disconnect(server_id | relayed_exchange_bit);
}

// Takes a request that another gateway passes on because it can't reach the upstreams.
void gateway_process::handle_relayed_request(std::uint64_t server_id, http::server_request request,
                                             std::shared_ptr<http::responder> responder)
{
    const auto id = server_id | relayed_exchange_bit;
    const auto state = gateway::decode_relay_request(request.headers);
    if (!state) {
        observe::warn("relay_refused", {{"reason", "the request is not from a gateway"}});
        responder->respond(400, {}, "");
        return;
    }
    auto new_exchange = std::make_unique<exchange>();
    auto& item = *new_exchange;
    item.relayed = true;
    item.attempts_sent = state->attempts_sent;
    item.attempts_counted = state->counted ? state->attempts_sent : 0;
    item.may_have_run = state->may_have_run;
    item.may_have_run_before = state->may_have_run;
    item.tried_upstreams = state->tried_upstreams;
    item.pin = state->pin;
    m_metrics.count("siskindrift_requests_helped_total");
    begin_exchange(id, std::move(new_exchange), std::move(request), std::move(responder));
}

// Passes a request on to another gateway. Returns false if there is none to pass it on to.
bool gateway_process::send_relay(exchange& item)
{
    const auto now = m_clock.now();
    const auto helper = m_helpers.choose(item.service, item.tried_helpers, now);
    if (!helper) {
        return false;
    }
    if (item.attempts_sent > 0 && !try_retry(item, gateway::relay_run(helper->vm, m_next_call))) {
        fail_request(item, core::reason::retry_budget);
        return true;
    }
    observe::info("request_relayed", {{"request", item.metadata.request_id},
                                      {"service", item.service},
                                      {"helper", helper->vm},
                                      {"helpers_tried", item.tried_helpers.size()},
                                      {"lost_all", m_upstreams_lost},
                                      {"age_ms", core::to_ms(now - item.arrived_at)}});
    m_metrics.count("siskindrift_requests_relayed_total");
    m_helpers.record_sent(helper->vm);
    gateway::relay_request state;
    state.attempts_sent = item.attempts_sent;
    state.may_have_run = item.may_have_run;
    state.tried_upstreams = item.reached_upstreams;
    state.pin = item.pin;
    state.counted = true;
    begin_attempt(item);
    item.helper = helper->vm;
    item.tried_helpers.insert(helper->vm);
    item.upstream_id.clear();
    item.upstream_born_ms = 0;
    item.software_version.clear();
    item.upstream_address = helper->address;
    platform::forwarding_fields added;
    added.time_left = time_left(item);
    if (item.last_event_id != item.metadata.last_event_id) {
        added.last_event_id = item.last_event_id;
    }
    auto call = make_call(item, added);
    for (auto& header : gateway::encode_relay_request(state)) {
        call.headers.push_back(std::move(header));
    }
    call.connect_timeout = std::min<core::duration>(helper_connect_timeout, time_left(item));
    call.max_body_bytes = max_relayed_bytes;
    m_retries[item.service].record_sent(gateway::request_key{item.id}, run_of(item), now);
    m_client.start(std::move(call));
    arm_timer(item, time_left(item));
    return true;
}

// Applies what the other gateway says of its answer, and removes it from the headers.
void gateway_process::apply_relay_head(exchange& item, http::client_head& head)
{
    const auto answer = gateway::decode_relay_answer(head.headers);
    gateway::remove_relay_headers(head.headers);
    if (item.helper.empty()) {
        return;
    }
    if (!answer) {
        // Not from an upstream, and not from the part of the helper that knows what became of it.
        item.relay_verdict = core::verdict::may_have_run;
        item.relay_reason = core::reason::answer_incomplete;
        return;
    }
    item.helper_sent = answer->attempts_sent >= item.attempts_sent;
    item.attempts_sent = std::max(item.attempts_sent - 1, answer->attempts_sent);
    item.may_have_run = answer->may_have_run;
    item.software_version = answer->software_version;
    item.upstream_born_ms = answer->born_ms;
    item.relay_upstream = answer->upstream;
    item.relay_verdict = answer->own_verdict;
    if (!answer->own_verdict) {
        record_stream_origin(item);
        return;
    }
    item.relay_reason = answer->reason;
    if (*answer->own_verdict == core::verdict::not_run) {
        ++item.may_have_run; // taken back when the attempt ends as not executed
        if (answer->reason == core::reason::upstream_unreachable) {
            m_helpers.record_refusal(item.helper, item.service, m_clock.now());
            for (const auto& upstream : item.unreached) {
                m_pool.record_unreached_elsewhere(upstream, m_clock.now());
            }
        }
    }
}

// Ends the part of the helper in the current attempt.
void gateway_process::end_relay(exchange& item, bool failed)
{
    m_helpers.record_ended(item.helper);
    if (failed) {
        m_helpers.record_failure(item.helper, m_clock.now());
    }
}

// Returns the headers that tell the gateway that passed a request on how it was answered.
http::header_list gateway_process::relay_headers(const exchange& item,
                                                 std::optional<core::reason> own_reason) const
{
    if (!item.relayed) {
        return {};
    }
    gateway::relay_answer answer;
    answer.attempts_sent = item.attempts_sent;
    answer.may_have_run = item.may_have_run;
    answer.software_version = item.software_version;
    answer.upstream = item.upstream_id;
    answer.born_ms = item.upstream_born_ms;
    if (own_reason) {
        answer.own_verdict = item.may_have_run > item.may_have_run_before
                                 ? core::verdict::may_have_run
                                 : core::verdict::not_run;
        answer.reason = *own_reason;
    }
    return gateway::encode_relay_answer(answer);
}

bool gateway_process::accepts_relays() const
{
    const auto helped = std::count_if(m_exchanges.begin(), m_exchanges.end(),
                                      [](const auto& item) { return item.second->relayed; });
    return !m_draining && static_cast<std::size_t>(helped) <= max_helped_requests;
}

// Checks the paths to upstreams while requests wait for them or connections fail.
void gateway_process::schedule_path_check()
{
    if (std::exchange(m_path_check_scheduled, true)) {
        return;
    }
    m_path_timer.expires_after(path_check_interval);
    m_path_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            m_path_check_scheduled = false;
            check_paths();
        }
    });
}

void gateway_process::check_paths()
{
    const auto now = m_clock.now();
    for (const auto& [id, address] : m_pool.take_upstreams_to_probe(now)) {
        m_client.probe(address, probe_timeout, [this, id = id, address = address](bool connected) {
            m_pool.record_probe(id, connected, m_clock.now());
            if (!connected) {
                m_client.close_idle_connections(address);
            }
            update_reachability();
        });
    }
    give_up_lost_attempts();
    update_reachability();
    if (m_pool.needs_probes(now)) {
        schedule_path_check();
    }
}

// Requests that may be repeated are sent again if their upstream is neither reachable nor heard.
void gateway_process::give_up_lost_attempts()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : m_exchanges) {
        if (item->call_id != 0 && item->helper.empty() && item->route.repeatable() &&
            m_pool.is_lost(item->upstream_id, m_clock.now())) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        if (const auto found = m_exchanges.find(id); found != m_exchanges.end()) {
            end_call(*found->second, http::call_result::timed_out,
                     "the upstream is silent and can't be reached");
        }
    }
}

// Tells the other gateways when this one loses all upstreams or reaches some again.
void gateway_process::update_reachability()
{
    const bool lost = m_pool.has_lost_all(m_clock.now());
    if (std::exchange(m_upstreams_lost, lost) == lost) {
        return;
    }
    observe::warn(lost ? "upstreams_lost" : "upstreams_reached",
                  {{"upstreams", m_roster.entries().size()}, {"requests", m_exchanges.size()}});
    for (const auto& [address, state] : m_coordinators) {
        if (state.connected) {
            send_attach(address);
        }
    }
    schedule_report();
    dispatch_waiting();
}

} // namespace siskindrift::apps
