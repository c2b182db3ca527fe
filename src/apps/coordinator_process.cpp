#include "coordinator_process.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "platform/deployment_codec.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

namespace asio = boost::asio;

constexpr core::milliseconds storage_retry{300};   // a full disk may have room again
constexpr core::milliseconds stop_grace{1000};     // for the successor's election
constexpr core::milliseconds join_every{400};      // until a leader takes this replica in
constexpr core::milliseconds leader_silence{1500}; // above an election; then ask to join again
constexpr core::milliseconds order_margin{600};    // of a predecessor's last order on its way
constexpr core::milliseconds retry_soon{300};      // an election takes about as long
constexpr std::uint64_t compact_after = 256;       // documents are large and few

control::control_options core_options()
{
    control::control_options options;
    options.compact_after = compact_after;
    return options;
}

control::member_keeper_options keeper_options(std::uint32_t losses_borne)
{
    control::member_keeper_options options;
    options.voters_wanted = 2 * static_cast<std::size_t>(losses_borne) + 1;
    return options;
}

void respond_error(const std::shared_ptr<http::responder>& to, std::uint16_t status,
                   std::string_view text)
{
    to->respond(status, {{"Content-Type", "application/json"}}, platform::encode_error(text));
}

} // namespace

coordinator_process::coordinator_process(config::coordinator_settings settings,
                                         std::string settings_path)
    : m_settings(std::move(settings)), m_settings_path(std::move(settings_path)), m_context(1),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_timer(m_context),
      m_mesh(std::make_shared<net::mesh>(m_context, net::mesh_options{}, *this)),
      m_server(m_context, http::server_limits{}, *this), m_calls(m_context),
      m_metrics_endpoint(m_context, m_metrics, [this](observe::metrics& to) { show_state(to); }),
      m_keeper(keeper_options(m_settings.losses_borne))
{
}

bool coordinator_process::open_storage()
{
    std::optional<consensus::recovered_state> recovered;
    m_folder = replica_storage::open(m_settings.data_folder, recovered);
    if (!m_folder) {
        return false;
    }
    m_core = std::make_unique<control::control_core>(m_folder->identity(), std::move(*recovered),
                                                     core_options(), core::fresh_number(), m_clock,
                                                     nullptr);
    return true;
}

int coordinator_process::run()
{
    await_signal();
    start();
    m_context.run();
    observe::info("stopped", {{"status", m_status}});
    return m_status;
}

void coordinator_process::await_signal()
{
    m_signals.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        }
        else if (!m_stopping) {
            begin_stop();
        }
        await_signal();
    });
}

