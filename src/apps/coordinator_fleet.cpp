#include <algorithm>
#include <cmath>
#include <limits>

#include "coordinator_process.h"
#include "platform/deployment_codec.h"
#include "platform/upstream_codec.h"
#include "siskindrift/fleet/entry_check.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds version_history_time{10'000}; // longer than outdated ones are used
// Below the second after which an upstream calls another coordinator.
constexpr core::milliseconds departure_timeout{700};
constexpr core::milliseconds flush_interval{400}; // a third of the announcement interval
// Clock drift over one election timeout, and the time to send an order.
constexpr core::milliseconds lease_margin{40};
constexpr core::milliseconds engine_connect_timeout{300};   // several round trips
constexpr core::milliseconds engine_response_timeout{1000}; // engines respond immediately
constexpr std::uint16_t ok_status = 200;
constexpr std::uint16_t other_upstream_status = 421; // another run uses the address
constexpr core::milliseconds usability_check_interval{500};
constexpr core::milliseconds summary_interval{1000};
constexpr std::uint64_t min_logged_bytes = 100'000;
constexpr std::chrono::microseconds copy_update_interval_per_gateway{300}; // 27 ms at 91 gateways
constexpr std::chrono::microseconds plan_interval_per_gateway{100};
constexpr core::milliseconds load_update_interval_per_gateway{4};
constexpr core::milliseconds gateway_list_interval_per_gateway{10};
// A quarter of the time that an engine takes to process one prompt.
constexpr core::milliseconds min_load_update_interval{60};

void refuse_departure(const std::shared_ptr<http::responder>& responder,
                      const std::string& upstream, std::string_view text)
{
    constexpr std::uint16_t service_unavailable = 503;
    observe::warn("departure_refused", {{"upstream", upstream.substr(0, 64)}, {"reason", text}});
    responder->respond(service_unavailable, {{"Content-Type", "application/json"}},
                       platform::encode_error(text));
}

template <class Items>
void append_all(std::vector<std::unique_ptr<wire::fleet_upstream_t>>& to, Items items)
{
    for (auto& item : items) {
        wire::append(to, std::move(item));
    }
}

} // namespace

std::vector<std::string> coordinator_process::peer_addresses() const
{
    std::set<std::string> addresses{m_settings.seeds.begin(), m_settings.seeds.end()};
    for (const auto& info : m_core->raft().members()) {
        addresses.insert(info.address);
    }
    if (m_core->raft().cluster() == 0 && !m_cluster_leader.empty()) {
        addresses.insert(m_cluster_leader);
    }
    addresses.erase(m_settings.inner_address);
    return {addresses.begin(), addresses.end()};
}

void coordinator_process::handle_announcement(const platform::incoming_call& call,
                                              const http::server_request& request,
                                              const std::shared_ptr<http::responder>& responder)
{
    auto announcement = platform::decode_announcement(call.upstream_id, request.body);
    if (!announcement) {
        observe::warn("announcement_refused", {{"upstream", call.upstream_id.substr(0, 64)},
                                               {"bytes", request.body.size()}});
        responder->respond(400, {{"Content-Type", "application/json"}},
                           platform::encode_error("not an announcement"));
        return;
    }
    const auto id = announcement->id;
    const auto born_ms = announcement->born_ms;
    const bool leaves = announcement->state == wire::fleet_state::draining &&
                        find_departure(id, born_ms) == nullptr;
    if (!respect_departure(*announcement)) {
        responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
        return;
    }
    const auto change = m_roster.update(std::move(*announcement), m_clock.now());
    if (change != fleet::roster_change::stale) {
        m_local_upstreams.insert(id);
    }
    update_placer(id);
    record_software(id);
    if (change == fleet::roster_change::changed) {
        m_flush_requested = true;
        flush_updates();
    }
    if (leaves) {
        confirm_departure(id, born_ms, false, responder);
        return;
    }
    responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
}

const state::departure* coordinator_process::find_departure(const std::string& id,
                                                            std::uint64_t born_ms) const
{
    return m_core->state().find_departure(id, born_ms, m_clock.wall_ms());
}

// A late announcement of a run that has left must not bring it back. Returns false if it says
// nothing of a later run.
bool coordinator_process::respect_departure(wire::fleet_upstream_t& announcement) const
{
    const auto* left = find_departure(announcement.id, announcement.born_ms);
    if (left == nullptr) {
        return true;
    }
    if (left->gone || announcement.born_ms < left->born_ms) {
        observe::routine("announcement_after_departure", {{"upstream", announcement.id}});
        return false;
    }
    if (announcement.state == wire::fleet_state::ready) {
        announcement.state = wire::fleet_state::draining;
    }
    return true;
}

