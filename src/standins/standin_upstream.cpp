#include "standin_upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

namespace siskindrift::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds announce_every{900};
constexpr std::chrono::milliseconds late_answer{4000};

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

std::string context_of(const json::object& body, bool chat)
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

standin_upstream::standin_upstream(standin_process& owner, upstream_settings settings)
    : m_owner(owner), m_settings(std::move(settings)),
      m_server(owner.context(), http::server_limits{}, *this), m_step_timer(owner.context()),
      m_announce_timer(owner.context()), m_incarnation(owner.time().wall_ms())
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

void standin_upstream::note(json::object line)
{
    line["upstream"] = m_settings.id;
    line["at"] = m_owner.time().wall_ms();
    m_owner.book().write(std::move(line));
}

void standin_upstream::run_later(core::duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_owner.context(), wait);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

bool standin_upstream::take_fault(const std::string& name)
{
    const auto found = m_faults.find(name);
    if (found == m_faults.end() || found->second == 0) {
        return false;
    }
    --found->second;
    note({{"kind", "fault"}, {"fault", name}});
    return true;
}

bool standin_upstream::inject(const std::string& fault, std::uint32_t count)
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
        note({{"kind", "freeze"}, {"connections", m_frozen.size()}});
    }
    else if (fault == "leave" || fault == "serve") {
        m_leaving = fault == "leave";
        note({{"kind", fault}});
        announce();
    }
    else {
        return false;
    }
    return true;
}

void standin_upstream::restart_empty()
{
    note({{"kind", "restart"}});
    auto running = std::exchange(m_running, {});
    for (auto& [exchange, one] : running) {
        one.answer->abort();
    }
    m_waiting.clear();
    m_frozen.clear();
    m_adapters.clear();
    m_loading.clear();
    m_reports.clear();
    m_incarnation = std::max(m_owner.time().wall_ms(), m_incarnation + 1);
    m_sequence = 0;
    m_fencing = 0;
    announce();
}

bool standin_upstream::old_fencing(const http::server_request& request)
{
    if (!m_settings.checks_fencing) {
        return false;
    }
    const auto number = std::strtoull(request.header("Siskindrift-Fencing").c_str(), nullptr, 10);
    if (number < m_fencing) {
        note({{"kind", "refused_order"},
              {"fencing", number},
              {"known", m_fencing},
              {"path", request.target}});
        return true;
    }
    m_fencing = number;
    return false;
}

void standin_upstream::on_request(std::uint64_t exchange, http::server_request request,
                                  std::shared_ptr<http::responder> answer)
{
    if (old_fencing(request)) {
        answer->respond(409,
                        {{"Content-Type", "application/json"},
                         {"X-Request-Id", request.header("X-Request-Id")}},
                        R"({"error":"old fencing number"})");
    }
    else if (m_settings.kind == "service") {
        serve(request, std::move(answer));
    }
    else if (request.target == "/v1/load_lora_adapter") {
        load(request, std::move(answer));
    }
    else if (request.target == "/v1/unload_lora_adapter") {
        unload(request, std::move(answer));
    }
    else {
        complete(exchange, request, std::move(answer));
    }
}

void standin_upstream::load(const http::server_request& request,
                            std::shared_ptr<http::responder> answer)
{
    const auto adapter = text_at(parse_body(request.body), "lora_name");
    if (m_adapters.contains(adapter) || m_loading.contains(adapter) ||
        m_adapters.size() + m_loading.size() >= m_settings.slots) {
        note({{"kind", "load_refused"}, {"adapter", adapter}});
        answer->respond(400, {}, R"({"error":"already loaded or no slot"})");
        return;
    }
    if (take_fault("hang_load")) {
        return;
    }
    m_loading.insert(adapter);
    const auto begun = m_owner.time().now();
    const auto ends = m_owner.store().begin(begun);
    const bool fails = take_fault("fail_load");
    const bool lost = take_fault("lose_order");
    const auto incarnation = m_incarnation;
    run_later(ends - begun,
              [self = shared_from_this(), adapter, answer, fails, lost, incarnation, begun] {
                  self->m_owner.store().end();
                  if (self->m_incarnation != incarnation) {
                      answer->abort();
                      return;
                  }
                  self->m_loading.erase(adapter);
                  if (!fails) {
                      self->m_adapters.insert(adapter);
                  }
                  self->note({{"kind", fails ? "load_failed" : "load"},
                              {"adapter", adapter},
                              {"ms", core::to_ms(self->m_owner.time().now() - begun)},
                              {"in_flight", self->m_owner.store().in_flight() + 1}});
                  if (lost) {
                      answer->abort();
                      return;
                  }
                  answer->respond(fails ? 500 : 200, {}, "{}");
              });
}

std::uint32_t standin_upstream::running_on(const std::string& adapter) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(),
                      [&](const auto& item) { return item.second.adapter == adapter; }));
}

void standin_upstream::unload(const http::server_request& request,
                              std::shared_ptr<http::responder> answer)
{
    const auto adapter = text_at(parse_body(request.body), "lora_name");
    const bool known = m_adapters.erase(adapter) > 0;
    note({{"kind", "unload"},
          {"adapter", adapter},
          {"known", known},
          {"in_use", running_on(adapter)}});
    answer->respond(known ? 200 : 404, {}, "{}");
}

