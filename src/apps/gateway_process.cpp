#include "gateway_process.h"

#include <algorithm>

#include "platform/calls.h"
#include "platform/deployment_codec.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds report_pause{40};          // gathers the wishes of a burst
constexpr core::milliseconds report_pause_a_gateway{4}; // loads of the whole deployment
constexpr core::milliseconds report_repeat{1000};       // well within the life of a wish
constexpr core::milliseconds crowded_life{300};         // the wait changes as fast
constexpr core::milliseconds stop_poll{100};
constexpr core::milliseconds stop_first{2500};  // callers keep an older list of gateways
constexpr core::milliseconds stop_refuse{2800}; // what begins later may not end in time
constexpr core::milliseconds stop_margin{500};  // before the platform kills the process
constexpr unsigned silent_announcements = 3;

fleet::roster_options roster_options(core::duration announcement)
{
    fleet::roster_options options;
    options.silence_timeout = announcement * silent_announcements + core::milliseconds{200};
    return options;
}

} // namespace

void gateway_process::listener::on_refused(core::reason why)
{
    observe::warn("request_refused", {{"reason", core::to_string(why)}});
}

gateway_process::gateway_process(config::gateway_settings settings, std::string settings_path)
    : m_settings(std::move(settings)), m_settings_path(std::move(settings_path)), m_context(1),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_stop_timer(m_context),
      m_report_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, net::mesh_options{}, *this)),
      m_caller_listener(
          [this](std::uint64_t id, http::server_request request,
                 std::shared_ptr<http::responder> answer) {
              begin(id, std::move(request), std::move(answer));
          },
          [this](std::uint64_t id) { left(id); }),
      m_readiness_listener(
          [this](std::uint64_t, const http::server_request&,
                 const std::shared_ptr<http::responder>& answer) { answer_readiness(answer); },
          [](std::uint64_t) {}),
      m_directory_listener(
          [this](std::uint64_t, const http::server_request& request,
                 const std::shared_ptr<http::responder>& answer) {
              answer_resolve(request, answer);
          },
          [](std::uint64_t) {}),
      m_callers(m_context, http::server_limits{}, m_caller_listener),
      m_readiness(m_context, http::server_limits{}, m_readiness_listener),
      m_directory(m_context, http::server_limits{}, m_directory_listener),
      m_client(m_context, *this),
      m_metrics_endpoint(m_context, m_metrics, [this](observe::metrics& to) { show_state(to); }),
      m_incarnation(core::random_nonzero()), m_roster(roster_options(m_settings.announcement)),
      m_pool(m_roster, core::random_nonzero())
{
}

gateway_process::~gateway_process() = default;

int gateway_process::run()
{
    if (!listen()) {
        return 1;
    }
    await_signal();
    keep_seeds();
    observe::info("started", {{"address", m_settings.caller_address}});
    m_context.run();
    observe::info("stopped", {});
    return 0;
}

void gateway_process::await_signal()
{
    m_signals.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        }
        else if (!m_draining) {
            begin_stop();
        }
        await_signal();
    });
}

void gateway_process::keep_seeds()
{
    for (const auto& seed : m_settings.seeds) {
        if (m_coordinators.try_emplace(seed).second) {
            m_mesh->keep(seed);
        }
    }
}

// Takes up what may change while the process runs; addresses may not.
void gateway_process::reload()
{
    core::error_message why;
    const auto text = config::read_file(m_settings_path, why);
    const auto fresh = text ? config::read_gateway_settings(*text, why) : std::nullopt;
    if (!fresh) {
        observe::error("reload_refused", {{"reason", why.text()}});
        return;
    }
    m_settings.seeds = fresh->seeds;
    m_settings.retry_ratio = fresh->retry_ratio;
    m_settings.retry_extra = fresh->retry_extra;
    m_settings.retry_window = fresh->retry_window;
    m_settings.stop_grace = fresh->stop_grace;
    m_settings.endpoints_ttl_s = fresh->endpoints_ttl_s;
    for (auto& [name, budget] : m_budgets) {
        budget.set_options(
            {m_settings.retry_ratio, m_settings.retry_extra, m_settings.retry_window});
    }
    keep_seeds();
    observe::info("reloaded", {{"settings", m_settings_path}});
}

bool gateway_process::listen()
{
    std::string error;
    if (m_callers.listen(m_settings.caller_address, error) &&
        m_readiness.listen(m_settings.readiness_address, error) &&
        m_directory.listen(m_settings.directory_address, error) &&
        m_metrics_endpoint.listen(m_settings.metrics_address, error)) {
        return true;
    }
    observe::error("cannot_listen", {{"reason", error}});
    return false;
}

void gateway_process::show_state(observe::metrics& to) const
{
    to.set("siskindrift_open_requests", static_cast<double>(m_exchanges.size()));
    to.set("siskindrift_waiting_requests", static_cast<double>(m_parked.size()));
    to.set("siskindrift_caller_connections", static_cast<double>(m_callers.connections()));
    to.set("siskindrift_document_version",
           static_cast<double>(m_deployment ? m_deployment->version : 0));
    to.set("siskindrift_upstreams", static_cast<double>(m_roster.entries().size()));
    to.set("siskindrift_leader_term", static_cast<double>(m_engine_term));
}