// Acknowledges a departure once it is in the replicated log: what is only in memory is forgotten
// when all processes are killed, and a late announcement would count as one of a new upstream.
void coordinator_process::confirm_departure(const std::string& id, std::uint64_t born_ms, bool gone,
                                            const std::shared_ptr<http::responder>& responder)
{
    wire::record_departure_t departure;
    departure.upstream = id;
    departure.born_ms = born_ms;
    departure.gone = gone;
    auto request = wire::make_control_request(departure);
    const auto client = m_next_client++;
    const auto& raft = m_core->raft();
    if (m_storage->disk_full()) {
        refuse_departure(responder, id, "the disk of this replica is full");
        return;
    }
    if (raft.is_leader() && !m_stopping) {
        if (too_few_voters()) {
            refuse_departure(responder, id, "too few replicas have joined");
            return;
        }
        m_pending_responders[client] = responder;
        m_core->on_request(client, request);
        schedule_cycle();
        return;
    }
    const auto leader = raft.leader_address();
    if (leader.empty() || leader == m_settings.inner_address) {
        refuse_departure(responder, id, "no leader is known");
        return;
    }
    request.id = client;
    m_forwarded_departures[client] = {id, responder, m_clock.now() + departure_timeout};
    m_mesh->send(leader, wire::make_envelope(std::move(request)));
}

void coordinator_process::handle_forwarded_departure(net::connection_id from,
                                                     const wire::control_request_t& request)
{
    if (request.body.Asrecord_departure() == nullptr) {
        observe::warn("request_refused", {{"reason", "a peer may only record departures"}});
        return;
    }
    if (m_storage->disk_full() || m_stopping || too_few_voters()) {
        wire::control_reply_t refusal;
        refusal.id = request.id;
        refusal.outcome = wire::control_outcome::unavailable;
        m_mesh->reply(from, wire::make_envelope(std::move(refusal)));
        return;
    }
    const auto client = m_next_client++;
    m_pending_peers[client] = from;
    m_core->on_request(client, request);
}

void coordinator_process::handle_departure_reply(const wire::control_reply_t& reply)
{
    const auto pending = m_forwarded_departures.extract(reply.id);
    if (pending.empty()) {
        return;
    }
    const auto& [upstream, responder, due] = pending.mapped();
    if (reply.outcome != wire::control_outcome::ok) {
        refuse_departure(responder, upstream, "the leader didn't record the departure");
        return;
    }
    responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
}

void coordinator_process::refuse_overdue_departures()
{
    const auto now = m_clock.now();
    std::erase_if(m_forwarded_departures, [&](const auto& item) {
        if (now < item.second.due) {
            return false;
        }
        refuse_departure(item.second.responder, item.second.upstream, "the leader doesn't answer");
        return true;
    });
}

// Marks what has left before this process started, or at another replica.
void coordinator_process::apply_departures()
{
    if (std::exchange(m_departures_applied, m_core->applied()) == m_core->applied()) {
        return;
    }
    for (const auto& [id, left] : m_core->state().departures()) {
        const auto* item = m_roster.find(id);
        if (item == nullptr || find_departure(id, item->info.born_ms) == nullptr) {
            continue;
        }
        const bool gone = left.gone || item->info.born_ms < left.born_ms;
        const bool changed = gone ? m_roster.mark_gone(id, m_clock.now())
                                  : m_roster.mark_draining(id, item->info.born_ms, {});
        if (changed) {
            observe::info("departure_applied", {{"upstream", id}, {"gone", gone}});
            m_local_upstreams.insert(id);
            m_flush_requested = true;
            update_placer(id);
        }
    }
}

void coordinator_process::update_placer(const std::string& id)
{
    if (const auto* item = m_roster.find(id)) {
        m_placer.on_announcement(item->info, m_roster.usable(*item, m_clock.now()));
    }
}

void coordinator_process::handle_withdrawal(const platform::incoming_call& call,
                                            const std::shared_ptr<http::responder>& responder)
{
    const auto* item = m_roster.find(call.upstream_id);
    const auto* left = find_departure(call.upstream_id, 0);
    if (item == nullptr && left == nullptr) {
        // Its run isn't known, so that a late announcement couldn't be told from one of a new run.
        refuse_departure(responder, call.upstream_id,
                         "no announcement of the upstream is known here");
        return;
    }
    const auto born_ms =
        std::max(item != nullptr ? item->info.born_ms : 0, left != nullptr ? left->born_ms : 0);
    if (m_roster.mark_gone(call.upstream_id, m_clock.now())) {
        m_local_upstreams.insert(call.upstream_id);
        m_flush_requested = true;
        flush_updates();
    }
    if (left != nullptr && left->born_ms == born_ms && left->gone) {
        responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
        return;
    }
    confirm_departure(call.upstream_id, born_ms, true, responder);
}

void coordinator_process::apply_peer_update(const wire::fleet_update_t& update)
{
    const auto now = m_clock.now();
    for (const auto& announcement : update.upstreams) {
        if (const auto error = fleet::entry_error(*announcement)) {
            observe::warn("upstream_refused", {{"upstream", announcement->id.substr(0, 64)},
                                               {"from", update.vm},
                                               {"reason", *error}});
            continue;
        }
        if (announcement->state != wire::fleet_state::gone && !respect_departure(*announcement)) {
            continue;
        }
        const auto age = core::milliseconds{announcement->age_ms};
        m_roster.update(*announcement, now, age);
        update_placer(announcement->id);
        record_software(announcement->id);
    }
    for (const auto& id : update.heard) {
        m_roster.refresh(id, now);
        record_software(id);
    }
}