// Takes up what may change while the process runs; addresses and the folder may not.
void coordinator_process::reload()
{
    core::last_reason why;
    const auto text = config::read_file(m_settings_path, why);
    const auto fresh = text ? config::read_coordinator_settings(*text, why) : std::nullopt;
    if (!fresh) {
        observe::error("reload_refused", {{"reason", why.text()}});
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
        m_timer.expires_after(storage_retry);
        m_timer.async_wait([this](boost::system::error_code failed) {
            if (!failed) {
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
        m_status = 1;
        m_context.stop();
        return;
    }
    // One of the first replicas forms the cluster; the others join it.
    const auto& seeds = m_settings.seeds;
    const bool first = m_settings.first_start && m_core->raft().cluster() == 0 &&
                       *std::min_element(seeds.begin(), seeds.end()) == m_settings.inner_address;
    if (first) {
        wire::form_cluster_t form;
        form.vm = m_settings.vm;
        form.address = m_settings.inner_address;
        m_core->on_request(0, wire::make_control_request(form));
    }
    m_led_at = m_clock.now();
    observe::info("started", {{"address", m_settings.control_address}, {"forms", first}});
    cycle();
}

void coordinator_process::begin_stop()
{
    m_stopping = true;
    if (!m_core) {
        m_context.stop();
        return;
    }
    m_stop_at = m_clock.now() + stop_grace;
    m_placer.end();
    m_core->prepare_stop();
    wake();
}

void coordinator_process::wake()
{
    if (!std::exchange(m_woken, true)) {
        asio::post(m_context, [this] { cycle(); });
    }
}

void coordinator_process::arm_timer()
{
    const auto now = m_clock.now();
    auto due = std::min(m_core->raft().next_due(), m_flush_due);
    if (m_core->raft().cluster() == 0) {
        due = m_flush_due;
    }
    due = std::min(due, m_join_due);
    if (m_placing_term != 0) {
        due = std::min({due, m_placer.next_due(), m_copies_due > now ? m_copies_due : due});
        if (m_place_wanted) {
            due = std::min(due, m_plan_due);
        }
    }
    if (m_stopping) {
        due = std::min(due, m_stop_at);
    }
    m_timer.expires_after(std::max<core::duration>(due - now, core::milliseconds{1}));
    m_timer.async_wait([this](boost::system::error_code failed) {
        if (!failed) {
            cycle();
        }
    });
}

void coordinator_process::cycle()
{
    m_woken = false;
    if (!run_replica()) {
        m_status = 1;
        m_context.stop();
        return;
    }
    if (m_stopping && (m_clock.now() >= m_stop_at || !m_core->raft().is_leader())) {
        m_mesh->stop();
        m_context.stop();
        return;
    }
    keep_membership();
    join();
    note_leadership();
    take_document();
    place_adapters();
    flush();
    arm_timer();
}

bool coordinator_process::run_replica()
{
    m_core->tick();
    constexpr int most_rounds = 8; // what is left waits for the next cycle
    for (int round = 0; round < most_rounds; ++round) {
        const auto applied = m_core->applied();
        const auto commit = m_core->raft().commit_index();
        if (!run_replica_once()) {
            return false;
        }
        if (m_core->applied() == applied && m_core->raft().commit_index() == commit) {
            return true;
        }
    }
    wake();
    return true;
}

bool coordinator_process::run_replica_once()
{
    if (!m_folder->run_cycle(*m_core, [this](const auto& messages) { send(messages); })) {
        return false;
    }
    for (auto& reply : m_core->take_replies()) {
        answer(reply);
    }
    return true;
}

void coordinator_process::keep_membership()
{
    const auto members = m_keeper.next_members(m_core->raft(), m_clock.now());
    if (!members || m_stopping) {
        return;
    }
    // Refused while another change is open, and then made again later.
    if (m_core->change_members(*members)) {
        observe::info("membership_change", {{"members", members->size()}});
        wake();
    }
}

void coordinator_process::join()
{
    const auto now = m_clock.now();
    const auto& raft = m_core->raft();
    if (raft.is_leader() || raft.leader() != 0) {
        m_led_at = now;
    }
    const bool outside = raft.cluster() == 0 || now - m_led_at > leader_silence || !raft.is_voter();
    if (!outside) {
        m_join_due = now + leader_silence;
        return;
    }
    if (now < m_join_due) {
        return;
    }
    m_join_due = now + join_every;
    wire::join_request_t wish;
    wish.id = raft.self().value();
    wish.vm = m_settings.vm;
    wish.address = m_settings.inner_address;
    for (const auto& peer : peers()) {
        m_mesh->send(peer, wire::make_envelope(wish));
    }
}

bool coordinator_process::leading() const
{
    return m_core->raft().leads_committed() && !m_stopping;
}

void coordinator_process::note_leadership()
{
    const auto term = leading() ? m_core->raft().term() : 0;
    if (term == m_placing_term) {
        return;
    }
    m_placing_term = term;
    m_news = true;
    if (term == 0) {
        m_placer.end();
        observe::info("leadership_ended", {});
        return;
    }
    // A predecessor may have given an order a moment ago, unless nobody led between two terms
    // in a row. Upstreams that check fences refuse its orders from our first one on.
    const bool unbroken = m_placed_term + 1 == term;
    const bool waits = !unbroken && !m_settings.upstreams_check_fences;
    m_placed_term = term;
    const auto now = m_clock.now();
    m_placer.begin(waits ? now + m_settings.order_lease + order_margin : now);
    observe::info("leadership_begun", {{"term", term}, {"waits", waits}});
    tell_engines();
}

void coordinator_process::send(const std::vector<consensus::outgoing_message>& messages)
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
    if (const auto* word = message.body.Asgateway_attach()) {
        attach(from, *word);
    }
    else if (const auto* report = message.body.Asgateway_report()) {
        if (m_placing_term != 0) {
            m_placer.note_gateway(*report, m_clock.now());
            m_place_wanted = true;
        }
    }
    else if (message.body.Asdocument_query() != nullptr) {
        tell_document(from);
        return;
    }
    else if (const auto* update = message.body.Asfleet_update()) {
        take_peer_update(*update);
    }
    else if (const auto* wish = message.body.Asjoin_request()) {
        m_keeper.note_join(*wish, m_clock.now());
    }
    else {
        m_core->on_peer(message);
    }
    wake();
}

void coordinator_process::on_link(const std::string&, bool) {}

void coordinator_process::on_closed(net::connection_id which)
{
    const auto found = m_gateways.find(which);
    if (found == m_gateways.end()) {
        return;
    }
    observe::info("gateway_detached", {{"gateway", found->second.word.info->vm}});
    m_placer.drop_gateway(found->second.word.info->vm);
    m_gateways.erase(found);
    m_pacer.forget(which);
    m_gateways_changed = true;
    m_news = true;
    wake();
}

void coordinator_process::on_bad_frame(core::reason why)
{
    observe::warn("bad_frame", {{"reason", core::to_string(why)}});
}

void coordinator_process::on_request(std::uint64_t, http::server_request request,
                                     std::shared_ptr<http::responder> responder)
{
    const auto call = platform::decode_call(request);
    switch (call.kind) {
    case platform::call_kind::announce:
        announce(call, request, responder);
        break;
    case platform::call_kind::withdraw:
        withdraw(call, responder);
        break;
    case platform::call_kind::put_document:
        put_document(request, responder);
        break;
    case platform::call_kind::read_document:
        propose(wire::make_control_request(wire::read_document_t{}), request, responder);
        break;
    case platform::call_kind::put_version:
        name_version(request, responder);
        break;
    case platform::call_kind::readiness:
    case platform::call_kind::resolve:
    case platform::call_kind::unknown:
        respond_error(responder, 404, "no such call");
        break;
    }
    wake();
}

void coordinator_process::on_left(std::uint64_t) {}

void coordinator_process::on_refused(core::reason why)
{
    observe::warn("call_refused", {{"reason", core::to_string(why)}});
}

void coordinator_process::put_document(const http::server_request& request,
                                       const std::shared_ptr<http::responder>& responder)
{
    core::last_reason why;
    const auto document = platform::decode_deployment(request.body, why);
    if (!document) {
        observe::warn("document_refused", {{"reason", why.text()}});
        respond_error(responder, 400, why.text());
        return;
    }
    wire::put_document_t order;
    order.version = document->version;
    order.content = request.body;
    propose(wire::make_control_request(std::move(order)), request, responder);
}

void coordinator_process::name_version(const http::server_request& request,
                                       const std::shared_ptr<http::responder>& responder)
{
    core::last_reason why;
    auto order = platform::decode_adapter_version(request.body, why);
    if (!order) {
        respond_error(responder, 400, why.text());
        return;
    }
    propose(wire::make_control_request(std::move(*order)), request, responder);
}

void coordinator_process::propose(wire::control_request_t command,
                                  const http::server_request& request,
                                  const std::shared_ptr<http::responder>& responder)
{
    const auto& raft = m_core->raft();
    const auto voters = std::count_if(raft.members().begin(), raft.members().end(),
                                      [](const auto& info) { return info.voter; });
    if (!raft.is_leader() || m_stopping) {
        const auto leader = raft.leader_address();
        if (leader.empty() || leader == m_settings.inner_address) {
            respond_error(responder, 503, "no leader is known");
            return;
        }
        // Every coordinator has the same control port.
        const auto control =
            leader.substr(0, leader.find(':')) +
            m_settings.control_address.substr(m_settings.control_address.find(':'));
        responder->respond(307, {{"Location", platform::redirect_location(request, control)}}, "");
        return;
    }
    // A change that only one disk holds would go with it.
    if (voters <= static_cast<std::ptrdiff_t>(m_settings.losses_borne)) {
        respond_error(responder, 503, "too few replicas have joined");
        return;
    }
    const auto client = m_next_client++;
    m_waiting[client] = responder;
    m_core->on_request(client, command);
}

void coordinator_process::answer(const control::client_reply& reply)
{
    auto waiting = m_waiting.extract(reply.client);
    if (waiting.empty()) {
        return;
    }
    const auto& responder = waiting.mapped();
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
