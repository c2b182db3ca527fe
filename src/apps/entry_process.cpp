#include "entry_process.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <thread>
#include <vector>

#include "announcement_json.h"
#include "resource_limits.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::apps {
namespace {

// Limit on the response of an upstream, so that an endless one doesn't exhaust the memory.
constexpr std::size_t max_response_bytes = 16UL * 1024 * 1024;

namespace json = boost::json;
using core::reason;
using core::verdict;

constexpr core::milliseconds tick_interval{20};
constexpr core::milliseconds shutdown_delay{300}; // lets the last messages to control go out
constexpr std::uint16_t status_ok = 200;

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

// Memory for requests and responses if the memory of the process isn't known.
constexpr std::uint64_t default_kept_bodies = 16;

std::uint64_t memory_limit_of(const config::entry_settings& settings)
{
    return settings.memory_bytes == 0 ? default_kept_bodies * settings.max_body_bytes
                                      : memory_limit(settings.memory_bytes);
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

http::header_list outcome_headers(const core::request_id& id, core::outcome result,
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

void respond_refused(http::responder& responder, std::uint16_t status, core::reason reason,
                     const std::string& message, const core::request_id& id)
{
    const core::outcome result{verdict::not_run, reason};
    auto headers = outcome_headers(id, result, "");
    headers.emplace_back("Content-Type", "application/json");
    responder.respond(status, std::move(headers),
                      requests::error_body(result, message, id.value()));
}

requests::call_end call_end_of(const http::call_end& end)
{
    switch (end.result) {
    case http::call_result::complete:
        return end.framing == http::body_framing::until_close ? requests::call_end::closed
                                                              : requests::call_end::complete;
    case http::call_result::not_sent:
        return requests::call_end::not_sent;
    case http::call_result::timed_out:
        return requests::call_end::silent;
    case http::call_result::connection_lost:
        break;
    }
    return requests::call_end::lost;
}

// Returns the value of a query parameter without percent-decoding, or an empty text.
std::string query_value(const std::string& target, const std::string& name)
{
    const auto query_begin = target.find('?');
    if (query_begin == std::string::npos) {
        return {};
    }
    const auto prefix = name + "=";
    auto remaining = target.substr(query_begin + 1);
    while (!remaining.empty()) {
        const auto separator = remaining.find('&');
        const auto parameter = remaining.substr(0, separator);
        if (parameter.starts_with(prefix)) {
            return parameter.substr(prefix.size());
        }
        remaining =
            separator == std::string::npos ? std::string{} : remaining.substr(separator + 1);
    }
    return {};
}

} // namespace

entry_process::entry_process(config::entry_settings settings)
    : m_settings(std::move(settings)), m_memory(memory_limit_of(m_settings)),
      m_connections(connection_limit(m_settings.max_descriptors)),
      m_signals(m_context, SIGTERM, SIGINT), m_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, mesh_options(m_memory, m_connections), *this)),
      m_server(m_context, limits_of(m_settings), *this,
               external_resources(m_memory, m_connections)),
      m_client(m_context, *this, {}, &m_connections)
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
            begin_drain();
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
    core::error_message error;
    auto folder = log::data_folder::open(m_settings.data_folder, core::random_nonzero(), error);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", error.text()}});
        return false;
    }
    m_data_folder.emplace(std::move(*folder));
    load_config();
    return true;
}

void entry_process::load_config()
{
    core::error_message error;
    const auto bytes = config::read_file((m_data_folder->path() / "CONFIG").string(), error);
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
    if (!m_data_folder) {
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
    wire::config_page_t stored_page;
    stored_page.revision = page.revision;
    stored_page.full = true;
    for (const auto& [key, value] : m_stored_config) {
        wire::config_operation_t operation;
        operation.key = key;
        operation.value = value;
        wire::append(stored_page.operations, std::move(operation));
    }
    core::error_message error;
    if (!log::replace_file(m_data_folder->path() / "CONFIG", wire::encode_table(stored_page),
                           error)) {
        observe::error("configuration_not_stored", {{"reason", error.text()}});
    }
}

void entry_process::tick()
{
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            m_core->tick();
            const auto now = m_clock.now();
            if (!m_shutting_down && m_core->drained()) {
                m_shutting_down = true;
                m_shutdown_at = now + shutdown_delay;
                m_core->leave();
            }
            if (m_shutting_down && now >= m_shutdown_at) {
                m_server.stop_accepting();
                m_mesh->stop();
                m_context.stop();
                return;
            }
        }
        tick();
    });
}

void entry_process::begin_drain()
{
    observe::info("draining");
    const std::lock_guard lock{m_mutex};
    m_core->drain();
}