void coordinator_process::record_software(const std::string& id)
{
    if (const auto* item = m_roster.find(id)) {
        m_software.record(item->info.service, item->info.software_version, item->last_heard);
    }
}

void coordinator_process::record_stream_origins(const wire::stream_origins_t& told)
{
    for (const auto& origin : told.origins) {
        if (m_origins.record(*origin, false, m_clock.now())) {
            m_metrics.count("siskindrift_stream_origins_dropped_total");
            observe::routine("stream_origin_dropped", {{"kept", m_origins.size()}});
        }
    }
}

void coordinator_process::answer_origin_query(net::connection_id from,
                                              const wire::stream_origin_query_t& query)
{
    auto answer = fleet::make_origin_answer(query, m_origins, m_software, m_clock.now());
    if (holds_lease()) {
        control::complete_origin_answer(answer, query.service, m_core->state().software_versions());
    }
    answer.leads = holds_lease();
    if (answer.count == wire::version_count::one && !is_current()) {
        answer.count = wire::version_count::unsure;
        answer.only_version.clear();
    }
    m_mesh->reply(from, wire::make_envelope(std::move(answer)));
}

// Proposes the software versions that were announced for the replicated state.
void coordinator_process::update_software_versions()
{
    if (!holds_lease()) {
        return;
    }
    const auto change = m_software_versions.next_change(m_core->state().software_versions(),
                                                        m_software, m_clock.now());
    if (change) {
        observe::info("software_versions_change",
                      {{"add", change->add.size()}, {"remove", change->remove.size()}});
        m_core->on_request(0, wire::make_control_request(*change));
        schedule_cycle();
    }
}

void coordinator_process::apply_document()
{
    const auto& document = m_core->state().current_document();
    if (document.version != m_document_version) {
        m_document_version = document.version;
        m_flush_requested = true;
        core::error_message error;
        if (const auto decoded = platform::decode_deployment(document.content, error)) {
            m_placer.set_deployment(*decoded);
        }
        else {
            observe::error("document_unreadable", {{"reason", error.text()}});
        }
        observe::info("document_in_force", {{"version", document.version}});
    }
    apply_versions();
}

void coordinator_process::apply_versions()
{
    // What was committed while this replica led is acknowledged now. Another replica, or the
    // predecessor, may have acknowledged anything else at any time before.
    const auto now = m_clock.now();
    const bool acknowledged_here = m_placement_term != 0 && m_placement_term == m_versions_term;
    m_versions_term = m_placement_term;
    for (const auto& [name, version] : m_core->state().adapter_versions()) {
        auto& history = m_versions[name];
        if (history.current() == version) {
            continue;
        }
        if (!acknowledged_here) {
            history = {};
        }
        history.record(version, acknowledged_here ? std::optional{now} : std::nullopt);
        history.forget_before(now - version_history_time);
        observe::info("version_in_force", {{"model", name.first},
                                           {"adapter", name.second},
                                           {"version", version},
                                           {"acknowledged_here", acknowledged_here}});
        m_placer.set_version(name, version);
        m_flush_requested = true;
    }
}

// Earlier versions are told with the current one: a gateway may have missed them.
void coordinator_process::append_versions(const state::adapter_name& name,
                                          wire::fleet_update_t& update) const
{
    const auto& history = m_versions.at(name);
    for (const auto& [version, named_at] : history.versions()) {
        wire::named_version_t item;
        item.model = name.first;
        item.adapter = name.second;
        item.version = version;
        if (named_at) {
            constexpr std::int64_t largest = std::numeric_limits<std::uint32_t>::max() - 1;
            const auto age = core::to_ms(m_clock.now() - *named_at);
            item.age_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(age, largest));
        }
        wire::append(update.versions, std::move(item));
    }
    wire::adapter_copy_t current; // for gateways of earlier builds
    current.model = name.first;
    current.adapter = name.second;
    current.version = history.current();
    wire::append(update.named, std::move(current));
}

void coordinator_process::handle_attach(net::connection_id from,
                                        const wire::gateway_attach_t& message)
{
    if (!message.info) {
        return;
    }
    // The previous connection of a gateway that reconnected may still be open here.
    std::erase_if(m_gateways, [&](const auto& item) {
        return item.first != from && item.second.attach_message.info->vm == message.info->vm;
    });
    const bool already_attached = m_gateways.contains(from);
    // Callers must soon be kept from a gateway that stops. Others hear of a newcomer with the next
    // list: at a restart all of them come at once, and each list names all.
    const bool urgent = already_attached || !message.info->accepting;
    m_gateways[from].attach_message = message;
    update_judged_gateways();
    m_gateways_changed = true;
    m_gateways_urgent = m_gateways_urgent || urgent;
    m_flush_requested = m_flush_requested || urgent;
    if (already_attached) {
        return;
    }
    observe::info("gateway_attached", {{"gateway", message.info->vm}});
    m_mesh->reply(from, wire::make_envelope(make_full_update()));
    if (m_placement_term != 0) {
        m_mesh->reply(from, wire::make_envelope(make_full_engine_update()));
    }
}

