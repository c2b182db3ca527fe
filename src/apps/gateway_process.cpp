#include "gateway_process.h"

#include <algorithm>
#include <limits>

#include "platform/calls.h"
#include "platform/deployment_codec.h"
#include "resource_limits.h"
#include "siskindrift/core/random.h"
#include "siskindrift/fleet/entry_check.h"
#include "siskindrift/gateway/adapter_wish.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

// Combines the wishes of a burst of requests in one report.
constexpr core::milliseconds min_report_interval{40};
// Bounds the load reports that one leader receives from all gateways.
constexpr core::milliseconds load_report_interval_per_gateway{4};
// Well below the time after which the leader drops a wish.
constexpr core::milliseconds wish_refresh_interval{1000};
// The expected wait at an engine changes on this time scale.
constexpr core::milliseconds overload_lifetime{300};
// Rejections tell how many requests a further copy of an adapter would serve.
constexpr core::milliseconds rejection_lifetime{1000};
// Least time left that is reported for an adapter that needs a further copy.
constexpr std::uint32_t overload_left_ms = 1000;
// Waiting requests are tried again this often even if no engine has loaded their adapter, because
// an engine may have become reachable or less busy.
constexpr core::milliseconds full_dispatch_interval{100};
// Well below the lease of a share, and soon enough for a newcomer that waits for this gateway.
constexpr core::milliseconds share_query_interval{3000};
constexpr core::milliseconds drain_poll_interval{100};
constexpr core::milliseconds write_poll_interval{20}; // the last answers are being written
constexpr unsigned missed_announcements = 3;          // until an upstream counts as silent
constexpr core::milliseconds announcement_delay{200};
// All gateways have attached to a coordinator again, which may have restarted.
constexpr core::milliseconds attach_time{1500};

// What a gateway adds to the header of a request that it passes on through another one.
constexpr std::size_t relay_header_bytes = 16UL * 1024;

// Requests to these addresses have no body.
constexpr std::size_t max_query_body_bytes = 64UL * 1024;

http::server_limits query_limits()
{
    http::server_limits limits;
    limits.max_body_bytes = max_query_body_bytes;
    return limits;
}

fleet::roster_options roster_options(core::duration announcement)
{
    fleet::roster_options options;
    options.silence_timeout = announcement * missed_announcements + announcement_delay;
    return options;
}

} // namespace

void gateway_process::listener::on_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("request_refused", {{"reason", core::to_string(reason)}});
}

gateway_process::gateway_process(config::gateway_settings settings, std::string settings_path)
    : m_settings(std::move(settings)), m_settings_path(std::move(settings_path)),
      m_memory(memory_limit(m_settings.memory_bytes)),
      m_connections(connection_limit(m_settings.max_descriptors)), m_context(1),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_stop_timer(m_context),
      m_report_timer(m_context), m_share_timer(m_context), m_path_timer(m_context),
      m_place_timer(m_context), m_evidence_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, mesh_options(m_memory, m_connections), *this)),
      m_caller_listener(
          m_metrics,
          [this](std::uint64_t id, http::server_request request,
                 std::shared_ptr<http::responder> responder) {
              handle_request(id, std::move(request), std::move(responder));
          },
          [this](std::uint64_t id) { handle_disconnect(id); }),
      m_readiness_listener(
          m_metrics,
          [this](std::uint64_t, const http::server_request&,
                 const std::shared_ptr<http::responder>& responder) {
              respond_readiness(responder);
          },
          [](std::uint64_t) {}),
      m_directory_listener(
          m_metrics,
          [this](std::uint64_t, const http::server_request& request,
                 const std::shared_ptr<http::responder>& responder) {
              respond_resolve(request, responder);
          },
          [](std::uint64_t) {}),
      m_callers(m_context, http::server_limits{}, m_caller_listener,
                external_resources(m_memory, m_connections)),
      m_readiness(m_context, query_limits(), m_readiness_listener,
                  external_resources(m_memory, m_connections)),
      m_directory(m_context, query_limits(), m_directory_listener,
                  external_resources(m_memory, m_connections)),
      m_relay_listener(
          m_metrics,
          [this](std::uint64_t id, http::server_request request,
                 std::shared_ptr<http::responder> responder) {
              handle_relayed_request(id, std::move(request), std::move(responder));
          },
          [this](std::uint64_t id) { handle_relay_disconnect(id); }),
      m_relays(m_context, http::server_limits{}, m_relay_listener,
               {&m_memory, &m_connections, core::connection_kind::internal}),
      m_client(m_context, *this, m_settings.source_address, &m_connections),
      m_metrics_endpoint(m_context, m_metrics, external_resources(m_memory, m_connections),
                         [this](observe::metrics& metrics) { update_gauges(metrics); }),
      m_incarnation(core::random_nonzero()), m_roster(roster_options(m_settings.announcement)),
      m_limits(m_settings.vm), m_pool(m_roster, m_limits, core::random_nonzero()),
      m_helpers(m_settings.vm, m_settings.failure_domain, core::random_nonzero()),
      m_retry_share(m_clock.now(), m_settings.retry_window), m_prompt_guard(m_settings.vm)
{
}

