#include "siskindrift/control/control_core.h"

#include <algorithm>
#include <utility>

#include "siskindrift/config/catalog.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::control {
namespace {

using wire::control_outcome;

// Returns whether the request changes the replicated state and therefore goes through the log.
bool is_replicated(const wire::control_request_t& request)
{
    switch (request.body.type) {
    case wire::control_body::apply_change:
    case wire::control_body::register_vm:
    case wire::control_body::expire_vm: // a VM ends its own session when it stops
    case wire::control_body::acquire_upstream:
    case wire::control_body::release_upstream:
    case wire::control_body::take_claim:
    case wire::control_body::finish_claim:
    case wire::control_body::put_document:
    case wire::control_body::name_adapter_version:
    case wire::control_body::change_retry_shares:
    case wire::control_body::change_blocked_parts:
    case wire::control_body::change_upstream_limits:
    case wire::control_body::change_software_versions:
    case wire::control_body::record_departure:
        return true;
    default:
        return false;
    }
}

} // namespace

control_core::control_core(core::replica_id self, consensus::recovered_state recovered,
                           control_options options, std::uint64_t seed, const core::clock& time,
                           const change_checker* checker)
    : m_clock(time), m_options(options), m_checker(checker),
      m_raft(self, std::move(recovered), options.raft, seed, time.now()), m_state(options.limits),
      m_sessions(options.sessions), m_permits(options.budget), m_seed(seed)
{
    if (const auto* base = m_raft.latest_snapshot()) {
        m_state.restore(base->state);
        m_applied = base->last_index;
    }
}

void control_core::on_peer(const wire::envelope_t& message)
{
    m_raft.step(message, m_clock.now());
}

void control_core::tick()
{
    m_raft.tick(m_clock.now());
    update_leadership();
    answer_confirmed_reads();
    if (m_active_term != 0) {
        expire_sessions();
        process_permits();
    }
}

bool control_core::change_members(const consensus::member_list& members)
{
    return m_raft.propose_members(members).has_value();
}

void control_core::prepare_stop()
{
    m_raft.transfer_leadership(m_clock.now());
}

void control_core::on_request(client_id client, const wire::control_request_t& request)
{
    if (request.body.type == wire::control_body::query_status) {
        answer_status(client, request.id);
        return;
    }
    if (request.body.type == wire::control_body::form_cluster) {
        answer_form(client, request);
        return;
    }
    if (!m_raft.is_leader()) {
        reply_not_leader(client, request.id);
        return;
    }
    if (is_replicated(request)) {
        propose(client, request);
        return;
    }
    if (request.body.type == wire::control_body::change_member) {
        answer_change_member(client, request);
        return;
    }
    if (request.body.type == wire::control_body::transfer_leadership) {
        m_raft.transfer_leadership(m_clock.now());
        reply(client, request.id, control_outcome::ok);
        return;
    }
    if (const auto* returned = request.body.Asreturn_permit()) {
        m_permits.return_permit(returned->permit);
        reply(client, request.id, control_outcome::ok);
        return;
    }
    m_pending_reads.push_back({client, request, m_raft.request_read(), m_raft.commit_index()});
}

void control_core::propose(client_id client, const wire::control_request_t& request)
{
    if (const auto* change = request.body.Asapply_change(); change != nullptr && m_checker) {
        if (auto error = m_checker->check(m_state.config(), *change)) {
            reply(client, request.id, control_outcome::refused, std::move(*error));
            return;
        }
    }
    if (unapplied_bytes() > m_options.max_uncommitted_bytes) {
        reply(client, request.id, control_outcome::unavailable,
              "too many bytes of changes wait for a quorum");
        return;
    }
    const auto index = m_raft.propose(wire::encode_table(request), m_clock.wall_ms());
    m_pending_writes.emplace(*index, pending_write{client, request.id, m_raft.term()});
}

