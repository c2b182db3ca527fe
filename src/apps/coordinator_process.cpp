#include "coordinator_process.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "platform/deployment_codec.h"
#include "resource_limits.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

namespace asio = boost::asio;

constexpr core::milliseconds storage_retry_interval{300}; // a full disk may have free space again
constexpr core::milliseconds handover_timeout{1000};      // for the election of a successor
constexpr core::milliseconds join_interval{400};          // until a leader adds this replica
// Longer than an election; without a leader for this time, the replica asks to join again.
constexpr core::milliseconds leader_timeout{1500};
// A predecessor's last order may still be in transit when its lease has ended.
constexpr core::milliseconds order_transit_margin{600};
constexpr core::milliseconds election_retry_interval{300}; // about the duration of an election
constexpr std::size_t max_spare_voters = 2;                // of a group that bears losses
constexpr core::milliseconds before_first_start{60'000};   // longer than streams last
constexpr core::milliseconds announcement_wait{2500}; // until all upstreams were announced again
constexpr std::uint64_t compaction_interval_entries = 256; // documents are large and change rarely

// The log is compacted before it takes more than these fractions of the memory and of the disk. A
// compaction needs the space of the log several times, and a disk holds the log and its successor.
constexpr std::uint64_t memory_per_log = 32;
constexpr std::uint64_t disk_per_log = 16;
constexpr std::uint64_t min_log_bytes = 1024UL * 1024;
constexpr std::uint64_t segment_per_log = 4; // replaced entries stay in the segment

control::control_options core_options(const config::coordinator_settings& settings)
{
    control::control_options options;
    options.compact_after = compaction_interval_entries;
    auto& log_bytes = options.compact_after_bytes;
    if (settings.memory_bytes != 0) {
        log_bytes = std::min(log_bytes, settings.memory_bytes / memory_per_log);
    }
    if (settings.disk_bytes != 0) {
        log_bytes = std::min(log_bytes, settings.disk_bytes / disk_per_log);
    }
    log_bytes = std::max(log_bytes, min_log_bytes);
    options.max_uncommitted_bytes = log_bytes;
    return options;
}

control::membership_manager_options membership_options(std::uint32_t losses_borne)
{
    control::membership_manager_options options;
    options.target_voters = 2 * static_cast<std::size_t>(losses_borne) + 1;
    options.max_spare_voters = losses_borne == 0 ? 0 : max_spare_voters;
    return options;
}

control::retry_share_manager_options share_options(core::duration retry_window)
{
    control::retry_share_manager_options options;
    options.window = retry_window;
    return options;
}

void respond_error(const std::shared_ptr<http::responder>& responder, std::uint16_t status,
                   std::string_view text)
{
    responder->respond(status, {{"Content-Type", "application/json"}},
                       platform::encode_error(text));
}

// Returns the addresses of the members for a log line. Learners are marked.
std::string describe_members(const consensus::member_list& members)
{
    std::string text;
    for (const auto& info : members) {
        text += (text.empty() ? "" : " ") + info.address + (info.voter ? "" : "(learner)");
    }
    return text;
}

} // namespace

coordinator_process::coordinator_process(config::coordinator_settings settings,
                                         std::string settings_path)
    : m_settings(std::move(settings)), m_settings_path(std::move(settings_path)),
      m_memory(memory_limit(m_settings.memory_bytes)),
      m_connections(connection_limit(m_settings.max_descriptors)), m_context(1),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, mesh_options(m_memory, m_connections), *this)),
      m_server(m_context, http::server_limits{}, *this,
               external_resources(m_memory, m_connections)),
      m_calls(m_context),
      m_metrics_endpoint(m_context, m_metrics, external_resources(m_memory, m_connections),
                         [this](observe::metrics& metrics) { update_gauges(metrics); }),
      m_membership(membership_options(m_settings.losses_borne)),
      m_retry_shares(share_options(m_settings.retry_window))
{
}