gateway_process::~gateway_process() = default;

int gateway_process::run()
{
    if (!listen()) {
        return 1;
    }
    wait_for_signal();
    connect_seeds();
    observe::info("started", {{"address", m_settings.caller_address}});
    m_context.run();
    observe::info("stopped", {});
    return 0;
}

void gateway_process::wait_for_signal()
{
    m_signals.async_wait([this](boost::system::error_code error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            reload_settings();
        }
        else if (!m_draining) {
            begin_drain();
        }
        wait_for_signal();
    });
}

void gateway_process::connect_seeds()
{
    for (const auto& seed : m_settings.seeds) {
        if (m_coordinators.try_emplace(seed).second) {
            m_mesh->keep_connected(seed);
        }
    }
}

// Applies the settings that may change at run time. Addresses may not.
void gateway_process::reload_settings()
{
    core::error_message error;
    const auto text = config::read_file(m_settings_path, error);
    const auto fresh = text ? config::read_gateway_settings(*text, error) : std::nullopt;
    if (!fresh) {
        observe::error("reload_refused", {{"reason", error.text()}});
        return;
    }
    m_settings.seeds = fresh->seeds;
    m_settings.retry_ratio = fresh->retry_ratio;
    m_settings.retry_extra = fresh->retry_extra;
    m_settings.retry_window = fresh->retry_window;
    m_settings.stop_grace = fresh->stop_grace;
    m_settings.endpoints_ttl_s = fresh->endpoints_ttl_s;
    for (auto& [name, budget] : m_retries) {
        budget.set_options(
            {m_settings.retry_ratio, m_settings.retry_extra, m_settings.retry_window});
    }
    connect_seeds();
    if (m_stop) {
        m_stop = m_stop->shortened_to(m_settings.stop_grace);
        apply_stop_to_exchanges();
        observe::info("stop_rescheduled",
                      {{"answers_end_ms", core::to_ms(m_stop->answers_end() - m_clock.now())}});
    }
    observe::info("reloaded", {{"settings", m_settings_path}});
}

bool gateway_process::listen()
{
    std::string error;
    if (m_callers.listen(m_settings.caller_address, error) &&
        m_readiness.listen(m_settings.readiness_address, error) &&
        m_directory.listen(m_settings.directory_address, error) &&
        m_mesh->listen(m_settings.inner_address, error) &&
        m_relays.listen(m_settings.relay_address, error) &&
        m_metrics_endpoint.listen(m_settings.metrics_address, error)) {
        return true;
    }
    observe::error("cannot_listen", {{"reason", error}});
    return false;
}

