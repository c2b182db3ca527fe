#include <algorithm>

#include "gateway_process.h"
#include "platform/calls.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds default_deadline{30'000};  // where neither caller nor route has one
constexpr core::milliseconds answer_margin{15};         // for the way back to the caller
constexpr core::milliseconds connect_limit{400};        // several round trips
constexpr core::milliseconds safe_idle{800};            // upstreams keep idle connections longer
constexpr core::milliseconds come_back{300};            // an adapter's load, or an ejection's end
constexpr core::milliseconds come_back_sooner{100};     // a configuration or a peer is on its way
constexpr core::milliseconds first_document_wait{1500}; // an election and a look at the disk
constexpr double first_document_share = 0.5;            // of its time; the rest is for a new try
constexpr double parked_share = 0.5;                    // of its time; the rest is for a new try
constexpr std::uint16_t first_redirect = 300;

core::reason reason_of(http::client_end how)
{
    switch (how) {
    case http::client_end::not_sent:
        return core::reason::upstream_unreachable;
    case http::client_end::silent:
        return core::reason::upstream_silent;
    case http::client_end::lost:
        return core::reason::upstream_lost;
    case http::client_end::complete:
        break;
    }
    return core::reason::none;
}

} // namespace

core::duration gateway_process::time_left(const exchange& item) const
{
    return item.deadline - m_clock.now();
}

void gateway_process::count(core::reason why)
{
    m_metrics.count_reason(why);
}

// Notes an upstream's answer that the caller has whole.
void gateway_process::note_served(const exchange& item, std::uint16_t status)
{
    const auto now = m_clock.now();
    const auto since = [&](std::optional<core::time_point> when) {
        return core::to_ms(when.value_or(now) - item.arrived);
    };
    m_metrics.count("siskindrift_answers_passed_on_total");
    m_metrics.observe_ms("siskindrift_first_byte_ms", static_cast<double>(since(item.first_byte)));
    m_metrics.observe_ms("siskindrift_answer_ms", static_cast<double>(since(now)));
    observe::routine("request_served", {{"request", item.facts.request_id},
                                        {"route", item.route.name},
                                        {"status", status},
                                        {"upstream", item.upstream},
                                        {"adapter", item.adapter.second},
                                        {"tokens", item.facts.prompt_tokens},
                                        {"attempts", item.sent},
                                        {"sent_ms", since(item.first_sent)},
                                        {"first_ms", since(item.first_byte)},
                                        {"age_ms", since(now)}});
}

void gateway_process::begin(std::uint64_t id, http::server_request request,
                            std::shared_ptr<http::responder> responder)
{
    auto owned = std::make_unique<exchange>();
    auto& item = *owned;
    item.id = id;
    item.request = std::move(request);
    item.responder = std::move(responder);
    item.facts = platform::decode_request(item.request);
    item.arrived = m_clock.now();
    m_metrics.count("siskindrift_requests_total");
    m_exchanges[id] = std::move(owned);
    if (!takes_requests()) {
        finish(item, 503, core::reason::vm_draining, come_back_sooner);
        return;
    }
    if (m_deployment) {
        route_request(item);
        return;
    }
    // The document comes within a moment of a start, unless the coordinators are down.
    const auto patience = item.facts.deadline.value_or(default_deadline) * first_document_share;
    item.deadline = item.arrived + std::min(std::chrono::duration_cast<core::duration>(patience),
                                            core::duration{first_document_wait});
    m_unrouted.insert(id);
    arm_deadline(item, time_left(item));
}

void gateway_process::route_request(exchange& item)
{
    const auto* found = m_routes.find(item.request.header("Host"), item.request.target);
    if (found == nullptr) {
        finish(item, 404, core::reason::unknown_route, std::nullopt);
        return;
    }
    item.route = *found;
    item.service = gateway::route_table::choose_service(item.route, item.facts.request_id);
    const auto& service = m_deployment->services.at(item.service);
    if (service.engine && !item.facts.model.empty()) {
        item.adapter = {item.facts.model, item.facts.adapter};
    }
    item.last_event = item.facts.last_event;
    const auto patience = item.facts.deadline.value_or(default_deadline) - answer_margin;
    item.deadline = item.arrived + std::min<core::duration>(patience, item.route.timeout);
    m_budgets[item.service].request(item.arrived);
    dispatch(item);
}

void gateway_process::left(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    count(core::reason::caller_left);
    observe::info("caller_left", {{"request", item.facts.request_id},
                                  {"adapter", item.adapter.second},
                                  {"upstream", item.upstream},
                                  {"began", item.began},
                                  {"age_ms", core::to_ms(m_clock.now() - item.arrived)}});
    close_attempt(item);
    forget(item);
}