bool coordinator_process::open_storage()
{
    std::optional<consensus::recovered_state> recovered;
    const auto options = core_options(m_settings);
    m_storage = replica_storage::open(m_settings.data_folder, recovered,
                                      options.compact_after_bytes * segment_per_log, m_clock);
    if (!m_storage) {
        return false;
    }
    m_core =
        std::make_unique<control::control_core>(m_storage->identity(), std::move(*recovered),
                                                options, core::random_nonzero(), m_clock, nullptr);
    return true;
}

int coordinator_process::run()
{
    wait_for_signal();
    start();
    m_context.run();
    observe::info("stopped", {{"status", m_exit_status}});
    return m_exit_status;
}

void coordinator_process::wait_for_signal()
{
    m_signals.async_wait([this](boost::system::error_code error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            reload_settings();
        }
        else if (!m_stopping) {
            begin_shutdown();
        }
        wait_for_signal();
    });
}

// Applies the settings that may change at run time. Addresses and the data folder may not.
void coordinator_process::reload_settings()
{
    core::error_message error;
    const auto text = config::read_file(m_settings_path, error);
    const auto fresh = text ? config::read_coordinator_settings(*text, error) : std::nullopt;
    if (!fresh) {
        observe::error("reload_refused", {{"reason", error.text()}});
        return;
    }
    m_settings.seeds = fresh->seeds;
    m_settings.order_lease = fresh->order_lease;
    observe::info("reloaded", {{"settings", m_settings_path}});
}

void coordinator_process::start()
{
    if (m_stopping) {
        m_context.stop();
        return;
    }
    if (!open_storage()) {
        m_timer.expires_after(storage_retry_interval);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                start();
            }
        });
        return;
    }
    std::string error;
    if (!m_mesh->listen(m_settings.inner_address, error) ||
        !m_server.listen(m_settings.control_address, error) ||
        !m_metrics_endpoint.listen(m_settings.metrics_address, error)) {
        observe::error("cannot_listen", {{"reason", error}});
        m_exit_status = 1;
        m_context.stop();
        return;
    }
    // On the first start, the seed with the lowest address forms the cluster; the others join it.
    const auto& seeds = m_settings.seeds;
    const bool forms_cluster =
        m_settings.first_start && m_core->raft().cluster() == 0 &&
        *std::min_element(seeds.begin(), seeds.end()) == m_settings.inner_address;
    if (forms_cluster) {
        wire::form_cluster_t form;
        form.vm = m_settings.vm;
        form.address = m_settings.inner_address;
        m_core->on_request(0, wire::make_control_request(form));
    }
    m_leader_seen_at = m_clock.now();
    // Before the first start of a deployment there were no upstreams that it could have missed.
    m_software.on_contact(m_settings.first_start ? m_clock.now() - before_first_start
                                                 : m_clock.now() + announcement_wait,
                          m_clock.now());
    observe::info("started", {{"address", m_settings.control_address}, {"forms", forms_cluster}});
    run_cycle();
}

void coordinator_process::begin_shutdown()
{
    m_stopping = true;
    if (!m_core) {
        m_context.stop();
        return;
    }
    m_stop_deadline = m_clock.now() + handover_timeout;
    m_placer.end_leadership();
    m_core->prepare_stop();
    schedule_cycle();
}

void coordinator_process::schedule_cycle()
{
    if (!std::exchange(m_cycle_scheduled, true)) {
        asio::post(m_context, [this] { run_cycle(); });
    }
}

void coordinator_process::arm_timer()
{
    const auto now = m_clock.now();
    auto due = m_flush_due;
    if (m_storage->disk_full()) {
        due = std::min(due, m_storage_retry_at);
    }
    else if (m_core->raft().cluster() != 0) {
        due = std::min(due, m_core->raft().next_due());
    }
    due = std::min(due, m_join_due);
    if (m_placement_term != 0) {
        due =
            std::min({due, m_placer.next_due(), m_copy_update_due > now ? m_copy_update_due : due});
        if (m_plan_requested) {
            due = std::min(due, m_plan_due);
        }
    }
    if (m_stopping) {
        due = std::min(due, m_stop_deadline);
    }
    m_timer.expires_after(std::max<core::duration>(due - now, core::milliseconds{1}));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            run_cycle();
        }
    });
}