void gateway_process::update_gauges(observe::metrics& metrics) const
{
    metrics.set("siskindrift_open_requests", static_cast<double>(m_exchanges.size()));
    metrics.set("siskindrift_waiting_requests", static_cast<double>(m_waiting.size()));
    metrics.set("siskindrift_kept_bytes", static_cast<double>(m_memory.total()));
    metrics.set("siskindrift_connections", static_cast<double>(m_connections.open()));
    metrics.set("siskindrift_caller_connections", static_cast<double>(m_callers.connections()));
    metrics.set("siskindrift_document_version",
                static_cast<double>(m_deployment ? m_deployment->version : 0));
    metrics.set("siskindrift_upstreams", static_cast<double>(m_roster.entries().size()));
    metrics.set("siskindrift_blocked_parts", static_cast<double>(m_prompt_guard.blocked_parts()));
    metrics.set("siskindrift_limited_upstreams", static_cast<double>(m_limits.size()));
    metrics.set("siskindrift_retry_share", m_retry_share.fraction(m_clock.now()));
    double unanswered = 0;
    for (const auto& [service, retries] : m_retries) {
        unanswered += static_cast<double>(retries.unanswered());
    }
    metrics.set("siskindrift_unanswered_retries", unanswered);
    metrics.set("siskindrift_leader_term", static_cast<double>(m_engine_term));
    const auto now = m_clock.now();
    metrics.set("siskindrift_fleet_view_age_ms",
                static_cast<double>(core::to_ms(now - m_fleet_heard_at)));
    metrics.set("siskindrift_engine_view_age_ms",
                static_cast<double>(core::to_ms(now - m_engines_heard_at)));
}

void gateway_process::on_queued(std::string_view kind, std::size_t bytes)
{
    m_metrics.count("siskindrift_sent_bytes_" + std::string{kind} + "_total", bytes);
}

void gateway_process::begin_drain()
{
    const auto now = m_clock.now();
    m_draining = true;
    m_stop.emplace(now, m_settings.stop_grace);
    observe::info("draining", {{"requests", m_exchanges.size()},
                               {"grace_ms", core::to_ms(m_settings.stop_grace)},
                               {"answers_end_ms", core::to_ms(m_stop->answers_end() - now)},
                               {"exit_ms", core::to_ms(m_stop->exit_at() - now)}});
    m_callers.close_after_responses();
    m_relays.close_after_responses();
    apply_stop_to_exchanges();
    for (const auto& [address, state] : m_coordinators) {
        if (state.connected) {
            send_attach(address);
        }
    }
    poll_drain();
}

bool gateway_process::accepts_requests() const
{
    return !m_stop || m_stop->accepts_requests(m_clock.now());
}

void gateway_process::poll_drain()
{
    const auto now = m_clock.now();
    if (!accepts_requests() && std::exchange(m_accepting, false)) {
        m_callers.stop_accepting();
    }
    // The last bytes of a finished exchange may still have to be written, so `pending_responses` is
    // used.
    const bool idle = m_callers.pending_responses() == 0 && m_relays.pending_responses() == 0 &&
                      m_stop->may_end_idle(now);
    // A process that stood still ends its requests late, and then still has to write the answers.
    if (idle || (m_exchanges_ended && now >= m_stop->exit_at())) {
        observe::info("drained", {{"unwritten", m_callers.pending_responses()},
                                  {"unwritten_relays", m_relays.pending_responses()}});
        m_context.stop();
        return;
    }
    if (now >= m_stop->answers_end() && !std::exchange(m_exchanges_ended, true)) {
        end_open_exchanges();
    }
    auto pause = core::duration{m_exchanges_ended ? write_poll_interval : drain_poll_interval};
    if (!m_exchanges_ended) {
        pause = std::min(pause, m_stop->answers_end() - now);
    }
    m_stop_timer.expires_after(pause);
    m_stop_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            poll_drain();
        }
    });
}

// Applies the end of the stop to the requests that came before it.
void gateway_process::apply_stop_to_exchanges()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : m_exchanges) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            continue;
        }
        auto& item = *found->second;
        limit_to_stop(item);
        if (item.call_id == 0 && refuse_unsendable(item)) {
            continue;
        }
        if (item.timer &&
            item.timer->expiry() - std::chrono::steady_clock::now() > time_left(item)) {
            arm_timer(item, time_left(item));
        }
    }
}

// Gives each caller an answer, or a visibly incomplete one, before the process ends.
void gateway_process::end_open_exchanges()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : m_exchanges) {
        ids.push_back(id);
    }
    observe::info("open_requests_ended", {{"requests", ids.size()}});
    for (const auto id : ids) {
        if (const auto found = m_exchanges.find(id); found != m_exchanges.end()) {
            give_up(*found->second, core::reason::vm_draining);
        }
    }
}