wire::engine_update_t coordinator_process::make_full_engine_update() const
{
    wire::engine_update_t engines;
    engines.full = true;
    engines.term = m_placement_term;
    engines.store = m_placer.known_store();
    for (auto& view : m_placer.all_views()) {
        wire::append(engines.engines, std::move(view));
    }
    return engines;
}

void coordinator_process::send_document(net::connection_id connection)
{
    const auto& document = m_core->state().current_document();
    wire::document_page_t page;
    page.version = document.version;
    page.content = document.content;
    m_mesh->reply(connection, wire::make_envelope(std::move(page)));
}

void coordinator_process::fill_common_fields(wire::fleet_update_t& update) const
{
    update.vm = m_settings.vm;
    update.address = m_settings.inner_address;
    update.sent_ms = static_cast<std::uint64_t>(core::to_ms(m_clock.now().time_since_epoch()));
    update.leader_term = m_placement_term;
    update.document_version = m_document_version;
    const auto now = m_clock.now();
    const auto history = now - std::min(m_software.complete_since().value_or(now), now);
    update.history_ms = static_cast<std::uint64_t>(core::to_ms(history));
    for (const auto& info : m_core->raft().members()) {
        update.control.push_back(info.address);
    }
}

wire::fleet_update_t coordinator_process::make_full_update() const
{
    wire::fleet_update_t update;
    fill_common_fields(update);
    update.full = true;
    update.gateways_included = true;
    for (const auto& [connection, gateway] : m_gateways) {
        wire::append(update.gateways, *gateway.attach_message.info);
    }
    append_blocked_parts(update);
    append_upstream_limits(update);
    append_divided(update);
    append_all(update.upstreams, m_roster.snapshot(m_clock.now()));
    for (const auto& [name, history] : m_versions) {
        append_versions(name, update);
    }
    return update;
}

// Sends changes to gateways and peers: at once if requested, otherwise every `flush_interval`.
void coordinator_process::flush_updates()
{
    const auto now = m_clock.now();
    if (!m_flush_requested && now < m_flush_due) {
        return;
    }
    m_flush_requested = false;
    m_flush_due = now + flush_interval;
    wire::fleet_update_t update;
    fill_common_fields(update);
    auto changed = m_roster.take_changed(now);
    const auto heard = m_roster.take_refreshed();
    const auto local = std::exchange(m_local_upstreams, {});
    // Only changes that were received here are sent, not those received from peers: each peer sends
    // its own to the gateways.
    std::erase_if(changed, [&](const auto& upstream) { return !local.contains(upstream.id); });
    for (const auto& id : heard) {
        if (local.contains(id)) {
            update.heard.push_back(id);
        }
    }
    append_all(update.upstreams, std::move(changed));
    send_to_peers(update, local);
    if (m_gateways_changed && (m_gateways_urgent || now >= m_gateways_due)) {
        m_gateways_changed = false;
        m_gateways_urgent = false;
        m_gateways_due = now + gateway_list_interval_per_gateway * m_gateways.size();
        update.gateways_included = true;
        for (const auto& [connection, gateway] : m_gateways) {
            wire::append(update.gateways, *gateway.attach_message.info);
        }
    }
    for (const auto& [name, history] : m_versions) {
        const auto current = history.current();
        if (std::exchange(m_published_versions[name], current) != current) {
            append_versions(name, update);
        }
    }
    if (m_published_blocks != m_core->state().current_blocked_parts().generation) {
        m_published_blocks = m_core->state().current_blocked_parts().generation;
        append_blocked_parts(update);
    }
    if (m_published_limits != m_core->state().current_upstream_limits().generation) {
        m_published_limits = m_core->state().current_upstream_limits().generation;
        append_upstream_limits(update);
    }
    if (std::exchange(m_divided_changed, false)) {
        append_divided(update);
    }
    m_mesh->reply_all(gateway_connections(), wire::make_envelope(std::move(update)));
}

// Tells the other coordinators what was announced here. What engines hold is told to them only: the
// gateways learn it from the leader, with each change.
// Sends all known upstreams to a peer.
void coordinator_process::send_upstreams(const std::string& peer)
{
    wire::fleet_update_t update;
    fill_common_fields(update);
    append_all(update.upstreams, m_roster.snapshot(m_clock.now()));
    m_mesh->send(peer, wire::make_envelope(std::move(update)));
}