void coordinator_process::run_cycle()
{
    m_cycle_scheduled = false;
    if (m_pauses.observe(m_clock.now())) {
        observe::warn("stood_still", {});
    }
    if (!run_replica()) {
        m_exit_status = 1;
        m_context.stop();
        return;
    }
    if (m_stopping && (m_clock.now() >= m_stop_deadline || !m_core->raft().is_leader())) {
        m_mesh->stop();
        m_context.stop();
        return;
    }
    update_membership();
    request_membership();
    ask_silent_members();
    update_leadership();
    update_retry_shares();
    update_blocked_parts();
    publish_suspects();
    update_upstream_limits();
    update_software_versions();
    apply_document();
    apply_departures();
    refuse_overdue_departures();
    place_adapters();
    flush_updates();
    log_sent_bytes();
    arm_timer();
}

bool coordinator_process::run_replica()
{
    if (m_storage->disk_full()) {
        if (m_clock.now() < m_storage_retry_at) {
            return true;
        }
    }
    else {
        m_core->tick();
    }
    constexpr int max_rounds = 8; // remaining work is left for the next cycle
    for (int round = 0; round < max_rounds; ++round) {
        const auto applied = m_core->applied();
        const auto commit = m_core->raft().commit_index();
        if (!run_replica_round()) {
            return false;
        }
        const bool idle = m_core->applied() == applied && m_core->raft().commit_index() == commit;
        if (idle || m_storage->disk_full()) {
            return true;
        }
    }
    schedule_cycle();
    return true;
}

bool coordinator_process::run_replica_round()
{
    const auto result =
        m_storage->run_cycle(*m_core, [this](const auto& messages) { send_messages(messages); });
    if (result == storage_result::failed) {
        return false;
    }
    if (result == storage_result::disk_full) {
        m_storage_retry_at = m_clock.now() + storage_retry_interval;
    }
    for (auto& reply : m_core->take_replies()) {
        send_reply(reply);
    }
    if (m_storage->disk_full()) {
        refuse_open_calls();
    }
    return true;
}

void coordinator_process::update_membership()
{
    const auto members = m_membership.next_members(m_core->raft(), m_clock.now());
    if (!members || m_stopping || m_storage->disk_full()) {
        return;
    }
    // Refused while another change is in progress; a later cycle tries again.
    if (m_core->change_members(*members)) {
        observe::info("membership_change", {{"members", describe_members(*members)}});
        schedule_cycle();
    }
}

void coordinator_process::request_membership()
{
    const auto now = m_clock.now();
    const auto& raft = m_core->raft();
    if (raft.is_leader() || raft.leader() != 0) {
        m_leader_seen_at = now;
    }
    const bool needs_to_join =
        raft.cluster() == 0 || now - m_leader_seen_at > leader_timeout || !raft.is_voter();
    if (std::exchange(m_asks_to_join, needs_to_join) != needs_to_join) {
        observe::info(needs_to_join ? "join_requested" : "joined",
                      {{"votes", raft.is_voter()},
                       {"leader", raft.leader_address()},
                       {"members", describe_members(raft.members())}});
    }
    if (!needs_to_join) {
        m_join_due = now + leader_timeout;
        return;
    }
    if (now < m_join_due) {
        return;
    }
    m_join_due = now + join_interval;
    wire::join_request_t message;
    message.id = raft.self().value();
    message.vm = m_settings.vm;
    message.address = m_settings.inner_address;
    for (const auto& peer : peer_addresses()) {
        m_mesh->send(peer, wire::make_envelope(message));
    }
}