void gateway_process::send_attach(const std::string& address)
{
    wire::gateway_attach_t message;
    message.incarnation = m_incarnation;
    message.reads_deltas = true;
    message.info = std::make_unique<wire::gateway_info_t>();
    message.info->vm = m_settings.vm;
    message.info->caller_address = m_settings.caller_address;
    message.info->failure_domain = m_settings.failure_domain;
    message.info->accepting = !m_draining;
    message.info->inner_address = m_settings.inner_address;
    message.info->relay_address = m_settings.relay_address;
    message.info->upstreams_lost = m_upstreams_lost;
    m_mesh->send(address, wire::make_envelope(std::move(message)));
}

void gateway_process::on_connection_state(const std::string& address, bool connected)
{
    if (connected && m_registrars.contains(address)) {
        tell_all_stream_origins(address);
    }
    const auto found = m_coordinators.find(address);
    if (found == m_coordinators.end()) {
        return;
    }
    if (found->second.connected != connected) {
        observe::info(connected ? "coordinator_reached" : "coordinator_lost",
                      {{"address", address}});
    }
    const bool had_contact = coordinator_connected();
    found->second.connected = connected;
    if (connected && !had_contact) {
        m_contact_regained_at = m_clock.now();
    }
    if (connected) {
        send_attach(address);
        tell_all_stream_origins(address);
        m_reported_wishes.clear();
        schedule_report();
    }
    else {
        m_document_follower.on_disconnect(address);
        found->second.leader_term = 0;
        found->second.time = {};
        if (had_contact && !coordinator_connected()) {
            m_gateways_at_loss = m_last_known_gateways;
        }
        found->second.gateways.clear();
        if (!coordinator_connected()) {
            m_software.on_contact_lost(m_clock.now());
        }
    }
}

void gateway_process::on_bad_frame(core::reason reason)
{
    observe::warn("bad_frame", {{"reason", core::to_string(reason)}});
}

void gateway_process::on_connection_refused(core::reason reason)
{
    count_reason(reason);
    observe::warn("connection_refused", {{"reason", core::to_string(reason)}});
}

void gateway_process::on_message(net::connection_id from, wire::envelope_t message)
{
    if (const auto* update = message.body.Asfleet_update()) {
        const auto found = m_coordinators.find(update->address);
        if (found != m_coordinators.end()) {
            apply_fleet_update(found->second, *update);
        }
    }
    else if (const auto* page = message.body.Asdocument_page()) {
        apply_document(*page);
    }
    else if (const auto* engines = message.body.Asengine_update()) {
        apply_engine_update(*engines);
    }
    else if (const auto* suspects = message.body.Asprompt_suspects()) {
        m_prompt_guard.set_suspects(*suspects, m_clock.now());
        if (m_prompt_guard.has_news()) {
            send_prompt_evidence();
        }
    }
    else if (const auto* grant = message.body.Assend_permit_grant()) {
        apply_permits(*grant);
    }
    else if (const auto* told = message.body.Asstream_origins()) {
        for (const auto& origin : told->origins) {
            keep_stream_origin(*origin, false);
        }
    }
    else if (const auto* query = message.body.Asstream_origin_query()) {
        m_mesh->reply(from, wire::make_envelope(fleet::make_origin_answer(
                                *query, m_origins, m_software, m_clock.now())));
    }
    else if (const auto* answer = message.body.Asstream_origin_answer()) {
        apply_origin_answer(*answer);
    }
    else if (const auto* share = message.body.Asretry_share()) {
        if (m_retry_share.apply(*share, m_clock.now())) {
            observe::info("retry_share", {{"generation", share->generation},
                                          {"holders", share->holders},
                                          {"usable", share->usable}});
            send_share_query();
        }
    }
}