void gateway_process::dispatch(exchange& item)
{
    const auto now = m_clock.now();
    if (item.deadline <= now) {
        time_out(item.id);
        return;
    }
    const auto choice = m_pool.choose(item.service, item.adapter, item.tried, now);
    if (choice.crowded) {
        m_crowded[item.adapter] = now;
        report_soon();
    }
    switch (choice.what) {
    case gateway::pool_choice::kind::send:
        send(item, choice);
        return;
    case gateway::pool_choice::kind::load_first:
        park(item);
        return;
    case gateway::pool_choice::kind::none:
        break;
    }
    if (item.sent == 0) {
        park(item); // upstreams announce themselves again within a moment of a restart
        return;
    }
    const bool ran = item.may_have_run > 0 && !item.began;
    give_up(item, ran ? item.last_reason : core::reason::no_upstream);
}

void gateway_process::send(exchange& item, const gateway::pool_choice& choice)
{
    const auto now = m_clock.now();
    if (item.sent > 0 && !m_budgets[item.service].take(now, gateway_count())) {
        give_up(item, core::reason::retry_budget);
        return;
    }
    item.parked = false;
    m_parked.erase(item.id);
    if (!item.first_sent) {
        item.first_sent = now;
        m_metrics.observe_ms("siskindrift_wait_ms",
                             static_cast<double>(core::to_ms(now - item.arrived)));
    }
    ++item.sent;
    ++item.may_have_run;
    item.tried.insert(choice.upstream);
    item.upstream = choice.upstream;
    item.address = choice.address;
    item.head.reset();
    item.body.clear();
    item.call = m_next_call++;
    m_calls[item.call] = item.id;
    platform::forwarding_fields added;
    added.upstream = choice.upstream;
    added.time_left = time_left(item);
    added.adapter_version = choice.adapter_version;
    if (item.last_event != item.facts.last_event) {
        added.last_event_id = item.last_event;
    }
    http::client_call call;
    call.id = item.call;
    call.address = choice.address;
    call.method = item.request.method;
    call.path = item.request.target;
    call.body = item.request.body;
    call.headers = platform::upstream_request_headers(item.request, added);
    call.repeatable = item.route.repeatable();
    call.safe_idle = safe_idle;
    call.match_header = platform::request_id_header();
    call.match_value = item.facts.request_id;
    call.connect_limit = std::min<core::duration>(connect_limit, time_left(item));
    call.head_limit = time_left(item) + connect_limit;
    call.progress_limit = call.head_limit;
    item.unread_tokens = item.adapter.first.empty() ? 0 : item.facts.prompt_tokens;
    m_pool.sent(choice.upstream, item.adapter, item.unread_tokens);
    if (!item.adapter.first.empty()) {
        report_later();
    }
    m_client.start(std::move(call));
    arm_deadline(item, time_left(item));
}

void gateway_process::park(exchange& item)
{
    if (!item.tried.empty() && !item.adapter.first.empty()) {
        m_crowded[item.adapter] = m_clock.now();
        item.tried.clear();
    }
    const auto total =
        std::min<core::duration>(item.deadline - item.arrived, item.route.stream_patience);
    const auto patience = std::chrono::duration_cast<core::duration>(total * parked_share) -
                          (m_clock.now() - item.arrived);
    if (!item.parked) {
        item.parked = true;
        m_parked.insert(item.id);
        arm_deadline(item, std::max(patience, core::duration::zero()));
    }
    report_soon();
}

void gateway_process::route_waiting()
{
    for (const auto id : std::exchange(m_unrouted, {})) {
        route_request(*m_exchanges.at(id));
    }
}

// Looks again at every request that waits for an adapter or an upstream.
void gateway_process::unpark()
{
    for (const auto id : std::set<std::uint64_t>{m_parked}) {
        const auto found = m_exchanges.find(id);
        if (found != m_exchanges.end()) {
            dispatch(*found->second);
        }
    }
}

void gateway_process::arm_deadline(exchange& item, core::duration after)
{
    if (!item.timer) {
        item.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    }
    item.timer->expires_after(after);
    item.timer->async_wait([this, id = item.id](boost::system::error_code failed) {
        if (!failed) {
            time_out(id);
        }
    });
}