void control_core::answer_form(client_id client, const wire::control_request_t& request)
{
    const auto* form = request.body.Asform_cluster();
    const auto cluster = m_seed | 1U;
    const bool formed = m_raft.bootstrap(cluster, form->vm, form->address);
    reply(client, request.id, formed ? control_outcome::ok : control_outcome::refused,
          formed ? "" : "this replica already belongs to a cluster");
}

void control_core::answer_change_member(client_id client, const wire::control_request_t& request)
{
    const auto* change = request.body.Aschange_member();
    auto members = m_raft.members();
    std::erase_if(members, [&](const auto& info) { return info.id == change->id; });
    if (change->add) {
        wire::replica_info_t info;
        info.id = change->id;
        info.vm = change->vm;
        info.address = change->address;
        info.voter = change->voter;
        const auto lag = m_raft.last_index() - m_raft.match_index(change->id);
        constexpr std::uint64_t max_promotion_lag = 64; // changes of a few heartbeat intervals
        if (change->voter && lag > max_promotion_lag) {
            reply(client, request.id, control_outcome::unavailable, "the learner is behind");
            return;
        }
        members.push_back(std::move(info));
    }
    const auto index = m_raft.propose_members(members);
    if (!index) {
        reply(client, request.id, control_outcome::unavailable, "another change is open");
        return;
    }
    m_pending_writes.emplace(*index, pending_write{client, request.id, m_raft.term()});
}

void control_core::answer_status(client_id client, std::uint64_t request)
{
    wire::status_page_t page;
    page.replica = m_raft.self().value();
    page.cluster = m_raft.cluster();
    page.leader = m_raft.leader();
    page.term = m_raft.term();
    page.commit = m_raft.commit_index();
    page.applied = m_applied;
    page.revision = m_state.revision();
    page.digest = m_state.digest();
    page.state_digest_index = m_applied;
    page.claims = m_state.claim_count();
    page.damaged = m_raft.damaged() ? "the log is damaged; replace this replica" : "";
    for (const auto& info : m_raft.members()) {
        wire::append(page.members, info);
        page.match_indexes.push_back(m_raft.match_index(info.id));
    }
    for (auto [name, vm] : m_state.vms()) {
        vm.config_revision = m_sessions.revision_of(name);
        wire::append(page.vms, vm);
    }
    for (const auto& [name, ownership] : m_state.ownerships()) {
        wire::append(page.ownerships, ownership);
    }
    constexpr std::size_t max_status_history_items = 200;
    const auto& history = m_state.history();
    const auto first =
        history.size() > max_status_history_items ? history.size() - max_status_history_items : 0;
    for (auto i = first; i < history.size(); ++i) {
        wire::append(page.history, history[i]);
    }
    wire::control_reply_t answer;
    answer.leader_address = m_raft.leader_address();
    answer.body.Set(std::move(page));
    send(client, request, std::move(answer));
}

void control_core::answer_confirmed_reads()
{
    if (!m_raft.is_leader()) {
        for (const auto& read : std::exchange(m_pending_reads, {})) {
            reply_not_leader(read.client, read.request.id);
        }
        return;
    }
    // A read must see every entry that was committed when its round began. A new leader knows
    // these only after it has committed an entry of its own term and applied everything up to it.
    if (!m_raft.has_committed_in_term() || m_active_term != m_raft.term()) {
        return;
    }
    const auto confirmed = m_raft.confirmed_round();
    auto reads = std::exchange(m_pending_reads, {});
    for (auto& read : reads) {
        if (read.round <= confirmed && read.commit <= m_applied) {
            answer_read(read);
        }
        else {
            m_pending_reads.push_back(std::move(read));
        }
    }
}

