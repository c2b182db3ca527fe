// Streams that go on after their first event: each does so at one software version only.
#include <algorithm>

#include "gateway_process.h"
#include "siskindrift/observe/log.h"
#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::apps {
namespace {

// Several round trips; a process that doesn't answer in that time may be cut off.
constexpr core::milliseconds origin_answer_timeout{100};
// After a restart of everything, coordinators have elected a leader by then.
constexpr core::milliseconds origin_wait{2000};
constexpr core::milliseconds origin_retry_interval{150}; // the time until a connection is reopened
constexpr double origin_wait_share = 0.4; // of the caller's time; the rest is for the stream
constexpr core::milliseconds unknown_origin_retry_after{100}; // another gateway may know it
// A caller may take up a stream as late as its attempt could end, and then once more as long.
constexpr int stream_span_timeouts = 2;
constexpr core::milliseconds origin_margin{2000}; // for the caller's pause between two attempts
constexpr std::size_t max_registrars = 3;
constexpr std::size_t max_request_id_bytes = 256;

} // namespace

// Returns whether the caller has events of the stream from an earlier request.
bool gateway_process::takes_up_stream(const exchange& item)
{
    return item.route.kind == gateway::route_kind::streaming &&
           (!item.metadata.resumed_request.empty() || !item.metadata.last_event_id.empty());
}

bool gateway_process::coordinator_connected() const
{
    return std::any_of(m_coordinators.begin(), m_coordinators.end(),
                       [](const auto& item) { return item.second.connected; });
}

// Returns how long a stream of a service lasts at most, over all attempts of its caller.
core::duration gateway_process::stream_span(const std::string& service) const
{
    core::duration longest{};
    for (const auto& route : m_deployment ? m_deployment->routes : std::vector<gateway::route>{}) {
        const bool used = std::any_of(route.services.begin(), route.services.end(),
                                      [&](const auto& part) { return part.service == service; });
        if (used && route.kind == gateway::route_kind::streaming) {
            longest = std::max(longest, route.timeout);
        }
    }
    return longest * stream_span_timeouts + origin_margin;
}

// Finds out at which software version a stream has to go on, and sends it there.
void gateway_process::find_stream_origin(exchange& item)
{
    const auto& request = item.metadata.resumed_request;
    const auto now = m_clock.now();
    if (const auto* origin = m_origins.find(request, now)) {
        apply_origin(item, {gateway::origin_source::own, origin->software_version});
        return;
    }
    const bool too_long = request.size() > max_request_id_bytes;
    const auto coordinators = too_long ? std::vector<std::string>{} : connected_coordinators();
    const auto registrars = too_long ? std::vector<std::string>{} : used_registrars(item.service);
    const auto id = std::exchange(m_next_origin_query, m_next_origin_query + 2);
    item.origin_query = id;
    const auto asked = coordinators.size() + registrars.size();
    m_origin_lookups.emplace(id, gateway::origin_lookup{item.id, asked, coordinator_count()});
    if (asked == 0) {
        finish_origin_lookup(item);
        return;
    }
    wire::stream_origin_query_t query;
    query.id = id;
    query.request = request;
    query.service = item.service;
    query.span_ms = static_cast<std::uint32_t>(core::to_ms(stream_span(item.service)));
    for (const auto& address : coordinators) {
        m_mesh->send(address, wire::make_envelope(query));
    }
    query.id = id + 1;
    for (const auto& address : registrars) {
        m_mesh->send(address, wire::make_envelope(query));
    }
    arm_timer(item, std::min<core::duration>(origin_answer_timeout, time_left(item)));
}

void gateway_process::apply_origin_answer(const wire::stream_origin_answer_t& answer)
{
    const bool from_coordinator = answer.id % 2 == 0;
    const auto lookup = m_origin_lookups.find(from_coordinator ? answer.id : answer.id - 1);
    if (lookup != m_origin_lookups.end() && lookup->second.add_answer(answer, from_coordinator)) {
        finish_origin_lookup(*m_exchanges.at(lookup->second.exchange()));
    }
}