void gateway_process::time_out(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    if (item.began) {
        close_attempt(item);
        cut(item, core::reason::deadline_passed);
        return;
    }
    const bool ran = item.may_have_run > 0;
    auto why = core::reason::deadline_passed;
    if (m_unrouted.contains(id)) {
        why = core::reason::config_unconfirmed;
    }
    else if (item.parked) {
        why = core::reason::load_failed;
    }
    close_attempt(item);
    finish(item, ran ? 504 : 503, why,
           ran ? std::nullopt : std::optional<core::duration>{come_back_sooner});
}

gateway_process::exchange* gateway_process::exchange_of(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return nullptr;
    }
    const auto item = m_exchanges.find(found->second);
    return item == m_exchanges.end() ? nullptr : item->second.get();
}

void gateway_process::on_head(std::uint64_t call, const http::client_head& head)
{
    auto* item = exchange_of(call);
    if (item == nullptr) {
        return;
    }
    item->head = head;
    prompt_read(*item);
    item->answer = platform::decode_response(head);
    if (item->answer.load) {
        m_pool.note_load(item->upstream, *item->answer.load);
    }
    const bool success = head.status < first_redirect;
    const bool whole = gateway::end_of(item->answer, head.status) == gateway::attempt_end::answered;
    if (item->route.kind == gateway::route_kind::streaming && success && whole) {
        begin_stream(*item);
    }
}

void gateway_process::begin_stream(exchange& item)
{
    if (std::exchange(item.began, true)) {
        return; // goes on within the answer that began at another upstream
    }
    item.first_byte = m_clock.now();
    item.responder->begin(item.head->status, platform::caller_response_headers(*item.head));
}

void gateway_process::on_data(std::uint64_t call, const std::string& bytes)
{
    auto* item = exchange_of(call);
    if (item == nullptr) {
        return;
    }
    const bool of_stream = item->began && item->head && item->head->status < first_redirect;
    if (of_stream) {
        pass_piece(*item, bytes);
    }
    else {
        item->body += bytes;
    }
}

void gateway_process::pass_piece(exchange& item, const std::string& bytes)
{
    if (!item.route.repeatable()) {
        item.responder->piece(bytes);
        return;
    }
    // The rest of an event that breaks off here comes again from another upstream.
    item.responder->piece(item.events.take(bytes));
    if (!item.events.last_id().empty()) {
        item.last_event = item.events.last_id();
    }
}

void gateway_process::on_end(std::uint64_t call, http::client_end how)
{
    auto* item = exchange_of(call);
    if (item == nullptr) {
        return;
    }
    m_calls.erase(call);
    item->call = 0;
    prompt_read(*item);
    m_pool.ended(item->upstream, item->adapter);
    if (item->began && item->head && item->head->status < first_redirect) {
        stream_ended(*item, how);
        return;
    }
    auto end = gateway::attempt_end::broken;
    auto why = reason_of(how);
    if (how == http::client_end::not_sent) {
        end = gateway::attempt_end::not_sent;
    }
    else if (item->head) {
        end = gateway::end_of(item->answer, item->head->status);
        if (end == gateway::attempt_end::answered && how != http::client_end::complete) {
            end = gateway::attempt_end::broken;
        }
        if (end == gateway::attempt_end::not_executed) {
            why = core::reason::upstream_refused;
        }
        else if (end == gateway::attempt_end::broken && how == http::client_end::complete) {
            why = core::reason::answer_incomplete;
        }
    }
    attempt_ended(*item, end, why);
}

void gateway_process::attempt_ended(exchange& item, gateway::attempt_end end, core::reason why)
{
    const auto now = m_clock.now();
    const auto status = item.head ? item.head->status : std::uint16_t{0};
    const bool ran_or_may =
        end == gateway::attempt_end::answered || end == gateway::attempt_end::broken;
    if (!ran_or_may) {
        --item.may_have_run;
    }
    if (end == gateway::attempt_end::not_sent) {
        --item.sent; // nothing arrived
    }
    if (end == gateway::attempt_end::not_executed && status == 421) {
        m_pool.note_missing(item.upstream, item.adapter);
    }
    const bool failed = end == gateway::attempt_end::broken ||
                        end == gateway::attempt_end::not_sent ||
                        (end == gateway::attempt_end::answered && status >= 500);
    m_pool.note_outcome(item.upstream, failed, now);
    if (why == core::reason::upstream_unreachable || why == core::reason::upstream_lost) {
        m_client.forget_address(item.address); // others may lead nowhere too
    }
    if (end != gateway::attempt_end::answered) {
        count(why);
        item.last_reason = why;
        observe::info("attempt_failed", {{"request", item.facts.request_id},
                                         {"upstream", item.upstream},
                                         {"reason", core::to_string(why)},
                                         {"status", status},
                                         {"age_ms", core::to_ms(now - item.arrived)}});
    }
    gateway::forward_state state;
    state.repeatable = item.route.repeatable();
    state.may_have_run = item.may_have_run;
    state.sent = item.sent;
    state.max_attempts = item.route.max_attempts;
    state.time_left = time_left(item);
    state.status = status;
    switch (gateway::step_after(end, state)) {
    case gateway::next_step::retry:
        dispatch(item);
        return;
    case gateway::next_step::pass_on:
        pass_on(item);
        return;
    case gateway::next_step::refuse:
    case gateway::next_step::fail:
        give_up(item, why);
        return;
    }
}