void control_core::answer_read(const pending_read& read)
{
    const auto& body = read.request.body;
    if (const auto* renewal = body.Asrenew_session()) {
        answer_renewal(read, *renewal);
        return;
    }
    if (const auto* query = body.Asread_config()) {
        wire::control_reply_t answer;
        answer.body.Set(m_state.config_since(query->since_revision));
        send(read.client, read.request.id, std::move(answer));
        return;
    }
    if (body.Asread_document() != nullptr) {
        wire::document_page_t page;
        page.version = m_state.current_document().version;
        page.content = m_state.current_document().content;
        wire::control_reply_t answer;
        answer.body.Set(std::move(page));
        send(read.client, read.request.id, std::move(answer));
        return;
    }
    if (const auto* permit_request = body.Asrequest_permit()) {
        const auto ticket = m_next_ticket++;
        m_pending_permits[ticket] = {read.client, read.request.id};
        m_permits.enqueue(ticket, permit_request->benefit, m_clock.now());
        return;
    }
    reply(read.client, read.request.id, control_outcome::refused, "unknown request");
}

void control_core::answer_renewal(const pending_read& read, const wire::renew_session_t& renewal)
{
    if (!m_sessions.renew(renewal.vm, renewal.incarnation, m_clock.now())) {
        reply(read.client, read.request.id, control_outcome::refused, "no such session");
        return;
    }
    m_sessions.set_revision(renewal.vm, renewal.config_revision);
    wire::session_grant_t grant;
    grant.ttl_ms = static_cast<std::uint32_t>(core::to_ms(m_options.sessions.ttl));
    grant.config_revision = m_state.revision();
    grant.ownership_version = m_state.ownership_version();
    grant.ownership_included = renewal.ownership_version != grant.ownership_version;
    if (grant.ownership_included) {
        for (const auto& [name, vm] : m_state.vms()) {
            wire::append(grant.vms, vm);
        }
        for (const auto& [name, ownership] : m_state.ownerships()) {
            wire::append(grant.ownerships, ownership);
        }
    }
    wire::control_reply_t answer;
    answer.body.Set(std::move(grant));
    send(read.client, read.request.id, std::move(answer));
}

void control_core::expire_sessions()
{
    for (auto& command : m_sessions.take_expired(m_clock.now())) {
        const auto request = wire::make_control_request(std::move(command));
        m_raft.propose(wire::encode_table(request), m_clock.wall_ms());
    }
}

void control_core::process_permits()
{
    const auto now = m_clock.now();
    for (const auto& granted : m_permits.grant(now)) {
        const auto pending = m_pending_permits.extract(granted.ticket).mapped();
        wire::permit_grant_t grant;
        grant.permit = granted.permit;
        grant.lifetime_ms = static_cast<std::uint32_t>(core::to_ms(m_permits.budget().lifetime));
        wire::control_reply_t answer;
        answer.body.Set(grant);
        send(pending.client, pending.request, std::move(answer));
    }
    for (const auto ticket : m_permits.take_timed_out(now, m_options.permit_timeout)) {
        const auto pending = m_pending_permits.extract(ticket).mapped();
        reply(pending.client, pending.request, control_outcome::unavailable, "no permit yet");
    }
}

void control_core::update_leadership()
{
    const bool leading = m_raft.has_committed_in_term() && m_applied >= m_raft.commit_index();
    if (leading && m_active_term != m_raft.term()) {
        m_active_term = m_raft.term();
        m_sessions.begin_term(m_state.vms(), m_clock.now());
        update_budget();
        m_permits.begin_term(m_clock.now());
        m_pending_permits.clear();
    }
    if (!m_raft.is_leader() && m_active_term != 0) {
        m_active_term = 0;
        for (const auto& [ticket, pending] : std::exchange(m_pending_permits, {})) {
            reply_not_leader(pending.client, pending.request);
        }
    }
    if (!m_raft.is_leader()) {
        // The next leader may or may not commit these writes, so the client must resend each with
        // the same id.
        for (const auto& [index, write] : std::exchange(m_pending_writes, {})) {
            reply(write.client, write.request, control_outcome::unavailable, "leadership lost");
        }
    }
}

consensus::ready control_core::take_ready()
{
    return m_raft.take_ready();
}

