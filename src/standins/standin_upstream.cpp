#include "standin_upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

namespace siskindrift::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds announce_interval{900};
constexpr std::chrono::milliseconds late_response_delay{4000};

std::string text_at(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : "";
}

json::object parse_body(const std::string& body)
{
    boost::system::error_code error;
    auto value = json::parse(body, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

std::string prompt_text(const json::object& body, bool chat)
{
    if (!chat) {
        return text_at(body, "prompt");
    }
    std::string context;
    if (const auto* messages = body.if_contains("messages"); messages && messages->is_array()) {
        for (const auto& message : messages->as_array()) {
            context += " " + text_at(message.as_object(), "content");
        }
    }
    return context;
}

} // namespace

standin_upstream::standin_upstream(standin_process& process, upstream_settings settings)
    : m_process(process), m_settings(std::move(settings)),
      m_server(process.context(), http::server_limits{}, *this), m_step_timer(process.context()),
      m_announce_timer(process.context()), m_incarnation(process.clock().wall_ms())
{
}

bool standin_upstream::start(std::string& error)
{
    if (!m_server.listen(m_settings.address, error)) {
        return false;
    }
    announce();
    return true;
}

void standin_upstream::record_event(json::object line)
{
    line["upstream"] = m_settings.id;
    line["at"] = m_process.clock().wall_ms();
    m_process.events().write(std::move(line));
}

void standin_upstream::run_later(core::duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_process.context(), delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

bool standin_upstream::consume_fault(const std::string& name)
{
    const auto found = m_faults.find(name);
    if (found == m_faults.end() || found->second == 0) {
        return false;
    }
    --found->second;
    record_event({{"kind", "fault"}, {"fault", name}});
    return true;
}

bool standin_upstream::inject_fault(const std::string& fault, std::uint32_t count)
{
    static const std::set<std::string> counted{"fail_load",     "hang_load", "refuse",
                                               "lose_answer",   "late",      "crossed",
                                               "wrong_adapter", "lose_order"};
    if (counted.contains(fault)) {
        m_faults[fault] += count;
        return true;
    }
    if (fault == "restart_empty") {
        restart_empty();
    }
    else if (fault == "freeze_connections") {
        for (const auto& [exchange, running] : m_running) {
            m_frozen.insert(exchange);
        }
        record_event({{"kind", "freeze"}, {"connections", m_frozen.size()}});
    }
    else if (fault == "leave" || fault == "serve") {
        m_leaving = fault == "leave";
        record_event({{"kind", fault}});
        announce();
    }
    else {
        return false;
    }
    return true;
}

void standin_upstream::restart_empty()
{
    record_event({{"kind", "restart"}});
    auto running = std::exchange(m_running, {});
    for (auto& [exchange, sequence] : running) {
        sequence.responder->abort();
    }
    m_waiting.clear();
    m_frozen.clear();
    m_adapters.clear();
    m_loading.clear();
    m_delayed_announcements.clear();
    m_incarnation = std::max(m_process.clock().wall_ms(), m_incarnation + 1);
    m_announcement_sequence = 0;
    m_highest_fencing = 0;
    announce();
}

bool standin_upstream::reject_stale_fencing(const http::server_request& request)
{
    if (!m_settings.checks_fencing) {
        return false;
    }
    const auto fencing = std::strtoull(request.header("Siskindrift-Fencing").c_str(), nullptr, 10);
    if (fencing < m_highest_fencing) {
        record_event({{"kind", "refused_order"},
                      {"fencing", fencing},
                      {"known", m_highest_fencing},
                      {"path", request.target}});
        return true;
    }
    m_highest_fencing = fencing;
    return false;
}

void standin_upstream::on_request(std::uint64_t exchange, http::server_request request,
                                  std::shared_ptr<http::responder> responder)
{
    if (reject_stale_fencing(request)) {
        responder->respond(409,
                           {{"Content-Type", "application/json"},
                            {"X-Request-Id", request.header("X-Request-Id")}},
                           R"({"error":"old fencing number"})");
    }
    else if (m_settings.kind == "service") {
        run_service_request(request, std::move(responder));
    }
    else if (request.target == "/v1/load_lora_adapter") {
        load_adapter(request, std::move(responder));
    }
    else if (request.target == "/v1/unload_lora_adapter") {
        unload_adapter(request, std::move(responder));
    }
    else {
        start_completion(exchange, request, std::move(responder));
    }
}

void standin_upstream::load_adapter(const http::server_request& request,
                                    std::shared_ptr<http::responder> responder)
{
    const auto adapter = text_at(parse_body(request.body), "lora_name");
    if (m_adapters.contains(adapter) || m_loading.contains(adapter) ||
        m_adapters.size() + m_loading.size() >= m_settings.slots) {
        record_event({{"kind", "load_refused"}, {"adapter", adapter}});
        responder->respond(400, {}, R"({"error":"already loaded or no slot"})");
        return;
    }
    if (consume_fault("hang_load")) {
        return;
    }
    m_loading.insert(adapter);
    const auto started_at = m_process.clock().now();
    const auto ends_at = m_process.store().begin_load(started_at);
    const bool fails = consume_fault("fail_load");
    const bool drop_response = consume_fault("lose_order");
    const auto incarnation = m_incarnation;
    run_later(ends_at - started_at, [self = shared_from_this(), adapter, responder, fails,
                                     drop_response, incarnation, started_at] {
        self->m_process.store().end_load();
        if (self->m_incarnation != incarnation) {
            responder->abort();
            return;
        }
        self->m_loading.erase(adapter);
        if (!fails) {
            self->m_adapters.insert(adapter);
        }
        self->record_event({{"kind", fails ? "load_failed" : "load"},
                            {"adapter", adapter},
                            {"ms", core::to_ms(self->m_process.clock().now() - started_at)},
                            {"in_flight", self->m_process.store().in_flight() + 1}});
        if (drop_response) {
            responder->abort();
            return;
        }
        responder->respond(fails ? 500 : 200, {}, "{}");
    });
}

std::uint32_t standin_upstream::running_count(const std::string& adapter) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(),
                      [&](const auto& item) { return item.second.adapter == adapter; }));
}