// A replica that wants to join may know only others than the leader.
void coordinator_process::handle_join_request(wire::join_request_t request)
{
    m_membership.record_join_request(request, m_clock.now());
    const auto& raft = m_core->raft();
    const auto leader = raft.leader_address();
    if (request.forwarded || raft.is_leader() || leader.empty() || leader == request.address) {
        return;
    }
    request.forwarded = true;
    m_mesh->send(leader, wire::make_envelope(std::move(request)));
}

void coordinator_process::ask_silent_members()
{
    for (const auto& query : m_losses.take_queries(m_core->raft(), m_clock.now())) {
        wire::identity_query_t message;
        message.nonce = query.nonce;
        message.address = m_settings.inner_address;
        m_mesh->send(query.address, wire::make_envelope(message));
    }
}

void coordinator_process::answer_identity_query(const wire::identity_query_t& query)
{
    if (!net::parse_address(query.address)) {
        observe::warn("identity_query_refused", {{"reason", "not an address"}});
        return;
    }
    wire::identity_reply_t reply;
    reply.nonce = query.nonce;
    reply.id = m_core->raft().self().value();
    m_mesh->send(query.address, wire::make_envelope(reply));
}

void coordinator_process::handle_identity_reply(const wire::identity_reply_t& reply)
{
    const auto lost = m_losses.on_reply(reply);
    if (lost && m_core->mark_lost(*lost)) {
        observe::warn("member_lost", {{"cause", "another identity answers at its address"},
                                      {"replica", *lost},
                                      {"members", describe_members(m_core->raft().members())}});
    }
}

// The leader goes on sending to the former identity of a replica that has lost its disk.
void coordinator_process::record_cluster_leader(const wire::envelope_t& message)
{
    const auto* request = message.body.Asappend_request();
    if (request != nullptr && m_core->raft().cluster() == 0 &&
        request->to != m_core->raft().self().value() && net::parse_address(request->address)) {
        m_cluster_leader = request->address;
    }
}

bool coordinator_process::is_leading() const
{
    return m_core->raft().has_committed_in_term() && !m_stopping && !m_storage->disk_full();
}

void coordinator_process::update_leadership()
{
    const auto term = is_leading() ? m_core->raft().term() : 0;
    if (term == m_placement_term) {
        return;
    }
    m_placement_term = term;
    m_flush_requested = true;
    if (term == 0) {
        m_placer.end_leadership();
        std::string_view cause = "no quorum replied, or another replica leads";
        if (m_stopping) {
            cause = "this process stops";
        }
        else if (m_storage->disk_full()) {
            cause = "the disk is full";
        }
        observe::info("leadership_ended",
                      {{"cause", cause}, {"members", describe_members(m_core->raft().members())}});
        return;
    }
    // A predecessor may have sent an order just now, unless this replica led the preceding term.
    // Upstreams that check fencing tokens reject a predecessor's orders after our first one.
    const bool led_preceding_term = m_last_placement_term + 1 == term;
    const bool must_wait = !led_preceding_term && !m_settings.upstreams_check_fences;
    m_last_placement_term = term;
    const auto now = m_clock.now();
    m_retry_shares.begin_term(now);
    m_prompt_judge.begin_term(now, term);
    m_upstream_limits.begin_term(now);
    m_places.begin_term(now);
    m_announced_shares = 0;
    m_placer.begin_leadership(must_wait ? now + m_settings.order_lease + order_transit_margin
                                        : now);
    observe::info("leadership_begun", {{"term", term},
                                       {"waits", must_wait},
                                       {"members", describe_members(m_core->raft().members())}});
    publish_engine_changes();
}

void coordinator_process::send_messages(const std::vector<consensus::outgoing_message>& messages)
{
    for (const auto& item : messages) {
        m_mesh->send(item.address, item.message);
    }
}