void gateway_process::apply_fleet_update(coordinator_state& sender,
                                         const wire::fleet_update_t& update)
{
    const auto now = m_clock.now();
    sender.connected = true;
    m_fleet_heard_at = now;
    if (update.sent_ms != 0) {
        sender.time = {update.sent_ms, now};
    }
    if (update.leader_term != sender.leader_term) {
        sender.leader_term = update.leader_term;
        m_reported_wishes.clear();
        m_tell_unserved = true;
        schedule_report();
        send_share_query();
        m_prompt_guard.begin_leader();
        send_prompt_evidence();
        m_limits.report_again();
        m_limits.places().report_again();
        send_permit_query();
    }
    m_document_follower.set_offered_version(update.address, update.document_version);
    if (update.gateways_included) {
        sender.gateways.clear();
        for (const auto& info : update.gateways) {
            sender.gateways.push_back(*info);
        }
        m_last_known_gateways = sender.gateways;
        m_pool.set_gateway_count(gateway_count());
        m_helpers.set_gateways(m_last_known_gateways);
    }
    if (!update.control.empty()) {
        m_control_members = update.control.size();
    }
    for (const auto& coordinator : update.control) {
        if (!m_coordinators.contains(coordinator)) {
            m_coordinators[coordinator];
            m_mesh->keep_connected(coordinator);
        }
    }
    if (m_prompt_guard.apply_blocked(update)) {
        observe::info("blocked_parts", {{"generation", m_prompt_guard.generation()},
                                        {"parts", m_prompt_guard.blocked_parts()}});
        refuse_newly_blocked();
    }
    if (m_limits.apply_limits(update, now)) {
        observe::info("upstream_limits",
                      {{"generation", m_limits.generation()}, {"limits", m_limits.size()}});
    }
    for (const auto& upstream : update.upstreams) {
        if (const auto error = fleet::entry_error(*upstream)) {
            observe::warn("upstream_refused", {{"upstream", upstream->id.substr(0, 64)},
                                               {"from", update.vm},
                                               {"reason", *error}});
            continue;
        }
        m_roster.update(*upstream, now, core::milliseconds{upstream->age_ms});
        record_software(upstream->id);
    }
    for (const auto& id : update.heard) {
        m_roster.refresh(id, now);
        record_software(id);
    }
    for (const auto& divided : update.divided) {
        if (const auto* entry = m_roster.find(divided->upstream)) {
            m_limits.places().set_limited(entry->info.service, divided->upstream, divided->born_ms,
                                          entry->info.slots, now);
        }
    }
    divide_places_of_new_runs();
    if (update.full) {
        const auto known_since = now - core::milliseconds{update.history_ms};
        m_software.on_contact(known_since, now);
        m_fleet_known_since = std::min(m_fleet_known_since, known_since);
    }
    update_registrars();
    apply_versions(update, now);
    const bool changed = !m_roster.take_changed(now).empty() || !update.named.empty();
    m_roster.take_refreshed();
    m_roster.take_changed_copies(now);
    m_pool.remove_departed();
    request_document();
    watch_silent_upstreams();
    resolve_unanswered_sends();
    if (changed) {
        dispatch_waiting();
    }
}

void gateway_process::apply_versions(const wire::fleet_update_t& update, core::time_point now)
{
    // An update that was held up on its way is older than its arrival suggests.
    const auto on_the_way = m_message_ages.estimate(update.address, 0, update.sent_ms, now);
    for (const auto& item : update.versions) {
        std::optional<core::time_point> named_at;
        if (item->age_ms != std::numeric_limits<std::uint32_t>::max()) {
            named_at = now - on_the_way - core::milliseconds{item->age_ms};
        }
        m_pool.set_current_version({item->model, item->adapter}, item->version, named_at);
    }
    for (const auto& item : update.named) {
        m_pool.set_current_version({item->model, item->adapter}, item->version, std::nullopt);
    }
}

void gateway_process::request_document()
{
    if (const auto address = m_document_follower.next_source(m_clock.now())) {
        m_mesh->send(*address, wire::make_envelope(wire::document_query_t{}));
    }
}

void gateway_process::apply_document(const wire::document_page_t& page)
{
    if (m_deployment && page.version <= m_deployment->version) {
        return;
    }
    core::error_message error;
    auto document = platform::decode_deployment(page.content, error);
    if (!document) {
        observe::error("document_unreadable", {{"reason", error.text()}});
        return;
    }
    m_deployment = std::move(document);
    m_document_follower.set_applied_version(m_deployment->version);
    m_routes = gateway::route_table{*m_deployment};
    http::server_limits limits;
    limits.max_header_bytes = m_deployment->limits.max_header_bytes;
    limits.max_body_bytes = m_deployment->limits.max_body_bytes;
    limits.header_timeout = m_deployment->limits.header_timeout;
    limits.idle_timeout = m_deployment->limits.idle_timeout;
    m_callers.set_limits(limits);
    http::server_limits relayed;
    relayed.max_header_bytes = limits.max_header_bytes + relay_header_bytes;
    relayed.max_body_bytes = limits.max_body_bytes;
    m_relays.set_limits(relayed);
    for (const auto& [name, service] : m_deployment->services) {
        m_retries[name].set_options(
            {m_settings.retry_ratio, m_settings.retry_extra, m_settings.retry_window});
    }
    observe::info("document_in_force", {{"version", m_deployment->version}});
    route_deferred_requests();
}

