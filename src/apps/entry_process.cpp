#include "entry_process.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <thread>
#include <vector>

#include "announcement_json.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::apps {
namespace {

namespace json = boost::json;
using core::reason;
using core::verdict;

constexpr core::milliseconds tick_every{20};
constexpr core::milliseconds leave_grace{300}; // for the last word to control
constexpr std::uint16_t ok = 200;

requests::entry_identity identity_of(const config::entry_settings& settings,
                                     std::uint64_t incarnation)
{
    return {settings.vm, incarnation, settings.inner_address, settings.caller_address,
            settings.failure_domain};
}

requests::entry_options options_of(const config::entry_settings& settings)
{
    requests::entry_options options;
    options.config_bound = settings.config_bound;
    options.endpoints_ttl = settings.endpoints_ttl;
    return options;
}

http::server_limits limits_of(const config::entry_settings& settings)
{
    http::server_limits limits;
    limits.max_connections = settings.max_connections;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.header_timeout = settings.header_timeout;
    limits.idle_timeout = settings.idle_timeout;
    return limits;
}

http::header_list verdict_headers(const core::request_id& id, core::outcome result,
                                  const std::string& adapter)
{
    http::header_list headers{{"Siskindrift-Request-Id", id.value()},
                              {"Siskindrift-Verdict", std::string{core::to_string(result.verdict)}},
                              {"Siskindrift-Reason", std::string{core::to_string(result.reason)}}};
    if (!adapter.empty()) {
        headers.emplace_back("Siskindrift-Adapter", adapter);
    }
    return headers;
}

void refuse(http::responder& answer, std::uint16_t status, reason why, const std::string& message,
            const core::request_id& id)
{
    const core::outcome result{verdict::not_run, why};
    auto headers = verdict_headers(id, result, "");
    headers.emplace_back("Content-Type", "application/json");
    answer.respond(status, std::move(headers), requests::error_body(result, message, id.value()));
}

std::string query_value(const std::string& target, const std::string& name)
{
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return {};
    }
    const auto wanted = name + "=";
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto next = rest.find('&');
        const auto part = rest.substr(0, next);
        if (part.starts_with(wanted)) {
            return part.substr(wanted.size());
        }
        rest = next == std::string::npos ? std::string{} : rest.substr(next + 1);
    }
    return {};
}

} // namespace

entry_process::entry_process(config::entry_settings settings)
    : m_settings(std::move(settings)), m_signals(m_context, SIGTERM, SIGINT), m_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, net::mesh_options{}, *this)),
      m_server(m_context, limits_of(m_settings), *this), m_client(m_context, *this)
{
    const auto incarnation = core::random_nonzero();
    m_core = std::make_unique<requests::entry_core>(m_clock, *this, options_of(m_settings),
                                                    identity_of(m_settings, incarnation),
                                                    m_settings.control, incarnation);
}

int entry_process::run()
{
    if (!m_settings.data_folder.empty() && !open_data_folder()) {
        return 1;
    }
    std::string error;
    if (!m_mesh->listen(m_settings.inner_address, error) ||
        !m_server.listen(m_settings.caller_address, error)) {
        observe::error("cannot_listen", {{"reason", error}});
        return 1;
    }
    m_signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            stop_gracefully();
        }
    });
    tick();
    observe::info("started", {{"caller_address", m_settings.caller_address},
                              {"inner_address", m_settings.inner_address}});
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < m_settings.workers; ++i) {
        workers.emplace_back([this] { m_context.run(); });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    observe::info("stopped");
    return 0;
}

bool entry_process::open_data_folder()
{
    core::error_message why;
    auto folder = log::data_folder::open(m_settings.data_folder, core::random_nonzero(), why);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", why.text()}});
        return false;
    }
    m_folder.emplace(std::move(*folder));
    load_config();
    return true;
}

void entry_process::load_config()
{
    core::error_message why;
    const auto bytes = config::read_file((m_folder->path() / "CONFIG").string(), why);
    const auto page = bytes ? wire::decode_table<wire::config_page_t>(*bytes) : std::nullopt;
    if (!page) {
        return;
    }
    for (const auto& operation : page->operations) {
        m_stored_config[operation->key] = operation->value;
    }
    const std::lock_guard lock{m_mutex};
    m_core->restore_config(*page);
    observe::info("configuration_restored", {{"revision", page->revision}});
}