void standin_upstream::unload_adapter(const http::server_request& request,
                                      std::shared_ptr<http::responder> responder)
{
    const auto adapter = text_at(parse_body(request.body), "lora_name");
    const bool known = m_adapters.erase(adapter) > 0;
    record_event({{"kind", "unload"},
                  {"adapter", adapter},
                  {"known", known},
                  {"in_use", running_count(adapter)}});
    responder->respond(known ? 200 : 404, {}, "{}");
}

void standin_upstream::start_completion(std::uint64_t exchange, const http::server_request& request,
                                        std::shared_ptr<http::responder> responder)
{
    const auto body = parse_body(request.body);
    const bool chat = request.target == "/v1/chat/completions";
    sequence running;
    running.adapter = text_at(body, "model");
    running.request_id = request.header("X-Request-Id");
    running.key = request.header("Idempotency-Key");
    if (!m_adapters.contains(running.adapter)) {
        record_event({{"kind", "missing_adapter"}, {"adapter", running.adapter}});
        responder->respond(404, {{"X-Request-Id", running.request_id}},
                           R"({"error":"no such model"})");
        return;
    }
    if (consume_fault("refuse")) {
        responder->respond(503, {{"X-Request-Id", running.request_id}, {"Retry-After", "1"}}, "{}");
        return;
    }
    boost::system::error_code error;
    const auto* tokens = body.if_contains("max_tokens");
    running.tokens_left = tokens == nullptr ? 16 : tokens->to_number<std::uint32_t>(error);
    running.chat = chat;
    running.responder = std::move(responder);
    running.model.emplace(running.adapter, prompt_text(body, chat));
    running.reported_request_id = running.request_id;
    running.reported_adapter = running.adapter;
    if (!m_previous_request_id.empty() && consume_fault("crossed")) {
        running.reported_request_id = m_previous_request_id;
        running.reported_adapter = m_previous_adapter;
    }
    if (consume_fault("wrong_adapter")) {
        running.reported_adapter = "another@1";
    }
    running.drop_response = consume_fault("lose_answer");
    m_previous_request_id = running.request_id;
    m_previous_adapter = running.adapter;
    running.run_id = m_next_run_id++;
    record_event({{"kind", "run"},
                  {"run", running.run_id},
                  {"request_id", running.request_id},
                  {"key", running.key},
                  {"body_hash", XXH3_64bits(request.body.data(), request.body.size())},
                  {"adapter", running.adapter},
                  {"leaving", m_leaving}});
    const auto stored = std::move(running);
    if (consume_fault("late")) {
        run_later(late_response_delay, [self = shared_from_this(), exchange, stored] {
            self->m_running[exchange] = stored;
            self->schedule_step();
        });
        return;
    }
    m_running[exchange] = stored;
    schedule_step();
}

void standin_upstream::on_caller_disconnected(std::uint64_t exchange)
{
    finish(exchange, false);
}

void standin_upstream::finish(std::uint64_t exchange, bool complete)
{
    const auto found = m_running.find(exchange);
    if (found == m_running.end()) {
        return;
    }
    record_event({{"kind", "run_end"},
                  {"run", found->second.run_id},
                  {"request_id", found->second.request_id},
                  {"adapter", found->second.adapter},
                  {"tokens", found->second.tokens_generated},
                  {"whole", complete}});
    m_running.erase(found);
    m_frozen.erase(exchange);
}

void standin_upstream::schedule_step()
{
    if (m_stepping || m_running.empty()) {
        return;
    }
    m_stepping = true;
    const auto batch = std::min<std::size_t>(m_running.size(), m_settings.batch);
    m_step_timer.expires_after(m_settings.step_base +
                               m_settings.step_per_sequence * static_cast<int>(batch));
    m_step_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        self->m_stepping = false;
        if (!error) {
            self->step();
        }
    });
}