void gateway_process::apply_engine_update(const wire::engine_update_t& update)
{
    if (update.term < m_engine_term) {
        return;
    }
    m_engine_term = update.term;
    if (update.store) { // a new leader has learnt nothing at first
        m_store = *update.store;
    }
    for (const auto& view : update.engines) {
        m_pool.update_engine(*view);
    }
    const auto now = m_clock.now();
    m_engines_heard_at = now;
    if (now - m_last_dispatch_at >= full_dispatch_interval) {
        m_last_dispatch_at = now;
        dispatch_waiting();
    }
    else {
        dispatch_loaded(update);
    }
}

void gateway_process::respond_readiness(const std::shared_ptr<http::responder>& responder)
{
    const bool ready = m_deployment && !m_draining;
    responder->respond(ready ? 200 : 503, {}, "");
}

std::vector<std::string> gateway_process::gateway_addresses() const
{
    std::set<std::string> addresses;
    std::set<std::string> leaving;
    for (const auto& [address, state] : m_coordinators) {
        for (const auto& info : state.gateways) {
            (info.accepting ? addresses : leaving).insert(info.caller_address);
        }
    }
    if (addresses.empty()) {
        for (const auto& info : m_last_known_gateways) {
            if (info.accepting) {
                addresses.insert(info.caller_address);
            }
        }
    }
    // A coordinator that has restarted lists few gateways at first.
    if (m_clock.now() - m_contact_regained_at < attach_time) {
        for (const auto& info : m_gateways_at_loss) {
            if (info.accepting) {
                addresses.insert(info.caller_address);
            }
        }
    }
    for (const auto& address : leaving) {
        addresses.erase(address);
    }
    if (m_draining) {
        addresses.erase(m_settings.caller_address);
    }
    return {addresses.begin(), addresses.end()};
}

void gateway_process::respond_resolve(const http::server_request&,
                                      const std::shared_ptr<http::responder>& responder)
{
    auto addresses = gateway_addresses();
    if (addresses.empty()) {
        responder->respond(503, {}, "");
        return;
    }
    constexpr std::size_t max_addresses = 64; // callers read at most 64
    if (addresses.size() > max_addresses) {
        // Starts at a random position, so that gateways return different selections.
        std::rotate(addresses.begin(),
                    addresses.begin() +
                        static_cast<std::ptrdiff_t>(m_incarnation % addresses.size()),
                    addresses.end());
        addresses.resize(max_addresses);
    }
    responder->respond(200, {{"Content-Type", "application/json"}},
                       platform::encode_addresses(addresses, m_settings.endpoints_ttl_s));
}

std::string gateway_process::leader_address() const
{
    std::string leader;
    std::uint64_t term = 0;
    for (const auto& [address, state] : m_coordinators) {
        if (state.connected && state.leader_term > term) {
            term = state.leader_term;
            leader = address;
        }
    }
    return leader;
}

// Asks the leader for the share of the extra retries, and tells it which one is applied.
void gateway_process::send_share_query()
{
    schedule_share_query();
    const auto leader = leader_address();
    if (leader.empty()) {
        return;
    }
    wire::retry_share_query_t query;
    query.vm = m_settings.vm;
    query.generation = m_retry_share.generation();
    query.sent_ms = static_cast<std::uint64_t>(core::to_ms(m_clock.now().time_since_epoch()));
    m_mesh->send(leader, wire::make_envelope(std::move(query)));
}

void gateway_process::schedule_share_query()
{
    m_share_timer.expires_after(share_query_interval);
    m_share_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            send_share_query();
            send_prompt_evidence();
            send_permit_query();
        }
    });
}