void entry_process::store_config(const wire::config_page_t& page)
{
    observe::info("configuration_in_force", {{"revision", page.revision}});
    if (!m_folder) {
        return;
    }
    if (page.full) {
        m_stored_config.clear();
    }
    for (const auto& operation : page.operations) {
        if (operation->remove) {
            m_stored_config.erase(operation->key);
        }
        else {
            m_stored_config[operation->key] = operation->value;
        }
    }
    wire::config_page_t whole;
    whole.revision = page.revision;
    whole.full = true;
    for (const auto& [key, value] : m_stored_config) {
        wire::config_operation_t operation;
        operation.key = key;
        operation.value = value;
        wire::append(whole.operations, std::move(operation));
    }
    core::error_message why;
    if (!log::replace_file(m_folder->path() / "CONFIG", wire::encode_table(whole), why)) {
        observe::error("configuration_not_stored", {{"reason", why.text()}});
    }
}

void entry_process::tick()
{
    m_timer.expires_after(tick_every);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            m_core->tick();
            const auto now = m_clock.now();
            if (!m_leaving && m_core->drained()) {
                m_leaving = true;
                m_leave_at = now + leave_grace;
                m_core->leave();
            }
            if (m_leaving && now >= m_leave_at) {
                m_server.stop_accepting();
                m_mesh->stop();
                m_context.stop();
                return;
            }
        }
        tick();
    });
}

void entry_process::stop_gracefully()
{
    observe::info("draining");
    const std::lock_guard lock{m_mutex};
    m_core->drain();
}

// --- outputs of the core ---

void entry_process::send_peer(const std::string& address, wire::envelope_t message)
{
    m_mesh->send(address, message);
}

void entry_process::send_control(const std::string& address, wire::control_request_t request)
{
    m_mesh->send(address, wire::make_envelope(std::move(request)));
}

void entry_process::start_call(requests::upstream_call call)
{
    http::client_call request;
    request.id = call.id;
    request.address = std::move(call.address);
    request.method = std::move(call.method);
    request.path = std::move(call.path);
    request.body = std::move(call.body);
    request.headers = std::move(call.headers);
    request.headers.emplace_back("Content-Type", call.content_type);
    request.repeatable = call.repeatable;
    request.head_timeout = call.head_timeout;
    request.progress_timeout = call.progress_timeout;
    m_client.start(std::move(request));
}

void entry_process::cancel_call(requests::call_id call)
{
    m_client.cancel(call);
}

void entry_process::stream_piece(requests::caller_id caller,
                                 const requests::caller_request& request, const std::string& text)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& open = found->second;
    if (!open.streaming) {
        open.streaming = true;
        open.answer->begin(ok, {{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-cache"},
                                {"Siskindrift-Request-Id", request.id.value()},
                                {"Siskindrift-Adapter", request.adapter.value()}});
    }
    open.answer->write_chunk(requests::stream_event(request, text));
}

void entry_process::finish(requests::caller_id caller, const requests::caller_request& request,
                           requests::final_response answer)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    auto open = std::move(found->second);
    m_exchanges.erase(found);
    const auto result = answer.outcome;
    if (result.verdict != verdict::ran) {
        observe::info("request_failed", {{"request_id", request.id.value()},
                                         {"team", request.team.value()},
                                         {"verdict", core::to_string(result.verdict)},
                                         {"reason", core::to_string(result.reason)}});
    }
    m_metrics.count(std::string{"siskindrift_requests_"} +
                    std::string{core::to_string(result.verdict)} + "_total");
    if (open.streaming || (request.stream && result.verdict == verdict::ran &&
                           request.kind != requests::route::service)) {
        if (!open.streaming) {
            open.answer->begin(ok, {{"Content-Type", "text/event-stream"},
                                    {"Siskindrift-Request-Id", request.id.value()},
                                    {"Siskindrift-Adapter", request.adapter.value()}});
        }
        open.answer->write_chunk(requests::stream_end_events(request, answer));
        open.answer->end();
        return;
    }
    auto headers = verdict_headers(request.id, result, request.adapter.value());
    headers.emplace_back("Content-Type", answer.content_type);
    if (answer.retry_after_ms > 0) {
        headers.emplace_back("Retry-After", std::to_string((answer.retry_after_ms + 999) / 1000));
    }
    if (answer.stall_ms > 0) {
        headers.emplace_back("Siskindrift-Stall-Ms", std::to_string(answer.stall_ms));
    }
    open.answer->respond(answer.status, std::move(headers), std::move(answer.body));
}