void coordinator_process::on_message(net::connection_id from, wire::envelope_t message)
{
    if (!m_core) {
        return;
    }
    if (const auto* attach_message = message.body.Asgateway_attach()) {
        handle_attach(from, *attach_message);
    }
    else if (const auto* report = message.body.Asgateway_report()) {
        if (m_placement_term != 0) {
            m_placer.on_gateway_report(*report, m_clock.now());
            m_plan_requested = true;
        }
    }
    else if (const auto* evidence = message.body.Asprompt_evidence()) {
        handle_prompt_evidence(*evidence);
    }
    else if (const auto* wishes = message.body.Assend_permit_query()) {
        handle_permit_query(from, *wishes);
    }
    else if (const auto* told = message.body.Asstream_origins()) {
        record_stream_origins(*told);
        return;
    }
    else if (const auto* asked = message.body.Asstream_origin_query()) {
        answer_origin_query(from, *asked);
        return;
    }
    else if (const auto* query = message.body.Asretry_share_query()) {
        handle_retry_share_query(from, *query);
    }
    else if (message.body.Asdocument_query() != nullptr) {
        send_document(from);
        return;
    }
    else if (const auto* update = message.body.Asfleet_update()) {
        apply_peer_update(*update);
    }
    else if (const auto* join_request = message.body.Asjoin_request()) {
        handle_join_request(*join_request);
    }
    else if (const auto* forwarded = message.body.Ascontrol_request()) {
        handle_forwarded_departure(from, *forwarded);
    }
    else if (const auto* answer = message.body.Ascontrol_reply()) {
        handle_departure_reply(*answer);
        return;
    }
    else if (const auto* identity_query = message.body.Asidentity_query()) {
        answer_identity_query(*identity_query);
        return;
    }
    else if (const auto* identity_reply = message.body.Asidentity_reply()) {
        handle_identity_reply(*identity_reply);
    }
    else {
        record_cluster_leader(message);
        // The replica takes no part in consensus until its last state is on disk.
        if (!m_storage->disk_full()) {
            m_core->on_peer(message);
        }
    }
    schedule_cycle();
}

// A peer that has started again, or was cut off, doesn't know what was announced here meanwhile:
// later updates only name these upstreams.
void coordinator_process::on_connection_state(const std::string& address, bool up)
{
    const auto peers = m_core ? peer_addresses() : std::vector<std::string>{};
    if (up && std::find(peers.begin(), peers.end(), address) != peers.end()) {
        send_upstreams(address);
    }
}

void coordinator_process::on_closed(net::connection_id connection)
{
    const auto found = m_gateways.find(connection);
    if (found == m_gateways.end()) {
        return;
    }
    observe::info("gateway_detached", {{"gateway", found->second.attach_message.info->vm}});
    m_placer.remove_gateway(found->second.attach_message.info->vm);
    m_gateways.erase(found);
    update_judged_gateways();
    m_pacer.remove_reader(connection);
    m_gateways_changed = true;
    schedule_cycle();
}

void coordinator_process::on_bad_frame(core::reason reason)
{
    observe::warn("bad_frame", {{"reason", core::to_string(reason)}});
}

void coordinator_process::on_connection_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("connection_refused", {{"reason", core::to_string(reason)}});
}

void coordinator_process::on_request(std::uint64_t, http::server_request request,
                                     std::shared_ptr<http::responder> responder)
{
    const auto call = platform::decode_call(request);
    switch (call.kind) {
    case platform::call_kind::announce:
        handle_announcement(call, request, responder);
        break;
    case platform::call_kind::withdraw:
        handle_withdrawal(call, responder);
        break;
    case platform::call_kind::put_document:
        handle_put_document(request, responder);
        break;
    case platform::call_kind::read_document:
        propose(wire::make_control_request(wire::read_document_t{}), request, responder);
        break;
    case platform::call_kind::put_version:
        handle_put_version(request, responder);
        break;
    case platform::call_kind::readiness:
    case platform::call_kind::resolve:
    case platform::call_kind::unknown:
        respond_error(responder, 404, "no such call");
        break;
    }
    schedule_cycle();
}