// --- entry_outputs ---

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
    request.total_timeout = call.total_timeout;
    request.max_body_bytes = max_response_bytes;
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
    auto& pending = found->second;
    if (!pending.streaming) {
        pending.streaming = true;
        pending.responder->begin(status_ok, {{"Content-Type", "text/event-stream"},
                                             {"Cache-Control", "no-cache"},
                                             {"Siskindrift-Request-Id", request.id.value()},
                                             {"Siskindrift-Adapter", request.adapter.value()}});
    }
    pending.responder->write_chunk(requests::stream_event(request, text));
}

void entry_process::finish(requests::caller_id caller, const requests::caller_request& request,
                           requests::final_response response)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    auto pending = std::move(found->second);
    m_exchanges.erase(found);
    const auto result = response.outcome;
    if (result.verdict != verdict::ran) {
        observe::info("request_failed", {{"request_id", request.id.value()},
                                         {"team", request.team.value()},
                                         {"verdict", core::to_string(result.verdict)},
                                         {"reason", core::to_string(result.reason)}});
    }
    m_metrics.count(std::string{"siskindrift_requests_"} +
                    std::string{core::to_string(result.verdict)} + "_total");
    if (pending.streaming || (request.stream && result.verdict == verdict::ran &&
                              request.kind != requests::route::service)) {
        if (!pending.streaming) {
            pending.responder->begin(status_ok, {{"Content-Type", "text/event-stream"},
                                                 {"Siskindrift-Request-Id", request.id.value()},
                                                 {"Siskindrift-Adapter", request.adapter.value()}});
        }
        pending.responder->write_chunk(requests::stream_end_events(request, response));
        if (result.verdict == verdict::ran) {
            pending.responder->end();
        }
        else {
            pending.responder->break_off();
        }
        return;
    }
    auto headers = outcome_headers(request.id, result, request.adapter.value());
    headers.emplace_back("Content-Type", response.content_type);
    if (response.retry_after_ms > 0) {
        headers.emplace_back("Retry-After", std::to_string((response.retry_after_ms + 999) / 1000));
    }
    if (response.stall_ms > 0) {
        headers.emplace_back("Siskindrift-Stall-Ms", std::to_string(response.stall_ms));
    }
    pending.responder->respond(response.status, std::move(headers), std::move(response.body));
}

void entry_process::keep_peer_connected(const std::string& address, bool keep)
{
    if (keep) {
        m_mesh->keep_connected(address);
    }
    else {
        m_mesh->release(address);
    }
}

void entry_process::count_reason(core::reason reason)
{
    m_metrics.count_reason(reason);
}

void entry_process::increment_counter(const char* name)
{
    m_metrics.count(name);
}

void entry_process::observe_ms(const char* name, double milliseconds)
{
    m_metrics.observe_ms(name, milliseconds);
}

// --- messages of other VMs and of control replicas ---

void entry_process::on_message(net::connection_id from, wire::envelope_t message)
{
    if (const auto* query = message.body.Asexplain_query()) {
        handle_explain_query(from, *query);
        return;
    }
    if (const auto* order = message.body.Asdrain_order()) {
        handle_drain_order(from, *order);
        return;
    }
    const std::lock_guard lock{m_mutex};
    if (const auto* reply = message.body.Ascontrol_reply()) {
        m_core->on_control_reply(*reply);
        return;
    }
    m_core->on_peer(std::move(message));
}

void entry_process::handle_drain_order(net::connection_id from, const wire::drain_order_t& order)
{
    wire::explain_reply_t reply;
    const auto& hashes = m_settings.operator_token_hashes;
    if (config::is_operator(hashes, order.token)) {
        begin_drain();
        reply.lines.emplace_back("draining");
    }
    m_mesh->reply(from, wire::make_envelope(std::move(reply)));
}

void entry_process::handle_explain_query(net::connection_id from,
                                         const wire::explain_query_t& query)
{
    wire::explain_reply_t reply;
    reply.request_id = query.request_id;
    {
        const std::lock_guard lock{m_mutex};
        reply.lines = m_core->context().trace.lines_of(query.request_id);
    }
    m_mesh->reply(from, wire::make_envelope(std::move(reply)));
}

void entry_process::on_connection_state(const std::string& address, bool up)
{
    observe::debug("link", {{"address", address}, {"up", up}});
    const std::lock_guard lock{m_mutex};
    m_core->on_connection_state(address, up);
}

void entry_process::on_bad_frame(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("bad_frame", {{"reason", core::to_string(reason)}});
}

void entry_process::on_connection_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("connection_refused", {{"reason", core::to_string(reason)}});
}

// --- responses of upstreams ---