void gateway_process::finish_origin_lookup(exchange& item)
{
    const auto lookup = m_origin_lookups.find(std::exchange(item.origin_query, 0));
    const auto versions =
        m_software.versions(item.service, stream_span(item.service), m_clock.now());
    const auto decision = lookup->second.decide(versions);
    m_origin_lookups.erase(lookup);
    const auto share = std::chrono::duration_cast<core::duration>(
        (item.deadline - item.arrived_at) * origin_wait_share);
    const bool in_time =
        m_clock.now() - item.arrived_at < std::min<core::duration>(origin_wait, share);
    if (decision.may_become_known && in_time) {
        m_unsure_origins.insert(item.id);
        arm_timer(item, std::min<core::duration>(origin_retry_interval, time_left(item)));
        return;
    }
    apply_origin(item, decision);
}

void gateway_process::apply_origin(exchange& item, const gateway::origin_decision& decision)
{
    const bool known = decision.source != gateway::origin_source::unknown;
    observe::info(known ? "stream_taken_up" : "stream_not_taken_up",
                  {{"request", item.metadata.request_id},
                   {"resumes", item.metadata.resumed_request},
                   {"last_event", item.metadata.last_event_id},
                   {"software", decision.software_version},
                   {"known_from", gateway::to_string(decision.source)}});
    if (!known) {
        respond_with_error(item, 503, core::reason::stream_origin_unknown,
                           unknown_origin_retry_after);
        return;
    }
    item.pin = gateway::software_pin{decision.software_version, {}, 0};
    dispatch(item);
}

// From the first event on that the caller has, the stream needs the version that made it.
void gateway_process::pin_begun_stream(exchange& item)
{
    if (!item.pin && item.events.events() > 0) {
        item.pin =
            gateway::software_pin{item.software_version, item.upstream_id, item.upstream_born_ms};
    }
}

// Records the version of a stream when its request is sent, which is well before its first event.
void gateway_process::record_stream_origin(const exchange& item)
{
    const bool resumable =
        item.route.kind == gateway::route_kind::streaming && item.route.resumable;
    const auto& resumed = item.metadata.resumed_request;
    wire::stream_origin_t origin;
    origin.request = resumed.empty() ? item.metadata.request_id : resumed;
    if (!resumable || origin.request.empty() || origin.request.size() > max_request_id_bytes) {
        return;
    }
    origin.service = item.service;
    origin.software_version = item.software_version;
    origin.attempt = item.sends;
    const auto lifetime =
        std::max(item.metadata.deadline.value_or(item.route.timeout), item.route.timeout) +
        origin_margin;
    origin.lifetime_ms = static_cast<std::uint32_t>(core::to_ms(lifetime));
    keep_stream_origin(origin, true);
    const auto versions =
        m_software.versions(item.service, stream_span(item.service), m_clock.now());
    if (versions.count != wire::version_count::one) {
        tell_stream_origins({origin});
    }
}

void gateway_process::keep_stream_origin(const wire::stream_origin_t& origin, bool own)
{
    if (m_origins.record(origin, own, m_clock.now())) {
        m_metrics.count("siskindrift_stream_origins_dropped_total");
        observe::routine("stream_origin_dropped", {{"kept", m_origins.size()}});
    }
}

// Tells the processes that other gateways ask.
void gateway_process::tell_stream_origins(const std::vector<wire::stream_origin_t>& origins)
{
    if (origins.empty()) {
        return;
    }
    wire::stream_origins_t message;
    for (const auto& origin : origins) {
        wire::append(message.origins, origin);
    }
    const auto envelope = wire::make_envelope(std::move(message));
    for (const auto& address : origin_holders(origins.front().service)) {
        m_mesh->send(address, envelope);
    }
}