void coordinator_process::send_to_peers(wire::fleet_update_t update,
                                        const std::set<std::string>& local)
{
    auto changed = m_roster.take_changed_copies(m_clock.now());
    std::erase_if(changed, [&](const auto& upstream) { return !local.contains(upstream.id); });
    append_all(update.upstreams, std::move(changed));
    if (update.upstreams.empty() && update.heard.empty()) {
        return;
    }
    for (const auto& peer : peer_addresses()) {
        m_mesh->send(peer, wire::make_envelope(update));
    }
}

std::vector<net::connection_id> coordinator_process::gateway_connections() const
{
    std::vector<net::connection_id> connections;
    for (const auto& [connection, gateway] : m_gateways) {
        connections.push_back(connection);
    }
    return connections;
}

// Sends changes of what engines hold and of their load to the gateways. The intervals grow with the
// number of gateways.
void coordinator_process::publish_engine_changes()
{
    const auto now = m_clock.now();
    wire::engine_update_t update;
    update.term = m_placement_term;
    if (now >= m_copy_update_due) {
        m_copy_update_due = now + copy_update_interval_per_gateway * m_gateways.size();
        for (auto& view : m_placer.take_changed_views()) {
            wire::append(update.engines, std::move(view));
        }
    }
    if (now >= m_load_update_due) {
        m_load_update_due =
            now + std::max<core::duration>(min_load_update_interval,
                                           load_update_interval_per_gateway * m_gateways.size());
        update.store = m_placer.known_store();
        for (auto& view : m_placer.take_load_views()) {
            wire::append(update.engines, std::move(view));
        }
    }
    if (m_placement_term != 0 && (!update.engines.empty() || m_pacer.has_lagging_readers())) {
        send_engine_changes(update);
    }
}

// Sends changes to the gateways that have all earlier ones, and everything to those that caught up.
// Gateways of earlier builds read no differences.
void coordinator_process::send_engine_changes(const wire::engine_update_t& changes)
{
    std::vector<net::connection_id> up_to_date;
    std::vector<net::connection_id> without_deltas;
    for (const auto& [connection, gateway] : m_gateways) {
        switch (m_pacer.next(connection, m_mesh->queued_bytes(connection))) {
        case fleet::update_kind::delta:
            (gateway.attach_message.reads_deltas ? up_to_date : without_deltas)
                .push_back(connection);
            break;
        case fleet::update_kind::full:
            m_mesh->reply(connection, wire::make_envelope(make_full_engine_update()));
            break;
        case fleet::update_kind::skip:
            m_metrics.count("siskindrift_updates_left_out_total");
            break;
        }
    }
    if (changes.engines.empty()) {
        return;
    }
    m_mesh->reply_all(up_to_date, wire::make_envelope(changes));
    if (!without_deltas.empty()) {
        wire::engine_update_t whole;
        whole.term = changes.term;
        if (changes.store) {
            whole.store = std::make_unique<wire::store_capacity_t>(*changes.store);
        }
        for (auto& view : m_placer.whole_views(changes)) {
            wire::append(whole.engines, std::move(view));
        }
        m_mesh->reply_all(without_deltas, wire::make_envelope(whole));
    }
}

bool coordinator_process::holds_lease() const
{
    return m_placement_term != 0 && m_clock.now() < m_core->raft().lease_end(lease_margin);
}

// Returns whether this replica is in step with most others: it leads them or hears their leader,
// and didn't stand still a moment ago.
bool coordinator_process::is_current()
{
    const auto now = m_clock.now();
    m_pauses.observe(now);
    const auto& raft = m_core->raft();
    return m_pauses.settled(now) && (raft.is_leader() ? holds_lease() : raft.leader() != 0);
}

// Only a leader that no other leader can have replaced knows the latest shares.
void coordinator_process::handle_retry_share_query(net::connection_id from,
                                                   const wire::retry_share_query_t& query)
{
    if (!holds_lease()) {
        return;
    }
    m_retry_shares.record_query(query, m_clock.now());
    auto answer =
        m_retry_shares.answer(m_core->state().current_retry_shares(), query.vm, query.sent_ms);
    if (answer) {
        m_mesh->reply(from, wire::make_envelope(std::move(*answer)));
    }
}

// Proposes the next change of the retry shares, and announces those that were applied.
void coordinator_process::update_retry_shares()
{
    if (!holds_lease()) {
        return;
    }
    const auto& shares = m_core->state().current_retry_shares();
    if (m_announced_shares != shares.generation) {
        m_announced_shares = shares.generation;
        observe::info("retry_shares",
                      {{"generation", shares.generation}, {"holders", shares.holders.size()}});
        for (const auto& [connection, gateway] : m_gateways) {
            if (auto share = m_retry_shares.answer(shares, gateway.attach_message.info->vm, 0)) {
                m_mesh->reply(connection, wire::make_envelope(std::move(*share)));
            }
        }
    }
    if (const auto change = m_retry_shares.next_change(shares, m_clock.now())) {
        observe::info(
            "retry_shares_change",
            {{"retire", change->retire}, {"admit", change->admit}, {"activate", change->activate}});
        m_core->on_request(0, wire::make_control_request(*change));
        schedule_cycle();
    }
}