void coordinator_process::on_caller_disconnected(std::uint64_t) {}

void coordinator_process::on_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("call_refused", {{"reason", core::to_string(reason)}});
}

void coordinator_process::handle_put_document(const http::server_request& request,
                                              const std::shared_ptr<http::responder>& responder)
{
    core::error_message error;
    const auto document = platform::decode_deployment(request.body, error);
    if (!document) {
        observe::warn("document_refused", {{"reason", error.text()}});
        respond_error(responder, 400, error.text());
        return;
    }
    // What has been accepted once is acknowledged again, whatever an earlier build accepted.
    if (!document->limits_fault.empty() &&
        request.body != m_core->state().current_document().content) {
        observe::warn("document_refused", {{"reason", document->limits_fault}});
        respond_error(responder, 400, document->limits_fault);
        return;
    }
    wire::put_document_t command;
    command.version = document->version;
    command.content = request.body;
    propose(wire::make_control_request(std::move(command)), request, responder);
}

void coordinator_process::handle_put_version(const http::server_request& request,
                                             const std::shared_ptr<http::responder>& responder)
{
    core::error_message error;
    auto command = platform::decode_adapter_version(request.body, error);
    if (!command) {
        respond_error(responder, 400, error.text());
        return;
    }
    propose(wire::make_control_request(std::move(*command)), request, responder);
}

void coordinator_process::propose(wire::control_request_t command,
                                  const http::server_request& request,
                                  const std::shared_ptr<http::responder>& responder)
{
    const auto& raft = m_core->raft();
    if (m_storage->disk_full()) {
        respond_error(responder, 503, "the disk of this replica is full");
        return;
    }
    if (!raft.is_leader() || m_stopping) {
        const auto leader = raft.leader_address();
        if (leader.empty() || leader == m_settings.inner_address) {
            respond_error(responder, 503, "no leader is known");
            return;
        }
        // All coordinators use the same control port.
        const auto control =
            leader.substr(0, leader.find(':')) +
            m_settings.control_address.substr(m_settings.control_address.find(':'));
        responder->respond(307, {{"Location", platform::redirect_location(request, control)}}, "");
        return;
    }
    if (too_few_voters()) {
        respond_error(responder, 503, "too few replicas have joined");
        return;
    }
    const auto client = m_next_client++;
    m_pending_responders[client] = responder;
    m_core->on_request(client, command);
}

// With so few voters, the loss of the tolerated number of disks could lose what is acknowledged.
bool coordinator_process::too_few_voters() const
{
    return consensus::voters_of(m_core->raft().members()).size() <= m_settings.losses_borne;
}

// What these calls propose may still be committed once the disk has room, so callers send it again.
void coordinator_process::refuse_open_calls()
{
    if (m_pending_responders.empty()) {
        return;
    }
    observe::warn("open_calls_refused",
                  {{"reason", "disk_full"}, {"calls", m_pending_responders.size()}});
    for (const auto& [client, responder] : std::exchange(m_pending_responders, {})) {
        respond_error(responder, 503, "the disk of this replica is full");
    }
}

void coordinator_process::send_reply(const control::client_reply& reply)
{
    if (const auto peer = m_pending_peers.extract(reply.client)) {
        m_mesh->reply(peer.mapped(), wire::make_envelope(reply.reply));
        return;
    }
    auto pending = m_pending_responders.extract(reply.client);
    if (pending.empty()) {
        return;
    }
    const auto& responder = pending.mapped();
    if (reply.reply.outcome != wire::control_outcome::ok) {
        respond_error(responder, 503, "no quorum confirmed it");
        return;
    }
    const auto* page = reply.reply.body.Asdocument_page();
    if (page != nullptr && page->version == 0) {
        respond_error(responder, 503, "no document has been accepted yet");
        return;
    }
    responder->respond(200, {{"Content-Type", "application/json"}},
                       page != nullptr ? page->content : "{}");
}

} // namespace siskindrift::apps