void entry_process::on_head(std::uint64_t call, const http::client_head& head)
{
    requests::call_head call_head;
    call_head.status = head.status;
    call_head.content_type = head.header("Content-Type");
    call_head.request_id = head.header("X-Request-Id");
    call_head.retry_after = !head.header("Retry-After").empty();
    const std::lock_guard lock{m_mutex};
    m_core->on_call_head(call, call_head);
}

void entry_process::on_data(std::uint64_t call, const std::string& bytes)
{
    const std::lock_guard lock{m_mutex};
    m_core->on_call_data(call, bytes);
}

void entry_process::on_end(std::uint64_t call, const http::call_end& end)
{
    const std::lock_guard lock{m_mutex};
    m_core->on_call_end(call, call_end_of(end));
}

// --- requests of callers ---

void entry_process::on_request(std::uint64_t exchange, http::server_request request,
                               std::shared_ptr<http::responder> responder)
{
    if (!handle_local_path(request, *responder)) {
        handle_request(exchange, request, std::move(responder));
    }
}

bool entry_process::handle_local_path(const http::server_request& request,
                                      http::responder& responder)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/v1/announce" && request.method == "POST") {
        handle_announcement(request, responder);
        return true;
    }
    if (request.method != "GET") {
        return false;
    }
    if (path == "/v1/endpoints") {
        handle_endpoints(request, responder);
    }
    else if (path == "/v1/models") {
        handle_models(request, responder);
    }
    else if (path == "/healthz") {
        responder.respond(status_ok, {{"Content-Type", "text/plain"}}, "ok\n");
    }
    else if (path == "/readyz") {
        const std::lock_guard lock{m_mutex};
        const bool ready = m_core->ready();
        responder.respond(ready ? status_ok : 503, {{"Content-Type", "text/plain"}},
                          ready ? "ready\n" : "not ready\n");
    }
    else if (path == "/metrics") {
        handle_metrics(responder);
    }
    else {
        return false;
    }
    return true;
}

void entry_process::handle_endpoints(const http::server_request& request,
                                     http::responder& responder)
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
    const auto status = addresses.empty() ? std::uint16_t{503} : status_ok;
    responder.respond(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

void entry_process::handle_models(const http::server_request& request, http::responder& responder)
{
    std::vector<std::string> models;
    core::request_id id;
    {
        const std::lock_guard lock{m_mutex};
        id = m_core->new_request_id();
        const auto team = m_core->authenticate(request.header("Authorization"));
        if (!team) {
            const bool config_confirmed = m_core->context().config_confirmed();
            const auto code = config_confirmed ? reason::unauthorized : reason::config_unconfirmed;
            respond_refused(responder, requests::http_status_of({verdict::not_run, code}), code,
                            config_confirmed ? "unknown team key"
                                             : "the configuration is not confirmed yet",
                            id);
            return;
        }
        models = m_core->models_of(*team);
    }
    json::array list;
    for (const auto& model : models) {
        list.push_back({{"id", model}, {"object", "model"}});
    }
    responder.respond(status_ok, {{"Content-Type", "application/json"}},
                      json::serialize(json::value{{"object", "list"}, {"data", list}}));
}

void entry_process::handle_metrics(http::responder& responder)
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
    responder.respond(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                      m_metrics.expose());
}

void entry_process::handle_announcement(const http::server_request& request,
                                        http::responder& responder)
{
    const auto announcement = read_announcement(request.body);
    if (!announcement) {
        responder.respond(400, {{"Content-Type", "text/plain"}}, "malformed announcement\n");
        return;
    }
    {
        const std::lock_guard lock{m_mutex};
        m_core->on_announcement(*announcement);
    }
    responder.respond(status_ok, {{"Content-Type", "application/json"}}, "{}");
}

void entry_process::handle_request(std::uint64_t exchange, const http::server_request& request,
                                   std::shared_ptr<http::responder> responder)
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
    requests::refusal refusal;
    auto parsed = request.method == "POST" ? requests::parse_request(raw, refusal) : std::nullopt;
    if (request.method != "POST") {
        refusal = {404, {verdict::not_run, reason::unknown_route}, "no such path"};
    }
    const std::lock_guard lock{m_mutex};
    const auto id = m_core->new_request_id();
    if (!parsed) {
        m_metrics.count_reason(refusal.outcome.reason);
        respond_refused(*responder, refusal.status, refusal.outcome.reason, refusal.message, id);
        return;
    }
    parsed->id = id;
    m_metrics.count("siskindrift_requests_total");
    m_exchanges[exchange].responder = std::move(responder);
    m_core->on_request(exchange, raw.authorization, std::move(*parsed));
}

void entry_process::on_caller_disconnected(std::uint64_t exchange)
{
    const std::lock_guard lock{m_mutex};
    if (m_exchanges.erase(exchange) > 0) {
        m_core->on_caller_left(exchange);
    }
}

void entry_process::on_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
}

} // namespace siskindrift::apps