void coordinator_process::handle_prompt_evidence(const wire::prompt_evidence_t& evidence)
{
    if (m_placement_term == 0) {
        return;
    }
    const auto& blocked = m_core->state().current_blocked_parts();
    for (const auto& crash : m_prompt_judge.record_evidence(evidence, blocked, m_clock.now())) {
        check_engine(crash);
    }
}

// Asks the gateways for their answers on parts that may be blocked.
void coordinator_process::publish_suspects()
{
    if (m_placement_term == 0) {
        return;
    }
    if (const auto suspects = m_prompt_judge.take_suspects(m_clock.now())) {
        m_mesh->reply_all(gateway_connections(), wire::make_envelope(*suspects));
    }
}

// A gateway that is attached to no coordinator can't be asked.
void coordinator_process::update_judged_gateways()
{
    std::set<std::string> vms;
    for (const auto& [connection, gateway] : m_gateways) {
        vms.insert(gateway.attach_message.info->vm);
    }
    m_prompt_judge.set_gateways(std::move(vms));
}

// Finds out whether an engine ended. One that doesn't answer at all may only be cut off or frozen.
void coordinator_process::check_engine(const control::suspected_crash& crash)
{
    const auto* item = m_roster.find(crash.upstream);
    if (item == nullptr) {
        return;
    }
    auto call = platform::make_report_call(item->info.address, crash.upstream, {});
    call.repeatable = false; // on a new connection: idle ones may have been closed
    call.max_idle_time = {};
    call.connect_timeout = engine_connect_timeout;
    call.head_timeout = engine_response_timeout;
    call.progress_timeout = engine_response_timeout;
    m_calls.start(std::move(call), [this, crash, begun = m_clock.now()](
                                       std::optional<http::buffered_response> response) {
        const bool refused = !response && m_clock.now() - begun < engine_connect_timeout;
        bool replaced = response && response->head.status == other_upstream_status;
        if (response && response->head.status == ok_status && crash.born_ms != 0) {
            const auto report = platform::decode_report(response->body);
            replaced = report && report->born_ms > crash.born_ms; // the same id, another run
        }
        const bool ended = refused || replaced;
        observe::info("upstream_checked", {{"upstream", crash.upstream},
                                           {"request", crash.request},
                                           {"status", response ? response->head.status : 0},
                                           {"ended", ended}});
        m_prompt_judge.record_check(crash, ended);
        schedule_cycle();
    });
}

// Proposes the next change of the blocked prompt parts, and publishes those that were applied.
void coordinator_process::update_blocked_parts()
{
    const auto& blocked = m_core->state().current_blocked_parts();
    if (m_published_blocks != blocked.generation) {
        m_flush_requested = true;
    }
    if (!holds_lease()) {
        return;
    }
    const auto change = m_prompt_judge.next_change(blocked, m_clock.now());
    if (!change) {
        return;
    }
    for (const auto& item : change->block) {
        observe::warn("part_blocked", {{"part", item->part},
                                       {"strikes", item->strikes},
                                       {"trial", item->trial_vm},
                                       {"crashes", m_prompt_judge.crashes_of(item->part)}});
    }
    for (const auto& part : change->release) {
        observe::warn("part_released", {{"part", part}});
    }
    m_core->on_request(0, wire::make_control_request(*change));
    schedule_cycle();
}

void coordinator_process::append_blocked_parts(wire::fleet_update_t& update) const
{
    const auto& blocked = m_core->state().current_blocked_parts();
    update.blocked_included = true;
    update.blocked_generation = blocked.generation;
    for (const auto& [part, block] : blocked.parts) {
        wire::blocked_part_t item;
        item.part = part;
        item.strikes = block.strikes;
        item.trial_vm = block.trial_vm;
        wire::append(update.blocked, std::move(item));
    }
}

// Only a leader that no other leader can have replaced gives out permits.
void coordinator_process::handle_permit_query(net::connection_id from,
                                              const wire::send_permit_query_t& query)
{
    if (!holds_lease()) {
        return;
    }
    const auto now = m_clock.now();
    const auto& limits = m_core->state().current_upstream_limits();
    for (const auto& observed : query.observed) {
        if (m_upstream_limits.record_observation(*observed, limits, now)) {
            observe::info("upstream_limit_observed", {{"upstream", observed->upstream},
                                                      {"gateway", query.vm},
                                                      {"ended", observed->ended},
                                                      {"per_s", observed->per_s}});
        }
    }
    if (query.wishes.empty() && query.places.empty()) {
        return;
    }
    wire::send_permit_grant_t grant;
    grant.asked_ms = query.sent_ms;
    for (const auto& wish : query.places) {
        if (const auto* entry = m_roster.find(wish->upstream)) {
            auto places = m_places.grant(query.vm, *wish, entry->info.slots, now);
            observe::routine("upstream_places", {{"upstream", places.upstream},
                                                 {"gateway", query.vm},
                                                 {"in_use", wish->in_use},
                                                 {"waiting", wish->waiting},
                                                 {"places", places.places}});
            wire::append(grant.places, std::move(places));
        }
    }
    if (m_places.take_changed()) {
        m_divided_changed = true;
        m_flush_requested = true;
    }
    for (const auto& wish : query.wishes) {
        const auto* entry = m_roster.find(wish->upstream);
        const auto heard = entry != nullptr ? entry->last_heard : core::time_point{};
        auto permit = m_upstream_limits.grant(*wish, limits, now, {query.vm, query.sent_ms, heard});
        observe::routine("send_permits",
                         {{"upstream", permit.upstream},
                          {"gateway", query.vm},
                          {"waiting", wish->waiting},
                          {"granted", permit.granted},
                          {"unanswered", m_upstream_limits.unanswered(wish->upstream)},
                          {"next_ms", permit.next_ms}});
        wire::append(grant.permits, std::move(permit));
    }
    m_mesh->reply(from, wire::make_envelope(std::move(grant)));
}