void entry_process::keep_peer(const std::string& address, bool keep)
{
    if (keep) {
        m_mesh->keep_connected(address);
    }
    else {
        m_mesh->release(address);
    }
}

void entry_process::count_reason(reason why)
{
    m_metrics.count_reason(why);
}

void entry_process::increment_counter(const char* name)
{
    m_metrics.count(name);
}

void entry_process::observe_ms(const char* name, double milliseconds)
{
    m_metrics.observe_ms(name, milliseconds);
}

// --- inner connections ---

void entry_process::on_message(net::connection_id from, wire::envelope_t message)
{
    if (const auto* query = message.body.Asexplain_query()) {
        answer_explain(from, *query);
        return;
    }
    if (const auto* order = message.body.Asdrain_order()) {
        take_drain_order(from, *order);
        return;
    }
    const std::lock_guard lock{m_mutex};
    if (const auto* reply = message.body.Ascontrol_reply()) {
        m_core->on_control_reply(*reply);
        return;
    }
    m_core->on_peer(std::move(message));
}

void entry_process::take_drain_order(net::connection_id from, const wire::drain_order_t& order)
{
    wire::explain_reply_t reply;
    const auto& hashes = m_settings.operator_token_hashes;
    if (config::is_operator(hashes, order.token)) {
        stop_gracefully();
        reply.lines.emplace_back("draining");
    }
    m_mesh->reply(from, wire::make_envelope(std::move(reply)));
}

void entry_process::answer_explain(net::connection_id from, const wire::explain_query_t& query)
{
    wire::explain_reply_t reply;
    reply.request_id = query.request_id;
    {
        const std::lock_guard lock{m_mutex};
        reply.lines = m_core->context().trace.lines_of(query.request_id);
    }
    m_mesh->reply(from, wire::make_envelope(std::move(reply)));
}

void entry_process::on_link(const std::string& address, bool up)
{
    observe::debug("link", {{"address", address}, {"up", up}});
    const std::lock_guard lock{m_mutex};
    m_core->on_link(address, up);
}

void entry_process::on_bad_frame(reason why)
{
    m_metrics.count_reason(why);
    observe::warn("bad_frame", {{"reason", core::to_string(why)}});
}

// --- calls to upstreams ---

void entry_process::on_head(std::uint64_t call, const http::client_head& head)
{
    requests::call_head said;
    said.status = head.status;
    said.content_type = head.header("Content-Type");
    said.request_id = head.header("X-Request-Id");
    said.retry_after = !head.header("Retry-After").empty();
    const std::lock_guard lock{m_mutex};
    m_core->on_call_head(call, said);
}

void entry_process::on_data(std::uint64_t call, const std::string& bytes)
{
    const std::lock_guard lock{m_mutex};
    m_core->on_call_data(call, bytes);
}

void entry_process::on_end(std::uint64_t call, http::call_result how)
{
    const std::lock_guard lock{m_mutex};
    m_core->on_call_end(call, static_cast<requests::call_end>(how));
}

// --- callers ---

void entry_process::on_request(std::uint64_t exchange, http::server_request request,
                               std::shared_ptr<http::responder> answer)
{
    if (!answer_plain(request, *answer)) {
        take_work(exchange, request, std::move(answer));
    }
}

bool entry_process::answer_plain(const http::server_request& request, http::responder& answer)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/v1/announce" && request.method == "POST") {
        take_announcement(request, answer);
        return true;
    }
    if (request.method != "GET") {
        return false;
    }
    if (path == "/v1/endpoints") {
        answer_endpoints(request, answer);
    }
    else if (path == "/v1/models") {
        answer_models(request, answer);
    }
    else if (path == "/healthz") {
        answer.respond(ok, {{"Content-Type", "text/plain"}}, "ok\n");
    }
    else if (path == "/readyz") {
        const std::lock_guard lock{m_mutex};
        const bool ready = m_core->ready();
        answer.respond(ready ? ok : 503, {{"Content-Type", "text/plain"}},
                       ready ? "ready\n" : "not ready\n");
    }
    else if (path == "/metrics") {
        answer_metrics(answer);
    }
    else {
        return false;
    }
    return true;
}