void gateway_process::begin_stop()
{
    observe::info("draining", {{"requests", m_exchanges.size()}});
    m_draining = true;
    m_drain_begun = m_clock.now();
    m_callers.close_after_answers();
    for (const auto& [address, state] : m_coordinators) {
        if (state.up) {
            attach(address);
        }
    }
    watch_stop();
}

// Streams that begin late in the time to stop would be cut off at its end.
bool gateway_process::takes_requests() const
{
    return !m_draining || m_clock.now() - m_drain_begun < stop_refuse;
}

void gateway_process::watch_stop()
{
    const auto passed = m_clock.now() - m_drain_begun;
    if (!takes_requests() && std::exchange(m_accepting, false)) {
        m_callers.stop_accepting();
    }
    // An exchange may be over while its last bytes still wait to be written.
    const bool idle = m_callers.open_answers() == 0 && passed >= stop_first;
    if (idle || passed >= m_settings.stop_grace - stop_margin) {
        m_context.stop();
        return;
    }
    m_stop_timer.expires_after(stop_poll);
    m_stop_timer.async_wait([this](boost::system::error_code failed) {
        if (!failed) {
            watch_stop();
        }
    });
}

void gateway_process::attach(const std::string& address)
{
    wire::gateway_attach_t word;
    word.incarnation = m_incarnation;
    word.info = std::make_unique<wire::gateway_info_t>();
    word.info->vm = m_settings.vm;
    word.info->caller_address = m_settings.caller_address;
    word.info->failure_domain = m_settings.failure_domain;
    word.info->accepting = !m_draining;
    m_mesh->send(address, wire::make_envelope(std::move(word)));
}

void gateway_process::on_link(const std::string& address, bool up)
{
    const auto found = m_coordinators.find(address);
    if (found == m_coordinators.end()) {
        return;
    }
    if (found->second.up != up) {
        observe::info(up ? "coordinator_reached" : "coordinator_lost", {{"address", address}});
    }
    found->second.up = up;
    if (up) {
        attach(address);
        m_told_wishes.clear();
        report_soon();
    }
    else {
        m_document.on_disconnect(address);
        found->second.leader_term = 0;
        found->second.gateways.clear();
    }
}

void gateway_process::on_bad_frame(core::reason why)
{
    observe::warn("bad_frame", {{"reason", core::to_string(why)}});
}

void gateway_process::on_message(net::connection_id, wire::envelope_t message)
{
    if (const auto* update = message.body.Asfleet_update()) {
        const auto found = m_coordinators.find(update->address);
        if (found != m_coordinators.end()) {
            take_update(found->second, *update);
        }
    }
    else if (const auto* page = message.body.Asdocument_page()) {
        take_document(*page);
    }
    else if (const auto* engines = message.body.Asengine_update()) {
        take_engines(*engines);
    }
}

void gateway_process::take_update(coordinator& from, const wire::fleet_update_t& update)
{
    const auto now = m_clock.now();
    from.up = true;
    if (update.leader_term != from.leader_term) {
        from.leader_term = update.leader_term;
        m_told_wishes.clear();
        report_soon();
    }
    m_document.set_offered_version(update.address, update.document_version);
    if (update.gateways_included) {
        from.gateways.clear();
        for (const auto& info : update.gateways) {
            from.gateways.push_back(*info);
        }
        m_last_gateways = from.gateways;
        m_pool.set_gateway_count(gateway_count());
    }
    for (const auto& control : update.control) {
        if (!m_coordinators.contains(control)) {
            m_coordinators[control];
            m_mesh->keep(control);
        }
    }
    for (const auto& word : update.upstreams) {
        m_roster.update(*word, now, core::milliseconds{word->age_ms});
    }
    for (const auto& id : update.heard) {
        m_roster.refresh(id, now);
    }
    for (const auto& item : update.named) {
        m_pool.set_current_version({item->model, item->adapter}, item->version, now);
    }
    m_roster.take_changed(now);
    m_roster.take_refreshed();
    m_pool.remove_departed();
    ask_document();
    unpark();
}

void gateway_process::ask_document()
{
    if (const auto address = m_document.next_source(m_clock.now())) {
        m_mesh->send(*address, wire::make_envelope(wire::document_query_t{}));
    }
}