void standin_upstream::complete(std::uint64_t exchange, const http::server_request& request,
                                std::shared_ptr<http::responder> answer)
{
    const auto body = parse_body(request.body);
    const bool chat = request.target == "/v1/chat/completions";
    sequence running;
    running.adapter = text_at(body, "model");
    running.request_id = request.header("X-Request-Id");
    running.key = request.header("Idempotency-Key");
    if (!m_adapters.contains(running.adapter)) {
        note({{"kind", "missing_adapter"}, {"adapter", running.adapter}});
        answer->respond(404, {{"X-Request-Id", running.request_id}},
                        R"({"error":"no such model"})");
        return;
    }
    if (take_fault("refuse")) {
        answer->respond(503, {{"X-Request-Id", running.request_id}, {"Retry-After", "1"}}, "{}");
        return;
    }
    boost::system::error_code error;
    const auto* tokens = body.if_contains("max_tokens");
    running.left = tokens == nullptr ? 16 : tokens->to_number<std::uint32_t>(error);
    running.chat = chat;
    running.answer = std::move(answer);
    running.model.emplace(running.adapter, context_of(body, chat));
    running.shown_id = running.request_id;
    running.shown_adapter = running.adapter;
    if (!m_previous_id.empty() && take_fault("crossed")) {
        running.shown_id = m_previous_id;
        running.shown_adapter = m_previous_adapter;
    }
    if (take_fault("wrong_adapter")) {
        running.shown_adapter = "another@1";
    }
    running.lose = take_fault("lose_answer");
    m_previous_id = running.request_id;
    m_previous_adapter = running.adapter;
    running.run = m_next_run++;
    note({{"kind", "run"},
          {"run", running.run},
          {"request_id", running.request_id},
          {"key", running.key},
          {"body_hash", XXH3_64bits(request.body.data(), request.body.size())},
          {"adapter", running.adapter},
          {"leaving", m_leaving}});
    const auto stored = std::move(running);
    if (take_fault("late")) {
        run_later(late_answer, [self = shared_from_this(), exchange, stored] {
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

void standin_upstream::finish(std::uint64_t exchange, bool whole)
{
    const auto found = m_running.find(exchange);
    if (found == m_running.end()) {
        return;
    }
    note({{"kind", "run_end"},
          {"run", found->second.run},
          {"request_id", found->second.request_id},
          {"adapter", found->second.adapter},
          {"tokens", found->second.made},
          {"whole", whole}});
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
            running.left = running.left > 1 ? running.left - 1 : running.left;
            if (running.left <= 1) {
                finish(exchange, false);
            }
            continue;
        }
        emit(running);
        if (running.left == 0) {
            if (running.lose) {
                running.answer->abort();
            }
            else {
                running.answer->write_chunk("data: [DONE]\n\n");
                running.answer->end();
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
        running.answer->begin(
            200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", running.shown_id}});
    }
    --running.left;
    ++running.made;
    json::object choice{{"index", 0}};
    const auto text = running.model->next();
    if (running.chat) {
        choice["delta"] = json::object{{"content", text}};
    }
    else {
        choice["text"] = text;
    }
    choice["finish_reason"] = running.left == 0 ? json::value{"length"} : json::value{nullptr};
    const json::object chunk{{"id", running.shown_id},
                             {"model", running.shown_adapter},
                             {"choices", json::array{std::move(choice)}}};
    running.answer->write_chunk("data: " + json::serialize(chunk) + "\n\n");
}

void standin_upstream::serve(const http::server_request& request,
                             std::shared_ptr<http::responder> answer)
{
    const auto id = request.header("X-Request-Id");
    if (take_fault("refuse")) {
        answer->respond(503, {{"X-Request-Id", id}, {"Retry-After", "1"}}, "{}");
        return;
    }
    const auto run = m_next_run++;
    note({{"kind", "run"},
          {"run", run},
          {"request_id", id},
          {"key", request.header("Idempotency-Key")},
          {"body_hash", XXH3_64bits(request.body.data(), request.body.size())},
          {"service", m_settings.service},
          {"leaving", m_leaving}});
    const bool lose = take_fault("lose_answer");
    const bool late = take_fault("late");
    const auto wait = late ? core::duration{late_answer} : m_settings.service_time;
    const auto shown = !m_previous_id.empty() && take_fault("crossed") ? m_previous_id : id;
    m_previous_id = id;
    const auto body = json::serialize(
        json::value{{"done", request.header("Idempotency-Key")}, {"path", request.target}});
    run_later(wait, [self = shared_from_this(), answer, lose, shown, body, run, id] {
        self->note({{"kind", "run_end"}, {"run", run}, {"request_id", id}, {"whole", !lose}});
        if (lose) {
            answer->abort();
            return;
        }
        answer->respond(200, {{"Content-Type", "application/json"}, {"X-Request-Id", shown}}, body);
    });
}

std::string standin_upstream::announcement() const
{
    json::array residents;
    for (const auto& adapter : m_adapters) {
        residents.push_back({{"adapter", adapter}, {"running", running_on(adapter)}});
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
                                       {"sequence", m_sequence},
                                       {"residents", residents}});
}

void standin_upstream::announce()
{
    ++m_sequence;
    // Load lags; identity, state and sequence are of now.
    const auto now = m_owner.time().now();
    m_reports.emplace_back(now, announcement());
    while (m_reports.size() > 1 && m_reports[1].first + m_settings.report_lag <= now) {
        m_reports.pop_front();
    }
    auto said = parse_body(m_reports.front().second);
    said["sequence"] = m_sequence;
    said["state"] = m_leaving ? "leaving" : "serving";
    m_owner.announce(json::serialize(said));
    m_announce_timer.expires_after(announce_every);
    m_announce_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->announce();
        }
    });
}

} // namespace siskindrift::standins
