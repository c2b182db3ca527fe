#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>

#include "gateway_process.h"
#include "platform/calls.h"
#include "siskindrift/gateway/request_digest.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

// If the caller sends no deadline; the timeout of the route may be shorter.
constexpr core::milliseconds default_deadline{30'000};
constexpr core::milliseconds response_margin{15};  // network time of the response to the caller
constexpr core::milliseconds connect_timeout{400}; // several round trips
// Time until an upstream is tried again that didn't accept a connection.
constexpr core::milliseconds connect_pause{50};
// Upstreams keep idle connections open longer.
constexpr core::milliseconds max_reusable_idle{800};
constexpr core::milliseconds default_retry_after{300}; // loading an adapter, or an ejection's end
// Limits on responses, so that endless ones don't exhaust the memory of the process.
constexpr std::size_t max_kept_response_bytes = 8UL * 1024 * 1024;
constexpr std::size_t max_streamed_response_bytes = 16UL * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024UL * 1024; // of a resumable stream, which is held back
constexpr core::milliseconds short_retry_after{100};   // a document or another gateway is due
constexpr core::milliseconds document_retry_after{30'000}; // an operator has to change the document
constexpr core::milliseconds first_document_timeout{1500}; // an election and a disk read
// Shares of a request's time that it may wait; the rest is left for a retry by the caller.
constexpr double first_document_share = 0.5;
constexpr double upstream_wait_share = 0.5;
constexpr std::uint16_t first_redirect_status = 300;
constexpr std::uint16_t service_unavailable = 503;
constexpr std::size_t max_counted_rejections = 256;
// A fraction of the time after which an upstream counts as silent.
constexpr core::milliseconds activity_interval{100};
// Limit for the names of a model and its adapter together. They are kept, here and at coordinators,
// for a while after the request.
constexpr std::size_t max_model_name_bytes = 512;
constexpr std::uint16_t bad_request = 400;
constexpr std::string_view too_large_to_keep = "the response is too large to keep";

// Returns the length of the body that a head states, or 0.
std::uint64_t stated_length(const http::client_head& head)
{
    const auto text = head.header("Content-Length");
    std::uint64_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

// Short strings need no memory of their own.
std::size_t kept_capacity(const std::string& text)
{
    return text.empty() ? 0 : text.capacity();
}

core::reason reason_for(http::call_result outcome)
{
    switch (outcome) {
    case http::call_result::not_sent:
        return core::reason::upstream_unreachable;
    case http::call_result::timed_out:
        return core::reason::upstream_silent;
    case http::call_result::connection_lost:
        return core::reason::upstream_lost;
    case http::call_result::complete:
        break;
    }
    return core::reason::none;
}

} // namespace

std::string_view gateway_process::caller_framing(const exchange& item)
{
    return http::to_string(item.stream_begun ? http::body_framing::chunked
                                             : http::body_framing::length);
}

core::duration gateway_process::time_left(const exchange& item) const
{
    return item.deadline - m_clock.now();
}

void gateway_process::count_reason(core::reason reason)
{
    m_metrics.count_reason(reason);
}

// Records an upstream's response that was passed to the caller completely.
void gateway_process::record_served(const exchange& item, std::uint16_t status)
{
    const auto now = m_clock.now();
    const auto ms_since_arrival = [&](std::optional<core::time_point> time) {
        return core::to_ms(time.value_or(now) - item.arrived_at);
    };
    m_metrics.count("siskindrift_answers_passed_on_total");
    m_metrics.observe_ms("siskindrift_first_byte_ms",
                         static_cast<double>(ms_since_arrival(item.first_byte_at)));
    m_metrics.observe_ms("siskindrift_answer_ms", static_cast<double>(ms_since_arrival(now)));
    observe::routine("request_served", {{"request", item.metadata.request_id},
                                        {"route", item.route.name},
                                        {"status", status},
                                        {"upstream", item.upstream_id},
                                        {"helper", item.helper},
                                        {"helper_chose", item.relay_upstream},
                                        {"relayed", item.relayed},
                                        {"software", item.software_version},
                                        {"resumes", item.metadata.resumed_request},
                                        {"adapter", item.adapter.second},
                                        {"tokens", item.metadata.prompt_tokens},
                                        {"framing", http::to_string(item.call_end.framing)},
                                        {"caller_framing", caller_framing(item)},
                                        {"events", item.events.events()},
                                        {"inside_event", item.events.inside_event()},
                                        {"attempts", item.attempts_sent},
                                        {"sent_ms", ms_since_arrival(item.first_sent_at)},
                                        {"first_ms", ms_since_arrival(item.first_byte_at)},
                                        {"age_ms", ms_since_arrival(now)}});
}

void gateway_process::handle_request(std::uint64_t id, http::server_request request,
                                     std::shared_ptr<http::responder> responder)
{
    m_metrics.count("siskindrift_requests_total");
    begin_exchange(id, std::make_unique<exchange>(), std::move(request), std::move(responder));
}

void gateway_process::begin_exchange(std::uint64_t id, std::unique_ptr<exchange> new_exchange,
                                     http::server_request request,
                                     std::shared_ptr<http::responder> responder)
{
    auto& item = *new_exchange;
    item.id = id;
    item.memory.emplace(*this, id);
    item.request = std::move(request);
    gateway::remove_relay_headers(item.request.headers);
    item.responder = std::move(responder);
    item.metadata = platform::decode_request(item.request);
    item.digest = gateway::request_digest(item.request);
    item.body = std::make_shared<const std::string>(std::move(item.request.body));
    item.arrived_at = m_clock.now();
    m_exchanges[id] = std::move(new_exchange);
    if (item.relayed ? !accepts_relays() : !accepts_requests()) {
        respond_with_error(item, 503, core::reason::vm_draining, short_retry_after);
        return;
    }
    if (m_deployment) {
        route_request(item);
        return;
    }
    // The document arrives shortly after the start, unless no coordinator is reachable.
    const auto max_wait = item.metadata.deadline.value_or(default_deadline) * first_document_share;
    item.deadline = item.arrived_at + std::min(std::chrono::duration_cast<core::duration>(max_wait),
                                               core::duration{first_document_timeout});
    limit_to_stop(item);
    m_awaiting_document.insert(id);
    arm_timer(item, time_left(item));
}

void gateway_process::route_request(exchange& item)
{
    const auto* found = m_routes.find(item.request.header("Host"), item.request.target);
    if (found == nullptr) {
        respond_with_error(item, 404, core::reason::unknown_route, std::nullopt);
        return;
    }
    if (item.metadata.model.size() + item.metadata.adapter.size() > max_model_name_bytes) {
        respond_with_error(item, bad_request, core::reason::bad_request, std::nullopt);
        return;
    }
    item.route = *found;
    item.service = gateway::route_table::choose_service(item.route, item.metadata.request_id);
    const auto& service = m_deployment->services.at(item.service);
    if (service.engine && !item.metadata.model.empty()) {
        item.adapter = {item.metadata.model, item.metadata.adapter};
    }
    item.parts = gateway::prompt_guard::parts_of(item.service, item.metadata.prompt, item.digest);
    item.last_event_id = item.metadata.last_event_id;
    const auto max_wait = item.metadata.deadline.value_or(default_deadline) - response_margin;
    item.deadline = item.arrived_at + std::min<core::duration>(max_wait, item.route.timeout);
    item.budget_end = item.deadline;
    limit_to_stop(item);
    if (item.relayed) {
        dispatch(item);
        return;
    }
    m_retries[item.service].record_request(item.arrived_at);
    if (!item.adapter.first.empty()) {
        m_prompt_mixes[item.service].record(item.route.name, item.metadata.prompt_tokens,
                                            item.arrived_at);
    }
    if (takes_up_stream(item)) {
        find_stream_origin(item);
        return;
    }
    dispatch(item);
}

// Leaves a request no more time than this process has, so that upstreams and helpers are told.
void gateway_process::limit_to_stop(exchange& item) const
{
    if (m_stop) {
        item.deadline = std::min(item.deadline, m_stop->answers_end());
    }
}

// Refuses a request that nothing has run and that can't end before this process does: its caller
// has more time elsewhere.
bool gateway_process::refuse_unsendable(exchange& item)
{
    if (!m_stop || item.may_have_run > 0 || item.stream_begun ||
        m_awaiting_document.contains(item.id) ||
        m_stop->may_send(m_clock.now(), item.budget_end, item.route.repeatable())) {
        return false;
    }
    respond_with_error(item, 503, core::reason::vm_draining, short_retry_after);
    return true;
}

void gateway_process::handle_disconnect(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    count_reason(core::reason::caller_left);
    observe::info("caller_left", {{"request", item.metadata.request_id},
                                  {"adapter", item.adapter.second},
                                  {"upstream", item.upstream_id},
                                  {"software", item.software_version},
                                  {"resumes", item.metadata.resumed_request},
                                  {"began", item.stream_begun},
                                  {"age_ms", core::to_ms(m_clock.now() - item.arrived_at)}});
    cancel_attempt(item);
    remove_exchange(item);
}

void gateway_process::dispatch(exchange& item)
{
    const auto now = m_clock.now();
    if (item.deadline <= now) {
        handle_timeout(item.id);
        return;
    }
    if (refuse_unsendable(item) || refuse_blocked(item)) {
        return;
    }
    const auto choice =
        m_pool.choose(item.service, item.adapter, item.tried_upstreams, now, item.permit_upstream,
                      item.pin, item.route.repeatable(), preference_for(item));
    stop_awaiting_permit(item);
    m_awaiting_place.erase(item.id);
    item.lacks = choice.lacks;
    if (choice.crowded) {
        m_overloaded_adapters[wish_of(item)].since = now;
        schedule_report();
    }
    if (choice.unreachable) {
        // Passed on once only, so that no request goes round in circles.
        item.unreached = choice.unreached;
        if (!item.relayed && send_relay(item)) {
            return;
        }
        if (item.relayed) {
            fail_request(item, core::reason::upstream_unreachable);
            return;
        }
    }
    switch (choice.result) {
    case gateway::pool_choice::kind::send:
        send_attempt(item, choice);
        return;
    case gateway::pool_choice::kind::needs_permit:
        request_permit(item, choice.upstream);
        return;
    case gateway::pool_choice::kind::limited:
        if (choice.waits_for_place && wait_for_place(item)) {
            return;
        }
        refuse_limited(item, choice.retry_after);
        return;
    case gateway::pool_choice::kind::adapter_not_loaded:
        if (!refuse_unplaceable(item)) {
            wait_for_upstream(item);
        }
        return;
    case gateway::pool_choice::kind::none:
        break;
    }
    if (item.pin) {
        fail_request(item, core::reason::software_version_gone);
        return;
    }
    if (item.relayed) {
        fail_request(item, core::reason::upstream_unreachable);
        return;
    }
    if (item.attempts_sent == 0) {
        wait_for_upstream(item); // after a restart, upstreams are announced again shortly
        return;
    }
    const bool possibly_executed = item.may_have_run > 0 && !item.stream_begun;
    fail_request(item, possibly_executed ? item.failure_reason : core::reason::no_upstream);
}

void gateway_process::send_attempt(exchange& item, const gateway::pool_choice& choice)
{
    const auto now = m_clock.now();
    const auto* entry = m_roster.find(choice.upstream);
    const auto born_ms = entry != nullptr ? entry->info.born_ms : 0;
    if (item.attempts_sent > item.attempts_counted &&
        !try_retry(item, {choice.upstream, born_ms})) {
        fail_request(item, core::reason::retry_budget);
        return;
    }
    begin_attempt(item);
    item.upstream_born_ms = born_ms;
    item.software_version = entry != nullptr ? entry->info.software_version : std::string{};
    const auto limit = m_limits.limit_of(choice.upstream, item.upstream_born_ms);
    item.uses_permit = limit.has_value();
    if (limit) {
        m_limits.consume(choice.upstream, now);
        observe::info("sent_under_limit", {{"request", item.metadata.request_id},
                                           {"upstream", choice.upstream},
                                           {"per_s", limit->per_s},
                                           {"generation", m_limits.generation()}});
    }
    item.tried_upstreams.insert(choice.upstream);
    item.upstream_id = choice.upstream;
    item.upstream_address = choice.address;
    platform::forwarding_fields added;
    added.upstream = choice.upstream;
    added.time_left = time_left(item);
    added.adapter_version = choice.adapter_version;
    if (item.last_event_id != item.metadata.last_event_id) {
        added.last_event_id = item.last_event_id;
    }
    if (!item.adapter.first.empty()) {
        added.before_others =
            item.pin.has_value() || m_prompt_mixes[item.service].comes_first(item.route.name);
    }
    item.unprocessed_prompt_tokens = item.adapter.first.empty() ? 0 : item.metadata.prompt_tokens;
    m_limits.places().begin(choice.upstream);
    m_pool.record_sent(choice.upstream, item.adapter, now, item.unprocessed_prompt_tokens);
    if (!item.adapter.first.empty()) {
        schedule_load_report();
    }
    record_stream_origin(item);
    m_retries[item.service].record_sent(gateway::request_key{item.id}, run_of(item), now);
    m_client.start(make_call(item, added));
    arm_timer(item, time_left(item));
    schedule_path_check();
}

// Resets the state of an exchange for its next attempt.
void gateway_process::begin_attempt(exchange& item)
{
    const auto now = m_clock.now();
    item.waiting = false;
    m_waiting.erase(item.id);
    item.sent_at = now;
    if (!item.first_sent_at) {
        item.first_sent_at = now;
        m_metrics.observe_ms("siskindrift_wait_ms",
                             static_cast<double>(core::to_ms(now - item.arrived_at)));
    }
    ++item.attempts_sent;
    ++item.sends;
    ++item.may_have_run;
    item.helper.clear();
    item.helper_sent = false;
    item.relay_verdict.reset();
    item.relay_upstream.clear();
    item.response_head.reset();
    std::string{}.swap(item.response_body);
    item.event_stream = false;
    item.forwarding = false;
    item.events.discard_partial_event();
    update_memory(item);
    item.events_before = item.events.events();
    item.answer_recorded = false;
    item.call_id = m_next_call++;
    m_exchange_by_call[item.call_id] = item.id;
}

http::client_call gateway_process::make_call(const exchange& item,
                                             const platform::forwarding_fields& added) const
{
    http::client_call call;
    call.id = item.call_id;
    call.address = item.upstream_address;
    call.method = item.request.method;
    call.path = item.request.target;
    call.shared_body = item.body;
    call.headers = platform::upstream_request_headers(item.request, added);
    call.repeatable = item.route.repeatable();
    call.max_idle_time = max_reusable_idle;
    call.new_connection = item.reached_upstreams.contains(item.upstream_id);
    call.match_header = platform::request_id_header();
    call.match_value = item.metadata.request_id;
    call.connect_timeout = std::min<core::duration>(connect_timeout, time_left(item));
    call.head_timeout = time_left(item) + connect_timeout;
    call.progress_timeout = call.head_timeout;
    call.max_header_bytes = std::max(call.max_header_bytes, m_deployment->limits.max_header_bytes);
    call.max_body_bytes = item.route.kind == gateway::route_kind::streaming
                              ? max_streamed_response_bytes
                              : max_kept_response_bytes;
    return call;
}

// Refuses a request whose adapter no engine has the memory for: only another document helps.
bool gateway_process::refuse_unplaceable(exchange& item)
{
    const auto service = m_deployment->services.find(item.service);
    if (service == m_deployment->services.end() || !service->second.engine ||
        service->second.engine->can_hold(item.adapter.first, item.adapter.second)) {
        return false;
    }
    if (item.may_have_run > 0 || item.stream_begun) {
        fail_request(item, core::reason::adapter_too_large);
    }
    else {
        respond_with_error(item, service_unavailable, core::reason::adapter_too_large,
                           document_retry_after);
    }
    return true;
}

// Returns when a request is refused that waits for an upstream.
core::time_point gateway_process::wait_end(const exchange& item)
{
    const auto total =
        std::min<core::duration>(item.deadline - item.arrived_at, item.route.stream_idle_timeout);
    return item.arrived_at +
           std::chrono::duration_cast<core::duration>(total * upstream_wait_share);
}

void gateway_process::wait_for_upstream(exchange& item)
{
    // An upstream that didn't accept a connection may accept the next one, and an engine that
    // rejected the request may have room later.
    const bool connect_again = item.tried_upstreams.size() > item.reached_upstreams.size();
    if (!item.tried_upstreams.empty() && !item.adapter.first.empty()) {
        m_overloaded_adapters[wish_of(item)].since = m_clock.now();
        item.tried_upstreams.clear();
    }
    else if (connect_again) {
        item.tried_upstreams = item.reached_upstreams;
    }
    if (!item.waiting) {
        if (!item.adapter.second.empty()) {
            m_unserved.record_requests(item.adapter, item.arrived_at, m_clock.now());
        }
        item.waiting = true;
        m_waiting.insert(item.id);
        const auto left = std::max(wait_end(item) - m_clock.now(), core::duration::zero());
        arm_timer(item, connect_again ? std::min<core::duration>(left, connect_pause) : left);
    }
    schedule_report();
}

void gateway_process::route_deferred_requests()
{
    for (const auto id : std::exchange(m_awaiting_document, {})) {
        route_request(*m_exchanges.at(id));
    }
}

// Tries again to dispatch each request that waits for an adapter or an upstream, those first that
// go on with a stream.
void gateway_process::dispatch_waiting()
{
    const std::set<std::uint64_t> waiting{m_waiting};
    for (const bool pinned : {true, false}) {
        for (const auto id : waiting) {
            const auto found = m_exchanges.find(id);
            if (found != m_exchanges.end() && found->second->waiting &&
                found->second->pin.has_value() == pinned) {
                dispatch(*found->second);
            }
        }
    }
}

// Tries again to dispatch the requests whose adapter an engine now holds.
void gateway_process::dispatch_loaded(const wire::engine_update_t& update)
{
    if (m_waiting.empty()) {
        return;
    }
    std::set<std::pair<std::string_view, std::string_view>> loaded;
    for (const auto& view : update.engines) {
        for (const auto& copy : view->copies) {
            loaded.emplace(copy->model, copy->adapter);
        }
    }
    for (const auto id : std::set<std::uint64_t>{m_waiting}) {
        const auto found = m_exchanges.find(id);
        if (found != m_exchanges.end() &&
            loaded.contains({found->second->adapter.first, found->second->adapter.second})) {
            dispatch(*found->second);
        }
    }
}

void gateway_process::arm_timer(exchange& item, core::duration after)
{
    if (!item.timer) {
        item.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    }
    item.timer->expires_after(after);
    // A wait that has expired can't be cancelled any more: its handler is queued.
    const auto generation = ++item.timer_generation;
    item.timer->async_wait([this, id = item.id, generation](boost::system::error_code error) {
        const auto found = m_exchanges.find(id);
        if (!error && found != m_exchanges.end() && found->second->timer_generation == generation) {
            handle_timeout(id);
        }
    });
}

void gateway_process::handle_timeout(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    if (m_stop && m_clock.now() >= m_stop->answers_end()) {
        give_up(item, core::reason::vm_draining); // its upstream is not at fault
        return;
    }
    record_unended_answer(item);
    if (item.stream_begun) {
        give_up(item, core::reason::deadline_passed);
        return;
    }
    if (item.origin_query != 0 && item.deadline > m_clock.now()) {
        finish_origin_lookup(item);
        return;
    }
    if (m_unsure_origins.erase(id) > 0 && item.deadline > m_clock.now()) {
        find_stream_origin(item);
        return;
    }
    if (m_awaiting_place.erase(id) > 0 && item.deadline > m_clock.now()) {
        dispatch(item);
        return;
    }
    if (!item.permit_upstream.empty() && item.deadline > m_clock.now()) {
        m_limits.record_silence(item.permit_upstream, m_clock.now());
        dispatch(item);
        return;
    }
    if (item.waiting && m_clock.now() < wait_end(item)) {
        item.waiting = false;
        m_waiting.erase(id);
        dispatch(item);
        return;
    }
    auto reason = core::reason::deadline_passed;
    if (m_awaiting_document.contains(id)) {
        reason = core::reason::config_unconfirmed;
    }
    else if (item.waiting) {
        reason = core::reason::load_failed;
    }
    give_up(item, reason);
}

// Ends a request, whatever it waits for. The upstream of an open attempt stops working on it.
void gateway_process::give_up(exchange& item, core::reason reason)
{
    cancel_attempt(item);
    if (item.stream_begun) {
        abort_stream(item, reason);
        return;
    }
    const bool possibly_executed = item.may_have_run > 0;
    respond_with_error(item, possibly_executed ? 504 : 503, reason,
                       possibly_executed ? std::nullopt
                                         : std::optional<core::duration>{short_retry_after});
}

// Logs an answer that its upstream began and didn't end in time. It counts as a failure of the
// upstream, unless it is a stream that only lasts longer than its caller waits.
void gateway_process::record_unended_answer(const exchange& item)
{
    if (item.call_id == 0 || !item.response_head) {
        return;
    }
    const bool failed = !item.event_stream || item.events.inside_event();
    if (failed && item.helper.empty()) {
        m_pool.record_outcome(item.upstream_id, true, m_clock.now());
    }
    observe::info("answer_not_ended", {{"request", item.metadata.request_id},
                                       {"upstream", item.upstream_id},
                                       {"status", item.response_head->status},
                                       {"kept_bytes", item.response_body.size()},
                                       {"inside_event", item.events.inside_event()},
                                       {"failed", failed},
                                       {"error", "the answer did not end in time"}});
}

gateway_process::exchange* gateway_process::find_exchange(std::uint64_t call)
{
    const auto found = m_exchange_by_call.find(call);
    if (found == m_exchange_by_call.end()) {
        return nullptr;
    }
    const auto item = m_exchanges.find(found->second);
    return item == m_exchanges.end() ? nullptr : item->second.get();
}

void gateway_process::on_head(std::uint64_t call, const http::client_head& head)
{
    auto* item = find_exchange(call);
    if (item == nullptr) {
        return;
    }
    item->response_head = head;
    apply_relay_head(*item, *item->response_head);
    record_answered_send(*item);
    item->response_metadata = platform::decode_response(*item->response_head);
    if (item->relay_verdict) {
        item->response_metadata.not_executed = *item->relay_verdict == core::verdict::not_run;
    }
    if (item->helper.empty()) {
        item->opened_at = head.reused_connection ? core::time_point{} : item->sent_at;
        m_pool.record_activity(item->upstream_id, m_clock.now(), item->opened_at);
        if (m_pool.record_response(item->upstream_id, item->sent_at)) {
            observe::info("upstream_losses_ended", {{"upstream", item->upstream_id}});
        }
        record_rejection_limit(*item);
        record_prompt_processed(*item);
        if (head.status < first_redirect_status) {
            m_pool.record_admission(item->upstream_id);
            m_unserved.record_served(item->adapter);
        }
        if (item->response_metadata.load) {
            m_pool.record_load(item->upstream_id, *item->response_metadata.load);
        }
        record_limit(*item);
        if (item->uses_permit && m_limits.record_received(item->upstream_id, item->sent_at)) {
            schedule_place_report();
        }
    }
    record_departure(*item);
    const auto media_type = head.header("Content-Type");
    const bool streaming = item->route.kind == gateway::route_kind::streaming;
    const bool success = head.status < first_redirect_status;
    item->event_stream =
        http::is_event_stream(media_type) || (streaming && success && media_type.empty());
    const bool answered = classify(*item) == gateway::attempt_outcome::answered;
    item->forwarding = streaming && success && answered && may_go_on_with(*item, head);
    if (item->forwarding) {
        begin_stream(*item);
    }
    else if (stated_length(head) > max_kept_response_bytes) {
        end_call(*item, http::call_result::connection_lost, std::string{too_large_to_keep});
    }
}

// Returns whether a response may be passed on as part of the stream: as its beginning, or as more
// of what began it. The text of an error may come with any status and without a media type.
bool gateway_process::may_go_on_with(const exchange& item, const http::client_head& head)
{
    if (!item.stream_begun) {
        return true;
    }
    const auto media_type = head.header("Content-Type");
    const bool same_type = item.begun_as_events ? http::is_event_stream(media_type)
                                                : item.event_stream && media_type.empty();
    return head.status == item.begun_status && same_type;
}

// Classifies the response of the current attempt by its head.
gateway::attempt_outcome gateway_process::classify(const exchange& item)
{
    // Another gateway's own answer is no upstream's.
    if (item.relay_verdict && !item.response_metadata.not_executed) {
        return gateway::attempt_outcome::indeterminate;
    }
    return gateway::classify_response(item.response_metadata, item.response_head->status);
}

void gateway_process::begin_stream(exchange& item)
{
    if (std::exchange(item.stream_begun, true)) {
        return; // continues the response that another upstream began
    }
    item.first_byte_at = m_clock.now();
    item.begun_status = item.response_head->status;
    item.begun_as_events = http::is_event_stream(item.response_head->header("Content-Type"));
    auto headers = platform::caller_response_headers(*item.response_head);
    for (auto& header : relay_headers(item, std::nullopt)) {
        headers.push_back(std::move(header));
    }
    item.responder->begin(item.response_head->status, std::move(headers));
}

void gateway_process::on_data(std::uint64_t call, const std::string& bytes)
{
    auto* item = find_exchange(call);
    if (item == nullptr) {
        return;
    }
    if (item->helper.empty()) {
        const auto now = m_clock.now();
        m_pool.record_activity(item->upstream_id, now, item->opened_at);
        // A fast answer comes in thousands of parts.
        if (now - item->activity_recorded_at >= activity_interval) {
            item->activity_recorded_at = now;
            m_retries[item->service].record_activity(run_of(*item), now);
        }
    }
    if (item->forwarding) {
        forward_stream_data(*item, bytes);
    }
    else {
        if (item->event_stream) {
            item->events.follow(bytes);
        }
        item->response_body += bytes;
        if (item->response_body.size() > max_kept_response_bytes) {
            end_call(*item, http::call_result::connection_lost, std::string{too_large_to_keep});
            return;
        }
    }
    if (item->events.buffered_bytes() > max_event_bytes) {
        end_call(*item, http::call_result::connection_lost, "an event is too large to hold back");
        return;
    }
    update_memory(*item);
    if (item->events.events() >= item->events_before + events_begun) {
        record_answer(*item, true);
    }
}

// Tells the ledger what the current response keeps. Of one whose length is stated no more is to be
// expected than was checked.
void gateway_process::update_memory(exchange& item)
{
    const bool end_known = item.response_head && !item.forwarding &&
                           !item.response_head->header("Content-Length").empty();
    item.memory->set(kept_capacity(item.response_body) + item.events.kept_bytes(), end_known);
}

void gateway_process::exchange_memory::release_memory()
{
    boost::asio::post(m_owner.m_context,
                      [&owner = m_owner, id = m_id] { owner.release_memory(id); });
}

// Ends the answer that keeps most of the process's memory.
void gateway_process::release_memory(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    count_reason(core::reason::memory_limit);
    observe::warn("memory_released", {{"request", item.metadata.request_id},
                                      {"upstream", item.upstream_id},
                                      {"kept_bytes", item.response_body.size()},
                                      {"event_bytes", item.events.buffered_bytes()},
                                      {"all_bytes", m_memory.total()},
                                      {"limit", m_memory.limit()}});
    if (item.call_id != 0) {
        end_call(item, http::call_result::connection_lost,
                 "the answers that the process keeps exceed its memory");
    }
}

void gateway_process::forward_stream_data(exchange& item, const std::string& bytes)
{
    if (!item.event_stream || !item.route.repeatable()) {
        if (item.event_stream) {
            item.events.follow(bytes);
        }
        item.responder->write_chunk(bytes);
        return;
    }
    // Only complete events are forwarded: after a failure, another upstream repeats a partial one.
    item.responder->write_chunk(item.events.feed(bytes));
    pin_begun_stream(item);
    if (!item.events.last_event_id().empty()) {
        item.last_event_id = item.events.last_event_id();
    }
}

void gateway_process::on_end(std::uint64_t call, const http::call_end& call_end)
{
    auto* item = find_exchange(call);
    if (item == nullptr) {
        return;
    }
    m_exchange_by_call.erase(call);
    item->call_id = 0;
    item->call_end = call_end;
    if (call_end.result == http::call_result::not_sent) {
        auto& retries = m_retries[item->service];
        retries.record_not_sent(gateway::request_key{item->id});
        if (call_end.refused) {
            retries.record_run_end(run_of(*item), m_clock.now());
        }
        if (std::exchange(item->uses_permit, false)) {
            m_limits.restore(item->upstream_id);
        }
    }
    else {
        record_unanswered_send(*item, call_end.result == http::call_result::connection_lost
                                          ? gateway::send_end::peer_closed
                                          : gateway::send_end::given_up);
    }
    record_prompt_processed(*item);
    if (item->helper.empty()) {
        m_pool.record_ended(item->upstream_id, item->adapter);
        free_place(*item);
        if (call_end.result != http::call_result::not_sent) {
            item->reached_upstreams.insert(item->upstream_id);
        }
    }
    else {
        end_relay(*item, call_end.result != http::call_result::complete && !item->stream_begun);
    }
    if (item->forwarding) {
        handle_stream_end(*item);
        return;
    }
    auto end = gateway::attempt_outcome::indeterminate;
    auto reason = reason_for(call_end.result);
    if (call_end.result == http::call_result::not_sent) {
        end = gateway::attempt_outcome::not_sent;
    }
    else if (item->response_head) {
        end = classify(*item);
        if (end == gateway::attempt_outcome::answered && !ended_complete(*item)) {
            end = gateway::attempt_outcome::indeterminate;
        }
        if (item->relay_verdict) {
            reason = item->relay_reason;
        }
        else if (end == gateway::attempt_outcome::not_executed) {
            reason = core::reason::upstream_refused;
        }
        else if (end == gateway::attempt_outcome::indeterminate &&
                 call_end.result == http::call_result::complete) {
            reason = core::reason::answer_incomplete;
        }
    }
    handle_attempt_end(*item, end, reason);
}

// Ends the current attempt.
void gateway_process::end_call(exchange& item, http::call_result result, std::string error)
{
    const auto call = item.call_id;
    m_client.cancel(call);
    on_end(call, {result, http::body_framing::none, std::move(error)});
}

void gateway_process::handle_attempt_end(exchange& item, gateway::attempt_outcome end,
                                         core::reason reason)
{
    const auto now = m_clock.now();
    const auto status = item.response_head ? item.response_head->status : std::uint16_t{0};
    const bool possibly_executed =
        end == gateway::attempt_outcome::answered || end == gateway::attempt_outcome::indeterminate;
    if (!possibly_executed) {
        --item.may_have_run;
    }
    if (end == gateway::attempt_outcome::not_sent) {
        --item.attempts_sent; // the upstream received nothing
    }
    if (item.helper.empty()) {
        record_attempt_outcome(item, end);
    }
    if (reason == core::reason::upstream_unreachable || reason == core::reason::upstream_lost) {
        m_client.close_idle_connections(
            item.upstream_address); // other idle connections may be dead too
    }
    if (end == gateway::attempt_outcome::answered) {
        record_answer(item, status < first_redirect_status);
    }
    if (end == gateway::attempt_outcome::indeterminate) {
        record_crash(item);
    }
    if (end != gateway::attempt_outcome::answered) {
        count_reason(reason);
        item.failure_reason = reason;
        observe::info("attempt_failed", {{"request", item.metadata.request_id},
                                         {"upstream", item.upstream_id},
                                         {"helper", item.helper},
                                         {"reason", core::to_string(reason)},
                                         {"status", status},
                                         {"framing", http::to_string(item.call_end.framing)},
                                         {"error", item.call_end.error},
                                         {"prompt", gateway::to_string(item.metadata.prompt)},
                                         {"digest", item.digest},
                                         {"engines_age_ms", core::to_ms(now - m_engines_heard_at)},
                                         {"age_ms", core::to_ms(now - item.arrived_at)}});
    }
    gateway::forward_state state;
    state.repeatable = item.route.repeatable();
    state.may_have_run = item.may_have_run;
    state.attempts_sent = item.attempts_sent;
    state.max_attempts = item.route.max_attempts;
    state.time_left = time_left(item);
    state.status = status;
    switch (gateway::decide_next_step(end, state)) {
    case gateway::next_step::retry:
        if (item.crashes >= max_crashes || (item.on_trial && item.crashes > 0)) {
            fail_request(item, reason);
            return;
        }
        dispatch(item);
        return;
    case gateway::next_step::forward_response:
        forward_response(item);
        return;
    case gateway::next_step::refuse:
    case gateway::next_step::fail:
        fail_request(item, reason);
        return;
    }
}

// Records the outcome of an attempt at an upstream, for later choices.
void gateway_process::record_attempt_outcome(const exchange& item, gateway::attempt_outcome end)
{
    const auto now = m_clock.now();
    const auto status = item.response_head ? item.response_head->status : std::uint16_t{0};
    if (end == gateway::attempt_outcome::not_sent) {
        m_pool.record_connect_failure(item.upstream_id, now);
        schedule_report();
        schedule_path_check();
    }
    if (end == gateway::attempt_outcome::not_executed && status == service_unavailable) {
        record_rejection(item);
    }
    if (end == gateway::attempt_outcome::not_executed && status == 421) {
        m_pool.record_missing_adapter(item.upstream_id, item.adapter);
    }
    const bool failed = end == gateway::attempt_outcome::indeterminate ||
                        end == gateway::attempt_outcome::not_sent ||
                        (end == gateway::attempt_outcome::answered && status >= 500);
    m_pool.record_outcome(item.upstream_id, failed, now);
    if (item.adapter.first.empty() && !item.call_end.answered &&
        item.call_end.result == http::call_result::connection_lost) {
        record_loss(item);
    }
}

void gateway_process::record_loss(const exchange& item)
{
    if (const auto losses = m_pool.record_loss(item.upstream_id, item.sent_at, m_clock.now())) {
        observe::info("upstream_loses_requests",
                      {{"upstream", item.upstream_id},
                       {"losses", losses->losses()},
                       {"trials_only", losses->needs_trials()},
                       {"after_ms", core::to_ms(m_clock.now() - item.sent_at)},
                       {"pause_ms", core::to_ms(losses->pause())}});
    }
}

// Records that an engine has no room for a request, so that it gets fewer and its adapter more
// copies.
void gateway_process::record_rejection(const exchange& item)
{
    if (item.adapter.first.empty()) {
        return;
    }
    const auto now = m_clock.now();
    m_pool.record_rejection(item.upstream_id, now);
    auto& overload = m_overloaded_adapters[wish_of(item)];
    overload.since = now;
    overload.rejections.push_back(now);
    if (overload.rejections.size() > max_counted_rejections) {
        overload.rejections.pop_front();
    }
    schedule_report();
}

// Returns whether the response that has ended is the upstream's whole response: by its framing, and
// by its events where it consists of events.
bool gateway_process::ended_complete(const exchange& item)
{
    if (item.call_end.result != http::call_result::complete) {
        return false;
    }
    const bool marked = item.call_end.framing != http::body_framing::until_close;
    return !item.event_stream || item.events.may_end(marked);
}

void gateway_process::handle_stream_end(exchange& item)
{
    const auto outcome = item.call_end.result;
    const bool inside_event = item.events.inside_event();
    if (outcome == http::call_result::complete &&
        item.call_end.framing == http::body_framing::until_close) {
        m_metrics.count("siskindrift_streams_ended_by_close_total");
    }
    if (inside_event) {
        m_metrics.count("siskindrift_streams_ended_inside_event_total");
    }
    const bool complete = ended_complete(item);
    if (item.helper.empty()) {
        m_pool.record_outcome(item.upstream_id, !complete, m_clock.now());
    }
    if (complete) {
        record_answer(item, true);
    }
    else {
        record_crash(item);
    }
    if (complete) {
        record_served(item, item.response_head->status);
        item.responder->end();
        remove_exchange(item);
        return;
    }
    const auto reason = outcome == http::call_result::complete ? core::reason::answer_incomplete
                                                               : reason_for(outcome);
    observe::info("stream_broken", {{"request", item.metadata.request_id},
                                    {"upstream", item.upstream_id},
                                    {"software", item.software_version},
                                    {"reason", core::to_string(reason)},
                                    {"framing", http::to_string(item.call_end.framing)},
                                    {"error", item.call_end.error},
                                    {"inside_event", inside_event},
                                    {"events", item.events.events()},
                                    {"prompt", gateway::to_string(item.metadata.prompt)},
                                    {"last_event", item.last_event_id}});
    gateway::forward_state state;
    state.repeatable = item.route.repeatable() && item.event_stream;
    state.may_have_run = item.may_have_run;
    state.attempts_sent = item.attempts_sent;
    state.max_attempts = item.route.max_attempts;
    state.time_left = time_left(item);
    if (item.crashes < max_crashes &&
        gateway::decide_next_step(gateway::attempt_outcome::indeterminate, state) ==
            gateway::next_step::retry) {
        count_reason(reason);
        dispatch(item);
        return;
    }
    abort_stream(item, reason);
}

void gateway_process::forward_response(exchange& item)
{
    if (item.stream_begun) {
        // The upstream that should resume the stream responded with an error.
        abort_stream(item, core::reason::upstream_error);
        return;
    }
    record_served(item, item.response_head->status);
    auto headers = platform::caller_response_headers(*item.response_head);
    for (auto& header : relay_headers(item, std::nullopt)) {
        headers.push_back(std::move(header));
    }
    item.responder->respond(item.response_head->status, std::move(headers),
                            std::exchange(item.response_body, {}));
    remove_exchange(item);
}

void gateway_process::respond_with_error(exchange& item, std::uint16_t status, core::reason reason,
                                         std::optional<core::duration> retry_after)
{
    count_reason(reason);
    const auto now = m_clock.now();
    m_metrics.count("siskindrift_answers_own_total");
    m_metrics.count("siskindrift_unserved_lacking_" + std::string{to_string(item.lacks)} +
                    "_total");
    observe::info("request_ended", {{"request", item.metadata.request_id},
                                    {"route", item.route.name},
                                    {"status", status},
                                    {"reason", core::to_string(reason)},
                                    {"lacks", to_string(item.lacks)},
                                    {"relayed", item.relayed},
                                    {"attempts", item.attempts_sent},
                                    {"sends", item.sends},
                                    {"adapter", item.adapter.second},
                                    {"fleet_age_ms", core::to_ms(now - m_fleet_heard_at)},
                                    {"engines_age_ms", core::to_ms(now - m_engines_heard_at)},
                                    {"age_ms", core::to_ms(now - item.arrived_at)}});
    auto headers = platform::local_response_headers(item.metadata, retry_after);
    for (auto& header : relay_headers(item, reason)) {
        headers.push_back(std::move(header));
    }
    item.responder->respond(status, std::move(headers),
                            platform::encode_error(core::to_string(reason)));
    remove_exchange(item);
}

// Ends a request that is not retried. The response is 503, not executed, only if no upstream may
// have executed it, otherwise 502.
void gateway_process::fail_request(exchange& item, core::reason reason)
{
    if (item.stream_begun) {
        abort_stream(item, reason);
        return;
    }
    const bool possibly_executed = item.may_have_run > 0;
    respond_with_error(item, possibly_executed ? 502 : 503, reason,
                       possibly_executed ? std::nullopt
                                         : std::optional<core::duration>{default_retry_after});
}

// Aborts a stream that can't be resumed, so that the caller can't take it for complete.
void gateway_process::abort_stream(exchange& item, core::reason reason)
{
    count_reason(reason);
    m_metrics.count("siskindrift_streams_cut_total");
    observe::info("request_cut", {{"request", item.metadata.request_id},
                                  {"route", item.route.name},
                                  {"reason", core::to_string(reason)},
                                  {"adapter", item.adapter.second},
                                  {"upstream", item.upstream_id},
                                  {"software", item.software_version},
                                  {"resumes", item.metadata.resumed_request},
                                  {"last_event", item.last_event_id},
                                  {"age_ms", core::to_ms(m_clock.now() - item.arrived_at)}});
    item.responder->abort();
    remove_exchange(item);
}

void gateway_process::record_prompt_processed(exchange& item)
{
    if (item.unprocessed_prompt_tokens == 0) {
        return;
    }
    m_pool.record_prompt_processed(item.upstream_id,
                                   std::exchange(item.unprocessed_prompt_tokens, 0));
    schedule_load_report();
}

// Cancels the current attempt and closes its connection, so that the upstream stops working on it.
void gateway_process::cancel_attempt(exchange& item)
{
    if (item.call_id == 0) {
        return;
    }
    m_client.cancel(item.call_id);
    record_unanswered_send(item, gateway::send_end::given_up);
    record_prompt_processed(item);
    m_exchange_by_call.erase(item.call_id);
    item.call_id = 0;
    if (item.helper.empty()) {
        m_pool.record_ended(item.upstream_id, item.adapter);
        free_place(item);
    }
    else {
        end_relay(item, false);
    }
}

void gateway_process::remove_exchange(exchange& item)
{
    restore_trial(item);
    if (const auto retries = m_retries.find(item.service); retries != m_retries.end()) {
        retries->second.record_end(gateway::request_key{item.id}, item.relayed);
    }
    m_waiting.erase(item.id);
    m_awaiting_permit.erase(item.id);
    m_awaiting_document.erase(item.id);
    m_origin_lookups.erase(item.origin_query);
    m_unsure_origins.erase(item.id);
    m_awaiting_place.erase(item.id);
    m_exchanges.erase(item.id);
}

} // namespace siskindrift::apps