// Proposes the next change of the limits that upstreams name, and publishes those that were
// applied.
void coordinator_process::update_upstream_limits()
{
    const auto& limits = m_core->state().current_upstream_limits();
    if (m_published_limits != limits.generation) {
        m_flush_requested = true;
        std::set<std::string> limited;
        for (const auto& [upstream, limit] : limits.entries) {
            limited.insert(upstream);
        }
        m_placer.set_limited(std::move(limited));
    }
    if (!holds_lease()) {
        return;
    }
    const auto run_of = [&](const std::string& upstream) -> std::optional<std::uint64_t> {
        const auto* entry = m_roster.find(upstream);
        return entry != nullptr ? std::optional{entry->info.born_ms} : std::nullopt;
    };
    const auto change = m_upstream_limits.next_change(limits, run_of, m_clock.now());
    if (!change) {
        return;
    }
    observe::info("upstream_limits_change",
                  {{"set", change->set.size()}, {"remove", change->remove.size()}});
    m_core->on_request(0, wire::make_control_request(*change));
    schedule_cycle();
}

// Tells gateways whose places are divided before they send there.
void coordinator_process::append_divided(wire::fleet_update_t& update) const
{
    for (auto& item : m_places.divided(m_clock.now())) {
        wire::append(update.divided, std::move(item));
    }
}

void coordinator_process::append_upstream_limits(wire::fleet_update_t& update) const
{
    const auto& limits = m_core->state().current_upstream_limits();
    update.limits_included = true;
    update.limits_generation = limits.generation;
    for (const auto& [upstream, limit] : limits.entries) {
        wire::upstream_limit_t item;
        item.upstream = upstream;
        item.born_ms = limit.born_ms;
        item.per_s = limit.rate.per_s;
        wire::append(update.limits, std::move(item));
    }
}

void coordinator_process::update_gauges(observe::metrics& metrics) const
{
    metrics.set("siskindrift_document_version", static_cast<double>(m_document_version));
    metrics.set("siskindrift_gateways", static_cast<double>(m_gateways.size()));
    metrics.set("siskindrift_upstreams", static_cast<double>(m_roster.entries().size()));
    metrics.set(
        "siskindrift_retry_share_holders",
        static_cast<double>(m_core ? m_core->state().current_retry_shares().holders.size() : 0));
    metrics.set(
        "siskindrift_limited_upstreams",
        static_cast<double>(m_core ? m_core->state().current_upstream_limits().entries.size() : 0));
    metrics.set(
        "siskindrift_popular_blocked_parts",
        static_cast<double>(m_core ? m_prompt_judge.count_popular(
                                         m_core->state().current_blocked_parts(), m_clock.now())
                                   : 0));
    const auto members = m_core ? m_core->raft().members() : consensus::member_list{};
    metrics.set("siskindrift_members", static_cast<double>(members.size()));
    metrics.set("siskindrift_voters",
                static_cast<double>(std::count_if(members.begin(), members.end(),
                                                  [](const auto& info) { return info.voter; })));
    metrics.set("siskindrift_placing_term", static_cast<double>(m_placement_term));
    metrics.set("siskindrift_open_engine_calls", static_cast<double>(m_calls.open_calls()));
}

void coordinator_process::place_adapters()
{
    if (m_placement_term == 0) {
        return;
    }
    const auto now = m_clock.now();
    if (now >= m_usability_check_due) {
        m_usability_check_due = now + usability_check_interval;
        for (const auto& [id, item] : m_roster.entries()) {
            update_placer(id);
        }
    }
    request_reports();
    // Orders are sent only while the lease excludes another leader.
    if (now >= m_plan_due && holds_lease()) {
        m_plan_due = now + (m_plan_requested ? plan_interval_per_gateway * m_gateways.size()
                                             : core::duration::zero());
        m_plan_requested = false;
        for (const auto& order : m_placer.plan(now)) {
            send_order(order);
        }
    }
    publish_engine_changes();
    log_limit_changes();
    log_placement();
}