std::shared_ptr<const consensus::snapshot> control_core::apply_ready(const consensus::ready& work)
{
    m_raft.persisted(m_clock.now());
    if (work.installed_snapshot) {
        m_state.restore(work.installed_snapshot->state);
        m_applied = work.installed_snapshot->last_index;
        m_applied_bytes = 0;
    }
    for (const auto& entry : work.committed) {
        apply(entry);
    }
    update_leadership();
    answer_confirmed_reads();
    if (!compaction_due()) {
        return nullptr;
    }
    auto created = m_raft.compact(m_applied, m_state.save());
    if (created) {
        m_applied_bytes = 0;
        m_compaction_requested = false;
    }
    return created;
}

bool control_core::compaction_due() const
{
    const auto& log = m_raft.log();
    if (m_applied <= log.base_index()) {
        return false;
    }
    const bool long_log = m_applied >= log.base_index() + m_options.compact_after ||
                          m_applied_bytes >= m_options.compact_after_bytes ||
                          m_compaction_requested;
    // The entries that follow the snapshot are written again, all at once. After a restart these
    // may be many, until they are applied.
    return long_log && unapplied_bytes() <= 2 * m_options.max_uncommitted_bytes;
}

std::uint64_t control_core::unapplied_bytes() const
{
    const auto bytes = m_raft.log().bytes();
    return bytes - std::min(bytes, m_applied_bytes);
}

void control_core::apply(const wire::log_entry_t& entry)
{
    auto answer = m_state.apply(entry);
    m_applied = entry.index;
    m_applied_bytes += entry.data.size();
    after_apply(entry);
    const auto [begin, end] = m_pending_writes.equal_range(entry.index);
    for (auto write = begin; write != end; ++write) {
        if (write->second.term == entry.term) {
            send(write->second.client, write->second.request, answer);
        }
        else {
            reply(write->second.client, write->second.request, control_outcome::unavailable,
                  "leadership changed");
        }
    }
    m_pending_writes.erase(begin, end);
}

void control_core::after_apply(const wire::log_entry_t& entry)
{
    if (entry.kind != wire::entry_kind::command) {
        return;
    }
    const std::string_view bytes{reinterpret_cast<const char*>(entry.data.data()),
                                 entry.data.size()};
    const auto command = wire::decode_table<wire::control_request_t>(bytes);
    if (!command) {
        return;
    }
    if (const auto* vm = command->body.Asregister_vm()) {
        const auto known = m_state.vms().find(vm->vm);
        if (known != m_state.vms().end() && known->second.incarnation == vm->incarnation) {
            m_sessions.start(vm->vm, vm->incarnation, m_clock.now());
        }
    }
    else if (const auto* expired = command->body.Asexpire_vm()) {
        if (!m_state.vms().contains(expired->vm)) {
            m_sessions.end(expired->vm);
        }
    }
    else if (command->body.type == wire::control_body::apply_change) {
        update_budget();
    }
}

void control_core::update_budget()
{
    const auto rate = config::loads_per_second(m_state.config());
    if (rate && *rate != m_permits.budget().loads_per_second) {
        auto budget = m_permits.budget();
        budget.loads_per_second = *rate;
        m_permits.set_budget(budget);
    }
}

std::vector<client_reply> control_core::take_replies()
{
    return std::exchange(m_replies, {});
}

void control_core::reply(client_id client, std::uint64_t request, control_outcome outcome,
                         std::string detail)
{
    wire::control_reply_t answer;
    answer.outcome = outcome;
    answer.detail = std::move(detail);
    send(client, request, std::move(answer));
}

void control_core::send(client_id client, std::uint64_t request, wire::control_reply_t answer)
{
    answer.id = request;
    m_replies.push_back({client, std::move(answer)});
}

void control_core::reply_not_leader(client_id client, std::uint64_t request)
{
    wire::control_reply_t answer;
    answer.outcome = control_outcome::not_leader;
    answer.leader_address = m_raft.leader_address();
    send(client, request, std::move(answer));
}

} // namespace siskindrift::control