void gateway_process::take_document(const wire::document_page_t& page)
{
    if (m_deployment && page.version <= m_deployment->version) {
        return;
    }
    core::error_message why;
    auto document = platform::decode_deployment(page.content, why);
    if (!document) {
        observe::error("document_unreadable", {{"reason", why.text()}});
        return;
    }
    m_deployment = std::move(document);
    m_document.set_applied_version(m_deployment->version);
    m_routes = gateway::route_table{*m_deployment};
    http::server_limits limits;
    limits.max_header_bytes = m_deployment->limits.max_header_bytes;
    limits.max_body_bytes = m_deployment->limits.max_body_bytes;
    limits.header_timeout = m_deployment->limits.header_timeout;
    limits.idle_timeout = m_deployment->limits.idle_timeout;
    m_callers.set_limits(limits);
    for (const auto& [name, service] : m_deployment->services) {
        m_budgets[name].set_options(
            {m_settings.retry_ratio, m_settings.retry_extra, m_settings.retry_window});
    }
    observe::info("document_in_force", {{"version", m_deployment->version}});
    route_waiting();
}

void gateway_process::take_engines(const wire::engine_update_t& update)
{
    if (update.term < m_engine_term) {
        return;
    }
    m_engine_term = update.term;
    for (const auto& view : update.engines) {
        m_pool.update_engine(*view);
    }
    unpark();
}

void gateway_process::answer_readiness(const std::shared_ptr<http::responder>& responder)
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
        for (const auto& info : m_last_gateways) {
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

void gateway_process::answer_resolve(const http::server_request&,
                                     const std::shared_ptr<http::responder>& responder)
{
    auto addresses = gateway_addresses();
    if (addresses.empty()) {
        responder->respond(503, {}, "");
        return;
    }
    constexpr std::size_t most_addresses = 64; // callers read no more
    if (addresses.size() > most_addresses) {
        std::rotate(addresses.begin(),
                    addresses.begin() +
                        static_cast<std::ptrdiff_t>(m_incarnation % addresses.size()),
                    addresses.end());
        addresses.resize(most_addresses);
    }
    responder->respond(200, {{"Content-Type", "application/json"}},
                       platform::encode_addresses(addresses, m_settings.endpoints_ttl_s));
}

std::string gateway_process::leader_address() const
{
    std::string leader;
    std::uint64_t term = 0;
    for (const auto& [address, state] : m_coordinators) {
        if (state.up && state.leader_term > term) {
            term = state.leader_term;
            leader = address;
        }
    }
    return leader;
}

void gateway_process::report_soon()
{
    report_at(std::max(m_clock.now(), m_reported + report_pause));
}

// Loads are told the less often, the more gateways tell them to one leader.
void gateway_process::report_later()
{
    const auto pause =
        std::max<core::duration>(report_pause, report_pause_a_gateway * gateway_count());
    report_at(std::max(m_clock.now(), m_reported + pause));
}

std::size_t gateway_process::gateway_count() const
{
    std::size_t most = 1;
    for (const auto& [address, state] : m_coordinators) {
        most = std::max(most, state.gateways.size());
    }
    return most;
}

void gateway_process::report_at(core::time_point due)
{
    if (m_report_due && *m_report_due <= due) {
        return;
    }
    m_report_due = due;
    m_report_timer.expires_after(due - m_clock.now());
    m_report_timer.async_wait([this](boost::system::error_code failed) {
        if (!failed) {
            m_report_due.reset();
            report();
        }
    });
}

// Tells the leader which adapters requests wait for, and which are in use.
void gateway_process::report()
{
    const auto now = m_clock.now();
    m_reported = now;
    wire::gateway_report_t word;
    word.vm = m_settings.vm;
    word.incarnation = m_incarnation;
    std::map<gateway::adapter_name, wire::adapter_wish_t> wishes;
    for (const auto id : m_parked) {
        const auto& item = *m_exchanges.at(id);
        if (item.adapter.first.empty()) {
            continue; // waits for any upstream
        }
        auto& wish = wishes[item.adapter];
        const auto left =
            static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_ms(time_left(item)), 0));
        wish.left_ms = wish.waiting == 0 ? left : std::min(wish.left_ms, left);
        ++wish.waiting;
        wish.prompt_tokens += item.facts.prompt_tokens;
    }
    std::erase_if(m_crowded, [&](const auto& item) { return now - item.second > crowded_life; });
    for (const auto& [name, since] : m_crowded) {
        auto& wish = wishes[name];
        wish.waiting = std::max(wish.waiting, 1U);
        wish.left_ms = std::max<std::uint32_t>(wish.left_ms, 1000);
        wish.crowded = true;
    }
    for (const auto& name : m_told_wishes) {
        wishes[name]; // waits for none any more unless it is named above
    }
    m_told_wishes.clear();
    for (auto& [name, wish] : wishes) {
        wish.model = name.first;
        wish.adapter = name.second;
        if (wish.waiting > 0) {
            m_told_wishes.insert(name);
        }
        wire::append(word.wishes, wish);
    }
    for (auto& use : m_pool.adapter_uses()) {
        wire::append(word.uses, std::move(use));
    }
    for (auto& share : m_pool.take_token_shares()) {
        wire::append(word.shares, std::move(share));
    }
    const auto leader = leader_address();
    if (!leader.empty()) {
        m_mesh->send(leader, wire::make_envelope(std::move(word)));
    }
    if (!m_told_wishes.empty()) {
        report_at(now + report_repeat);
    }
}

} // namespace siskindrift::apps