void gateway_process::stream_ended(exchange& item, http::client_end how)
{
    const bool whole = how == http::client_end::complete && !item.events.has_rest();
    m_pool.note_outcome(item.upstream, !whole, m_clock.now());
    if (whole) {
        note_served(item, item.head->status);
        item.responder->end();
        forget(item);
        return;
    }
    item.events.drop_rest();
    const auto why =
        how == http::client_end::complete ? core::reason::answer_incomplete : reason_of(how);
    observe::info("stream_broken", {{"request", item.facts.request_id},
                                    {"upstream", item.upstream},
                                    {"reason", core::to_string(why)},
                                    {"last_event", item.last_event}});
    gateway::forward_state state;
    state.repeatable = item.route.repeatable();
    state.may_have_run = item.may_have_run;
    state.sent = item.sent;
    state.max_attempts = item.route.max_attempts;
    state.time_left = time_left(item);
    if (gateway::step_after(gateway::attempt_end::broken, state) == gateway::next_step::retry) {
        count(why);
        dispatch(item);
        return;
    }
    cut(item, why);
}

void gateway_process::pass_on(exchange& item)
{
    if (item.began) {
        cut(item, core::reason::upstream_error); // the rest of the stream was refused
        return;
    }
    note_served(item, item.head->status);
    item.responder->respond(item.head->status, platform::caller_response_headers(*item.head),
                            std::move(item.body));
    forget(item);
}

void gateway_process::finish(exchange& item, std::uint16_t status, core::reason why,
                             std::optional<core::duration> retry_after)
{
    count(why);
    m_metrics.count("siskindrift_answers_own_total");
    observe::info("request_ended", {{"request", item.facts.request_id},
                                    {"route", item.route.name},
                                    {"status", status},
                                    {"reason", core::to_string(why)},
                                    {"adapter", item.adapter.second},
                                    {"age_ms", core::to_ms(m_clock.now() - item.arrived)}});
    item.responder->respond(status, platform::local_response_headers(item.facts, retry_after),
                            platform::encode_error(core::to_string(why)));
    forget(item);
}

// Ends a request that no further upstream gets, as not run only where that is sure.
void gateway_process::give_up(exchange& item, core::reason why)
{
    if (item.began) {
        cut(item, why);
        return;
    }
    const bool ran = item.may_have_run > 0;
    finish(item, ran ? 502 : 503, why,
           ran ? std::nullopt : std::optional<core::duration>{come_back});
}

// Breaks off a stream that can't go on, so that it can't look whole.
void gateway_process::cut(exchange& item, core::reason why)
{
    count(why);
    m_metrics.count("siskindrift_streams_cut_total");
    observe::info("request_cut", {{"request", item.facts.request_id},
                                  {"route", item.route.name},
                                  {"reason", core::to_string(why)},
                                  {"adapter", item.adapter.second},
                                  {"upstream", item.upstream},
                                  {"last_event", item.last_event},
                                  {"age_ms", core::to_ms(m_clock.now() - item.arrived)}});
    item.responder->abort();
    forget(item);
}

void gateway_process::prompt_read(exchange& item)
{
    if (item.unread_tokens == 0) {
        return;
    }
    m_pool.prompt_read(item.upstream, std::exchange(item.unread_tokens, 0));
    report_later();
}

// Breaks off the open attempt, so that the upstream stops working on it.
void gateway_process::close_attempt(exchange& item)
{
    if (item.call == 0) {
        return;
    }
    m_client.cancel(item.call);
    prompt_read(item);
    m_calls.erase(item.call);
    item.call = 0;
    m_pool.ended(item.upstream, item.adapter);
}

void gateway_process::forget(exchange& item)
{
    m_parked.erase(item.id);
    m_unrouted.erase(item.id);
    m_exchanges.erase(item.id);
}

} // namespace siskindrift::apps