void gateway_process::schedule_report()
{
    schedule_report_at(std::max(m_clock.now(), m_last_report_at + min_report_interval));
}

// Schedules a report of engine load. The interval grows with the number of gateways that report to
// the leader.
void gateway_process::schedule_load_report()
{
    const auto pause = std::max<core::duration>(min_report_interval,
                                                load_report_interval_per_gateway * gateway_count());
    schedule_report_at(std::max(m_clock.now(), m_last_report_at + pause));
}

std::size_t gateway_process::gateway_count() const
{
    std::size_t count = 1;
    for (const auto& [address, state] : m_coordinators) {
        count = std::max(count, state.gateways.size());
    }
    if (m_clock.now() - m_contact_regained_at < attach_time) {
        count = std::max(count, m_gateways_at_loss.size());
    }
    return count;
}

void gateway_process::schedule_report_at(core::time_point due)
{
    if (m_report_due && *m_report_due <= due) {
        return;
    }
    m_report_due = due;
    m_report_timer.expires_after(due - m_clock.now());
    m_report_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            m_report_due.reset();
            send_report();
        }
    });
}

// Reports to the leader which adapters requests wait for and which are in use.
void gateway_process::send_report()
{
    const auto now = m_clock.now();
    m_last_report_at = now;
    wire::gateway_report_t report;
    report.vm = m_settings.vm;
    report.incarnation = m_incarnation;
    if (m_store.loads > 0) {
        report.store = std::make_unique<wire::store_capacity_t>(m_store);
    }
    std::map<wish_key, wire::adapter_wish_t> wishes;
    for (const auto id : m_waiting) {
        const auto& item = *m_exchanges.at(id);
        if (item.adapter.first.empty()) {
            continue; // waits for an upstream, not for an adapter
        }
        gateway::add_waiting(wishes[wish_of(item)],
                             {item.arrived_at, item.deadline, item.route.latency_objective,
                              item.metadata.prompt_tokens},
                             now);
    }
    for (auto& [name, overload] : m_overloaded_adapters) {
        auto& rejections = overload.rejections;
        while (!rejections.empty() && now - rejections.front() > rejection_lifetime) {
            rejections.pop_front();
        }
    }
    std::erase_if(m_overloaded_adapters, [&](const auto& item) {
        return item.second.rejections.empty() && now - item.second.since > overload_lifetime;
    });
    for (const auto& [name, overload] : m_overloaded_adapters) {
        auto& wish = wishes[name];
        wish.rejected = static_cast<std::uint32_t>(overload.rejections.size());
        wish.waiting = std::max(wish.waiting, 1U);
        wish.left_ms = std::max<std::uint32_t>(wish.left_ms, std::uint32_t{overload_left_ms});
        wish.crowded = true;
    }
    for (const auto& name : m_reported_wishes) {
        wishes[name]; // withdraws the wish unless requests still wait
    }
    m_reported_wishes.clear();
    for (auto& [name, wish] : wishes) {
        wish.model = name.first.first;
        wish.adapter = name.first.second;
        wish.software_version = name.second;
        if (wish.waiting > 0) {
            m_reported_wishes.insert(name);
        }
        wire::append(report.wishes, wish);
    }
    for (auto& use : m_pool.adapter_uses()) {
        wire::append(report.uses, std::move(use));
    }
    for (auto& share : m_pool.take_token_shares()) {
        wire::append(report.shares, std::move(share));
    }
    if (!m_upstreams_lost) { // otherwise the path is gone, not the upstreams
        report.unreachable = m_pool.unreachable_upstreams(now);
    }
    const auto leader = leader_address();
    if (!leader.empty()) {
        if (std::exchange(m_tell_unserved, false)) {
            for (const auto& [name, unserved] : m_unserved.all()) {
                wire::unserved_adapter_t item;
                item.model = name.first;
                item.adapter = name.second;
                item.age_ms = static_cast<std::uint32_t>(core::to_ms(now - unserved.since));
                item.requests = unserved.count;
                wire::append(report.unserved, std::move(item));
            }
        }
        m_mesh->send(leader, wire::make_envelope(std::move(report)));
    }
    if (!m_reported_wishes.empty()) {
        schedule_report_at(now + wish_refresh_interval);
    }
}

} // namespace siskindrift::apps