// Tells a process that may have missed them of all streams that began here, except in services of
// which all gateways know that they have one version.
void gateway_process::tell_all_stream_origins(const std::string& address)
{
    wire::stream_origins_t message;
    const auto now = m_clock.now();
    for (const auto& [name, service] :
         m_deployment ? m_deployment->services : decltype(m_deployment->services){}) {
        if (m_software.versions(name, stream_span(name), now).count == wire::version_count::one) {
            continue;
        }
        for (auto& origin : m_origins.own_origins(name, now)) {
            wire::append(message.origins, std::move(origin));
        }
    }
    if (!message.origins.empty()) {
        m_mesh->send(address, wire::make_envelope(std::move(message)));
    }
}

void gateway_process::record_software(const std::string& upstream)
{
    const auto* entry = m_roster.find(upstream);
    if (entry == nullptr) {
        return;
    }
    const auto& info = entry->info;
    if (m_software.record(info.service, info.software_version, entry->last_heard)) {
        observe::info("software_version_seen", {{"service", info.service},
                                                {"software", info.software_version},
                                                {"upstream", info.id}});
        // The streams that run when a further version comes were not told to anybody.
        update_registrars();
        tell_stream_origins(m_origins.own_origins(info.service, m_clock.now()));
    }
}

// Connects to the registrars while a service has several versions.
void gateway_process::update_registrars()
{
    const auto now = m_clock.now();
    bool needed = false;
    if (m_deployment) {
        needed = std::any_of(
            m_deployment->services.begin(), m_deployment->services.end(), [&](const auto& service) {
                return m_software.has_several(service.first, stream_span(service.first), now);
            });
    }
    const auto chosen = needed ? choose_registrars() : std::vector<std::string>{};
    const std::set<std::string> wanted{chosen.begin(), chosen.end()};
    if (wanted == m_registrars) {
        return;
    }
    const auto before = std::exchange(m_registrars, wanted);
    for (const auto& address : before) {
        if (!wanted.contains(address)) {
            m_mesh->disconnect(address);
        }
    }
    for (const auto& address : wanted) {
        if (!before.contains(address)) {
            m_mesh->keep_connected(address);
        }
    }
}

// Returns the processes that are told of the streams of a service, and asked for them.
std::vector<std::string> gateway_process::origin_holders(const std::string& service) const
{
    auto holders = connected_coordinators();
    const auto registrars = used_registrars(service);
    holders.insert(holders.end(), registrars.begin(), registrars.end());
    return holders;
}

std::vector<std::string> gateway_process::connected_coordinators() const
{
    std::vector<std::string> connected;
    for (const auto& [address, state] : m_coordinators) {
        if (state.connected) {
            connected.push_back(address);
        }
    }
    return connected;
}

// Returns the number of coordinators of the deployment, connected or not.
std::size_t gateway_process::coordinator_count() const
{
    return m_control_members > 0 ? m_control_members : m_coordinators.size();
}

std::vector<std::string> gateway_process::used_registrars(const std::string& service) const
{
    const auto versions = m_software.versions(service, stream_span(service), m_clock.now());
    return versions.count == wire::version_count::one ? std::vector<std::string>{}
                                                      : choose_registrars();
}

// Chooses gateways that all others choose too: one in each of several failure domains.
std::vector<std::string> gateway_process::choose_registrars() const
{
    std::map<std::uint64_t, const wire::gateway_info_t*> ranked;
    for (const auto& info : m_last_known_gateways) {
        if (!info.inner_address.empty() && info.accepting) {
            ranked[~routing::rendezvous_weight("stream origins", info.vm)] = &info;
        }
    }
    std::vector<std::string> chosen;
    std::set<std::string> domains;
    const auto take = [&](bool other_domain) {
        for (const auto& [weight, info] : ranked) {
            const auto& address = info->inner_address;
            const bool known = std::find(chosen.begin(), chosen.end(), address) != chosen.end();
            if (!known && chosen.size() < max_registrars &&
                (!other_domain || domains.insert(info->failure_domain).second)) {
                chosen.push_back(address);
            }
        }
    };
    take(true);
    take(false);
    std::erase(chosen, m_settings.inner_address);
    return chosen;
}

} // namespace siskindrift::apps