void coordinator_process::log_limit_changes()
{
    for (const auto& change : m_placer.take_limit_changes()) {
        observe::info("load_limit_changed",
                      {{"reason", adapters::to_string(change.reason)},
                       {"before", change.before},
                       {"limit", change.after},
                       {"load_ms", core::to_ms(change.load_time)},
                       {"loads", static_cast<std::int64_t>(std::lround(change.loads))},
                       {"unslowed_ms", core::to_ms(change.unslowed_load_time)}});
    }
}

// Logs the use of adapter slots and of the weight store once a second while requests wait for
// adapters.
void coordinator_process::log_placement()
{
    const auto now = m_clock.now();
    if (now < m_summary_due) {
        return;
    }
    m_summary_due = now + summary_interval;
    const auto summary = m_placer.summary(now);
    if (summary.wanted == 0 && summary.loading == 0) {
        return;
    }
    observe::info("adapters_wanted", {{"wanted", summary.wanted},
                                      {"overdue", summary.overdue},
                                      {"store_loads", summary.store_loads},
                                      {"store_limit", summary.store_limit},
                                      {"engines", summary.engines},
                                      {"places", summary.adapter_slots},
                                      {"in_use", summary.in_use},
                                      {"loading", summary.loading},
                                      {"stalled", summary.stalled},
                                      {"just_used", summary.just_used},
                                      {"unanswered", summary.unanswered},
                                      {"unknown", summary.unknown},
                                      {"unloading", summary.unloading},
                                      {"fenced", summary.fenced},
                                      {"longest_wait_ms", core::to_ms(summary.longest_wait)},
                                      {"load_ms", core::to_ms(summary.load_time)},
                                      {"unslowed_ms", core::to_ms(summary.unslowed_load_time)}});
}

void coordinator_process::on_queued(std::string_view kind, std::size_t bytes)
{
    m_metrics.count("siskindrift_sent_bytes_" + std::string{kind} + "_total", bytes);
    const auto found = m_queued_bytes.find(kind);
    if (found == m_queued_bytes.end()) {
        m_queued_bytes.emplace(kind, bytes);
    }
    else {
        found->second += bytes;
    }
}

// Logs once a second how many bytes of which kinds of messages were queued, if there were many.
void coordinator_process::log_sent_bytes()
{
    const auto now = m_clock.now();
    if (now < m_bytes_line_due) {
        return;
    }
    m_bytes_line_due = now + summary_interval;
    std::uint64_t total = 0;
    std::vector<std::string> kinds;
    for (const auto& [kind, bytes] : std::exchange(m_queued_bytes, {})) {
        total += bytes;
        if (bytes >= min_logged_bytes) {
            kinds.push_back(kind + "=" + std::to_string(bytes));
        }
    }
    if (!kinds.empty()) {
        observe::info("bytes_queued", {{"bytes", total}, {"kinds", kinds}});
    }
}

std::string coordinator_process::next_call_id()
{
    return m_settings.vm + "-report-" + std::to_string(m_next_report++);
}

void coordinator_process::request_reports()
{
    const auto now = m_clock.now();
    for (const auto& id : m_placer.take_engines_to_poll(now)) {
        const auto* item = m_roster.find(id);
        if (item == nullptr) {
            continue;
        }
        auto call = platform::make_report_call(item->info.address, id, next_call_id());
        call.connect_timeout = engine_connect_timeout;
        call.head_timeout = engine_response_timeout;
        call.progress_timeout = engine_response_timeout;
        m_calls.start(std::move(call), [this, id,
                                        now](std::optional<http::buffered_response> response) {
            const bool succeeded = response && response->head.status == 200;
            const auto report = succeeded ? platform::decode_report(response->body) : std::nullopt;
            if (report) {
                m_prompt_judge.record_alive(id, report->born_ms, now);
            }
            m_placer.on_report(id, report, now);
            schedule_cycle();
        });
    }
}

void coordinator_process::send_order(const adapters::order& order)
{
    auto call = platform::make_order_call(order, m_settings.vm, m_placement_term);
    call.connect_timeout = engine_connect_timeout;
    call.head_timeout = engine_response_timeout;
    call.progress_timeout = engine_response_timeout;
    m_calls.start(std::move(call), [this, order](std::optional<http::buffered_response> response) {
        const auto result = response ? platform::decode_order_result(response->head.status)
                                     : adapters::order_result::unknown;
        m_metrics.count("siskindrift_orders_" + std::string{adapters::to_string(result)} +
                        "_total");
        const bool expected_result =
            result == adapters::order_result::accepted || result == adapters::order_result::holds;
        const auto log = expected_result ? observe::routine : observe::info;
        log("order", {{"upstream", order.upstream},
                      {"adapter", order.adapter},
                      {"version", order.version},
                      {"unload", order.unload},
                      {"expected", order.orders_accepted},
                      {"status", response ? response->head.status : 0}});
        m_placer.on_order_result(order.id, result, m_clock.now());
        m_plan_requested = true;
        schedule_cycle();
    });
}

} // namespace siskindrift::apps