void standin_upstream::step()
{
    std::vector<std::uint64_t> batch;
    for (const auto& [exchange, running] : m_running) {
        if (batch.size() < m_settings.batch) {
            batch.push_back(exchange);
        }
    }
    for (const auto exchange : batch) {
        auto& running = m_running.at(exchange);
        if (m_frozen.contains(exchange)) {
            running.tokens_left =
                running.tokens_left > 1 ? running.tokens_left - 1 : running.tokens_left;
            if (running.tokens_left <= 1) {
                finish(exchange, false);
            }
            continue;
        }
        emit(running);
        if (running.tokens_left == 0) {
            if (running.drop_response) {
                running.responder->abort();
            }
            else {
                running.responder->write_chunk("data: [DONE]\n\n");
                running.responder->end();
            }
            finish(exchange, true);
        }
    }
    schedule_step();
}

void standin_upstream::emit(sequence& running)
{
    if (!running.head_sent) {
        running.head_sent = true;
        running.responder->begin(200, {{"Content-Type", "text/event-stream"},
                                       {"X-Request-Id", running.reported_request_id}});
    }
    --running.tokens_left;
    ++running.tokens_generated;
    json::object choice{{"index", 0}};
    const auto text = running.model->next();
    if (running.chat) {
        choice["delta"] = json::object{{"content", text}};
    }
    else {
        choice["text"] = text;
    }
    choice["finish_reason"] =
        running.tokens_left == 0 ? json::value{"length"} : json::value{nullptr};
    const json::object chunk{{"id", running.reported_request_id},
                             {"model", running.reported_adapter},
                             {"choices", json::array{std::move(choice)}}};
    running.responder->write_chunk("data: " + json::serialize(chunk) + "\n\n");
}

void standin_upstream::run_service_request(const http::server_request& request,
                                           std::shared_ptr<http::responder> responder)
{
    const auto request_id = request.header("X-Request-Id");
    if (consume_fault("refuse")) {
        responder->respond(503, {{"X-Request-Id", request_id}, {"Retry-After", "1"}}, "{}");
        return;
    }
    const auto run_id = m_next_run_id++;
    record_event({{"kind", "run"},
                  {"run", run_id},
                  {"request_id", request_id},
                  {"key", request.header("Idempotency-Key")},
                  {"body_hash", XXH3_64bits(request.body.data(), request.body.size())},
                  {"service", m_settings.service},
                  {"leaving", m_leaving}});
    const bool drop_response = consume_fault("lose_answer");
    const bool late = consume_fault("late");
    const auto delay = late ? core::duration{late_response_delay} : m_settings.service_time;
    const auto reported_id = !m_previous_request_id.empty() && consume_fault("crossed")
                                 ? m_previous_request_id
                                 : request_id;
    m_previous_request_id = request_id;
    const auto body = json::serialize(
        json::value{{"done", request.header("Idempotency-Key")}, {"path", request.target}});
    run_later(delay, [self = shared_from_this(), responder, drop_response, reported_id, body,
                      run_id, request_id] {
        self->record_event({{"kind", "run_end"},
                            {"run", run_id},
                            {"request_id", request_id},
                            {"whole", !drop_response}});
        if (drop_response) {
            responder->abort();
            return;
        }
        responder->respond(
            200, {{"Content-Type", "application/json"}, {"X-Request-Id", reported_id}}, body);
    });
}

std::string standin_upstream::make_announcement() const
{
    json::array residents;
    for (const auto& adapter : m_adapters) {
        residents.push_back({{"adapter", adapter}, {"running", running_count(adapter)}});
    }
    return json::serialize(json::value{{"id", m_settings.id},
                                       {"incarnation", m_incarnation},
                                       {"address", m_settings.address},
                                       {"failure_domain", m_settings.failure_domain},
                                       {"kind", m_settings.kind},
                                       {"service", m_settings.service},
                                       {"base_model", m_settings.base_model},
                                       {"slots", m_settings.slots},
                                       {"batch", m_settings.batch},
                                       {"load", m_running.size()},
                                       {"state", m_leaving ? "leaving" : "serving"},
                                       {"sequence", m_announcement_sequence},
                                       {"residents", residents}});
}

void standin_upstream::announce()
{
    ++m_announcement_sequence;
    // The announced load and adapters are delayed by `load_report_delay`; the identity, the state
    // and the sequence number are current.
    const auto now = m_process.clock().now();
    m_delayed_announcements.emplace_back(now, make_announcement());
    while (m_delayed_announcements.size() > 1 &&
           m_delayed_announcements[1].first + m_settings.load_report_delay <= now) {
        m_delayed_announcements.pop_front();
    }
    auto announcement = parse_body(m_delayed_announcements.front().second);
    announcement["sequence"] = m_announcement_sequence;
    announcement["state"] = m_leaving ? "leaving" : "serving";
    m_process.announce(json::serialize(announcement));
    m_announce_timer.expires_after(announce_interval);
    m_announce_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->announce();
        }
    });
}

} // namespace siskindrift::standins