void entry_process::answer_endpoints(const http::server_request& request, http::responder& answer)
{
    const auto domain = query_value(request.target, "failure_domain");
    auto caller = query_value(request.target, "caller");
    if (caller.empty()) {
        caller = request.remote_address;
    }
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock{m_mutex};
        addresses = m_core->endpoints(caller, domain);
    }
    json::array list;
    for (const auto& address : addresses) {
        list.emplace_back(address);
    }
    const json::value body{{"endpoints", list}, {"ttl_ms", core::to_ms(m_settings.endpoints_ttl)}};
    const auto status = addresses.empty() ? std::uint16_t{503} : ok;
    answer.respond(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

void entry_process::answer_models(const http::server_request& request, http::responder& answer)
{
    std::vector<std::string> models;
    core::request_id id;
    {
        const std::lock_guard lock{m_mutex};
        id = m_core->new_request_id();
        const auto team = m_core->authenticate(request.header("Authorization"));
        if (!team) {
            const bool knows = m_core->context().config_confirmed();
            const auto why = knows ? reason::unauthorized : reason::config_unconfirmed;
            refuse(answer, requests::http_status_of({verdict::not_run, why}), why,
                   knows ? "unknown team key" : "the configuration is not confirmed yet", id);
            return;
        }
        models = m_core->models_of(*team);
    }
    json::array list;
    for (const auto& model : models) {
        list.push_back({{"id", model}, {"object", "model"}});
    }
    answer.respond(ok, {{"Content-Type", "application/json"}},
                   json::serialize(json::value{{"object", "list"}, {"data", list}}));
}

void entry_process::answer_metrics(http::responder& answer)
{
    m_metrics.set("siskindrift_connections", static_cast<double>(m_server.connections()));
    m_metrics.set("siskindrift_inner_sent_bytes", static_cast<double>(m_mesh->sent_bytes()));
    m_metrics.set("siskindrift_inner_received_bytes",
                  static_cast<double>(m_mesh->received_bytes()));
    m_metrics.set("siskindrift_upstream_calls", static_cast<double>(m_client.open_calls()));
    {
        const std::lock_guard lock{m_mutex};
        m_metrics.set("siskindrift_open_requests",
                      static_cast<double>(m_core->request_ingress().open_requests()));
        m_metrics.set("siskindrift_owned_upstreams",
                      static_cast<double>(m_core->upstream_owner().engines().size()));
        m_metrics.set("siskindrift_config_revision",
                      static_cast<double>(m_core->context().catalog.revision().value()));
    }
    answer.respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.expose());
}

void entry_process::take_announcement(const http::server_request& request, http::responder& answer)
{
    const auto said = read_announcement(request.body);
    if (!said) {
        answer.respond(400, {{"Content-Type", "text/plain"}}, "malformed announcement\n");
        return;
    }
    {
        const std::lock_guard lock{m_mutex};
        m_core->on_announcement(*said);
    }
    answer.respond(ok, {{"Content-Type", "application/json"}}, "{}");
}

void entry_process::take_work(std::uint64_t exchange, const http::server_request& request,
                              std::shared_ptr<http::responder> answer)
{
    requests::raw_request raw;
    raw.method = request.method;
    raw.target = request.target;
    raw.body = request.body;
    raw.content_type = request.header("Content-Type");
    raw.authorization = request.header("Authorization");
    raw.idempotency_key = request.header("Idempotency-Key");
    raw.idempotent = request.header("Siskindrift-Idempotent");
    raw.deadline_ms = request.header("Siskindrift-Deadline-Ms");
    raw.priority = request.header("Siskindrift-Priority");
    requests::refusal why;
    auto mapped = request.method == "POST" ? requests::parse_request(raw, why) : std::nullopt;
    if (request.method != "POST") {
        why = {404, {verdict::not_run, reason::unknown_route}, "no such path"};
    }
    const std::lock_guard lock{m_mutex};
    const auto id = m_core->new_request_id();
    if (!mapped) {
        m_metrics.count_reason(why.outcome.reason);
        refuse(*answer, why.status, why.outcome.reason, why.message, id);
        return;
    }
    mapped->id = id;
    m_metrics.count("siskindrift_requests_total");
    m_exchanges[exchange].answer = std::move(answer);
    m_core->on_request(exchange, raw.authorization, std::move(*mapped));
}

void entry_process::on_caller_disconnected(std::uint64_t exchange)
{
    const std::lock_guard lock{m_mutex};
    if (m_exchanges.erase(exchange) > 0) {
        m_core->on_caller_left(exchange);
    }
}

void entry_process::on_refused(reason why)
{
    m_metrics.count_reason(why);
}

} // namespace siskindrift::apps
