#include <algorithm>
#include <utility>

#include "siskindrift/consensus/raft_node.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::consensus {
namespace {

// Value of `snapshot_reply::next_offset` that reports that the snapshot is complete.
constexpr std::uint64_t snapshot_complete = UINT64_MAX;

member_list decode_members(const wire::log_entry_t& entry)
{
    const std::string_view bytes{reinterpret_cast<const char*>(entry.data.data()),
                                 entry.data.size()};
    member_list members;
    if (const auto list = wire::decode_table<wire::snapshot_file_t>(bytes)) {
        for (const auto& info : list->members) {
            members.push_back(*info);
        }
    }
    return members;
}

std::string encode_members(const member_list& members)
{
    wire::snapshot_file_t list;
    for (const auto& info : members) {
        wire::append(list.members, info);
    }
    return wire::encode_table(list);
}

} // namespace

std::optional<std::uint64_t> raft_node::propose(std::string data, std::uint64_t stamp_ms)
{
    if (m_role != role::leader) {
        return std::nullopt;
    }
    append_new_entry(wire::entry_kind::command, std::move(data), stamp_ms);
    return m_log.last_index();
}

std::optional<std::uint64_t> raft_node::propose_members(const member_list& members)
{
    if (!has_committed_in_term() || m_members_index > m_commit_index ||
        !is_single_voter_change(members)) {
        return std::nullopt;
    }
    append_new_entry(wire::entry_kind::members, encode_members(members), 0);
    return m_log.last_index();
}

bool raft_node::is_single_voter_change(const member_list& members) const
{
    std::size_t voter_changes = 0;
    std::size_t voters = 0;
    const auto voter_in = [](const member_list& list, std::uint64_t id) {
        return std::any_of(list.begin(), list.end(),
                           [&](const auto& info) { return info.id == id && info.voter; });
    };
    for (const auto& info : members) {
        voters += info.voter ? 1 : 0;
        voter_changes += info.voter && !voter_in(m_members, info.id) ? 1 : 0;
    }
    for (const auto& info : m_members) {
        voter_changes += info.voter && !voter_in(members, info.id) ? 1 : 0;
    }
    return voters > 0 && voter_changes <= 1;
}

std::uint64_t raft_node::request_read()
{
    m_read_requested = true;
    return m_round + 1;
}

void raft_node::append_new_entry(wire::entry_kind kind, std::string data, std::uint64_t stamp_ms)
{
    wire::log_entry_t entry;
    entry.term = m_hard.term;
    entry.index = m_log.last_index() + 1;
    entry.kind = kind;
    entry.stamp_ms = stamp_ms;
    entry.data.assign(data.begin(), data.end());
    if (m_first_unsaved_index == 0) {
        m_first_unsaved_index = entry.index;
    }
    m_log.append(std::move(entry));
    if (kind == wire::entry_kind::members) {
        apply_membership_change();
    }
}

void raft_node::apply_membership_change()
{
    recompute_members();
    if (m_role != role::leader) {
        return;
    }
    for (const auto& peer : peers()) {
        if (peer.id != m_self && !m_progress.contains(peer.id)) {
            m_progress[peer.id].next = m_log.last_index();
            m_progress[peer.id].last_ack = m_now;
        }
    }
    std::erase_if(m_progress, [&](const auto& item) { return find_member(item.first) == nullptr; });
}

void raft_node::recompute_members()
{
    // The newest member list in the log applies, committed or not.
    m_members = m_snapshot_members;
    m_previous_members = m_snapshot_members;
    m_members_index = m_log.base_index();
    bool found = false;
    for (auto index = m_log.last_index(); index > m_log.base_index(); --index) {
        const auto& entry = m_log.at(index);
        if (entry.kind != wire::entry_kind::members) {
            continue;
        }
        if (std::exchange(found, true)) {
            m_previous_members = decode_members(entry);
            break;
        }
        m_members = decode_members(entry);
        m_members_index = index;
    }
    std::erase_if(m_lost, [&](const auto& item) { return find_member(item.first) == nullptr; });
}

void raft_node::confirm_membership_change()
{
    // A replica that starts again doesn't know the commit index. A list that repeats the one
    // before shows it that the change is committed, so that the former voters don't count any more.
    const bool is_committed = m_members_index <= m_commit_index;
    if (m_role == role::leader && is_committed && m_members_index > m_log.base_index() &&
        !m_previous_members.empty() && voters_of(m_members) != voters_of(m_previous_members)) {
        append_new_entry(wire::entry_kind::members, encode_members(m_members), 0);
    }
}

void raft_node::broadcast(core::time_point now, bool heartbeat)
{
    if (heartbeat) {
        ++m_round;
        m_round_starts[m_round] = now;
        m_read_requested = false;
        m_heartbeat_due = now + m_options.heartbeat;
    }
    const auto targets = peers();
    for (const auto& peer : targets) {
        if (peer.id != m_self) {
            send_append(peer, now, heartbeat);
        }
    }
    if (heartbeat) {
        advance_confirmed_round();
    }
}

void raft_node::send_append(const wire::replica_info_t& to, core::time_point now, bool heartbeat)
{
    auto& peer = m_progress[to.id];
    const auto prev = peer.next - 1;
    const auto prev_term = m_log.term_at(prev);
    // A lost message would pause the peer forever, so it is sent again after two heartbeats.
    const bool resend = peer.paused && now - peer.last_send > m_options.heartbeat * 2;
    const bool has_entries = peer.next <= m_log.last_index() && (!peer.paused || resend);
    if (!prev_term) {
        if (!peer.paused || resend) {
            send_snapshot_chunk(to, peer);
            peer.last_send = now;
            return;
        }
        if (!heartbeat) {
            return;
        }
    }
    if (!heartbeat && !has_entries) {
        return;
    }
    wire::append_request_t request;
    request.address = self_address();
    request.cluster = m_hard.cluster;
    request.to = to.id;
    request.leader = m_self;
    request.term = m_hard.term;
    // During a snapshot transfer a heartbeat serves only to confirm the leadership.
    request.prev_index = prev_term ? prev : 0;
    request.prev_term = prev_term.value_or(0);
    request.commit = std::min(m_commit_index, peer.match);
    request.round = m_round;
    if (has_entries && prev_term) {
        const auto last = last_index_of_message(peer.next);
        for (auto index = peer.next; index <= last; ++index) {
            wire::append(request.entries, m_log.at(index));
        }
        request.commit = std::min(m_commit_index, last);
        peer.paused = true;
        peer.last_send = now;
    }
    m_messages_before_sync.push_back({to.address, wire::make_envelope(std::move(request))});
}

std::uint64_t raft_node::last_index_of_message(std::uint64_t first) const
{
    const auto end =
        std::min<std::uint64_t>(m_log.last_index(), first - 1 + m_options.max_entries_per_message);
    auto last = first;
    for (auto bytes = m_log.at(first).data.size(); last < end; ++last) {
        bytes += m_log.at(last + 1).data.size();
        if (bytes > m_options.max_entry_bytes_per_message) {
            break;
        }
    }
    return last;
}

void raft_node::send_snapshot_chunk(const wire::replica_info_t& to, progress& peer)
{
    if (!m_snapshot) {
        return;
    }
    const auto& state = m_snapshot->state;
    if (std::exchange(peer.snapshot_index, m_snapshot->last_index) != m_snapshot->last_index) {
        peer.snapshot_offset = 0; // the log was compacted since the last chunk
    }
    peer.snapshot_offset = std::min<std::uint64_t>(peer.snapshot_offset, state.size());
    const auto size = std::min<std::uint64_t>(m_options.snapshot_chunk_bytes,
                                              state.size() - peer.snapshot_offset);
    wire::snapshot_request_t request;
    request.address = self_address();
    request.cluster = m_hard.cluster;
    request.to = to.id;
    request.leader = m_self;
    request.term = m_hard.term;
    request.last_index = m_snapshot->last_index;
    request.last_term = m_snapshot->last_term;
    for (const auto& info : m_snapshot->members) {
        wire::append(request.members, info);
    }
    request.offset = peer.snapshot_offset;
    const auto begin = state.begin() + static_cast<std::ptrdiff_t>(request.offset);
    request.data.assign(begin, begin + static_cast<std::ptrdiff_t>(size));
    request.done = request.offset + size == state.size();
    request.round = m_round;
    peer.paused = true;
    m_messages_before_sync.push_back({to.address, wire::make_envelope(std::move(request))});
}

void raft_node::accept_leader(std::uint64_t term, std::uint64_t leader, core::time_point now)
{
    become_follower(term, leader);
    m_last_leader_contact = now;
    m_election_due = now + m_election_timeout;
}

void raft_node::handle(const wire::append_request_t& request, core::time_point now)
{
    if (request.to != m_self || request.cluster == 0) {
        return;
    }
    if (m_hard.cluster == 0) {
        // A new replica joins the cluster of the first leader it hears.
        m_hard.cluster = request.cluster;
    }
    if (request.cluster != m_hard.cluster) {
        return;
    }
    wire::append_reply_t reply;
    reply.from = m_self;
    if (request.term >= m_hard.term) {
        reply.round = request.round;
        accept_leader(request.term, request.leader, now);
        const auto prev_term = m_log.term_at(request.prev_index);
        // Entries that a snapshot covers are committed, so they match the leader's.
        const bool is_covered = request.prev_index < m_log.base_index();
        const bool matches = prev_term && *prev_term == request.prev_term;
        if (matches || (is_covered && request.prev_index != 0)) {
            append_from_leader(request);
            reply.success = true;
            reply.match_index = request.prev_index + request.entries.size();
            const auto commit = std::min(request.commit, reply.match_index);
            m_commit_index = std::max(m_commit_index, std::min(commit, m_log.last_index()));
        }
        else {
            reply.match_index = std::min(m_log.last_index(), request.prev_index - 1);
            if (request.prev_index == 0) {
                reply.match_index = m_log.last_index();
            }
        }
    }
    reply.term = m_hard.term;
    send_reply(request.leader, request.address, reply);
}

void raft_node::append_from_leader(const wire::append_request_t& request)
{
    for (const auto& entry : request.entries) {
        if (entry->index <= m_log.base_index()) {
            continue;
        }
        const auto own_term = m_log.term_at(entry->index);
        if (own_term && *own_term == entry->term) {
            continue;
        }
        if (own_term) {
            m_log.truncate_from(entry->index);
            m_persisted_index = std::min(m_persisted_index, entry->index - 1);
            recompute_members();
        }
        if (m_first_unsaved_index == 0 || entry->index < m_first_unsaved_index) {
            m_first_unsaved_index = entry->index;
        }
        m_log.append(*entry);
        if (entry->kind == wire::entry_kind::members) {
            recompute_members();
        }
    }
}

void raft_node::handle(const wire::append_reply_t& reply, core::time_point now)
{
    if (!is_addressed_to_self(reply.cluster, reply.to)) {
        return;
    }
    if (reply.term > m_hard.term) {
        become_follower(reply.term, 0);
        return;
    }
    const auto found = m_progress.find(reply.from);
    if (m_role != role::leader || reply.term != m_hard.term || found == m_progress.end()) {
        return;
    }
    auto& peer = found->second;
    peer.last_ack = now;
    peer.acked_round = std::max(peer.acked_round, reply.round);
    if (reply.success) {
        if (reply.match_index > peer.match || peer.next <= reply.match_index) {
            peer.match = std::max(peer.match, reply.match_index);
            peer.next = std::max(peer.next, reply.match_index + 1);
            peer.paused = false;
        }
        advance_commit();
    }
    else if (m_log.term_at(peer.next - 1)) {
        peer.next = std::max(peer.match + 1, std::min(peer.next - 1, reply.match_index + 1));
        peer.paused = false;
    }
    advance_confirmed_round();
}

void raft_node::handle(const wire::snapshot_request_t& request, core::time_point now)
{
    if (request.to != m_self || request.cluster == 0) {
        return;
    }
    if (m_hard.cluster == 0) {
        m_hard.cluster = request.cluster;
    }
    if (request.cluster != m_hard.cluster || request.term < m_hard.term) {
        return;
    }
    accept_leader(request.term, request.leader, now);
    wire::snapshot_reply_t reply;
    reply.from = m_self;
    reply.term = m_hard.term;
    reply.last_index = request.last_index;
    reply.round = request.round;
    if (request.offset == 0) {
        m_incoming_snapshot = snapshot{request.last_index, request.last_term, {}, {}};
    }
    const bool expected = m_incoming_snapshot.last_index == request.last_index &&
                          m_incoming_snapshot.state.size() == request.offset;
    if (expected) {
        m_incoming_snapshot.state.append(request.data.begin(), request.data.end());
        if (request.done) {
            for (const auto& info : request.members) {
                m_incoming_snapshot.members.push_back(*info);
            }
            install_snapshot(std::exchange(m_incoming_snapshot, {}));
        }
    }
    const bool is_complete =
        m_log.base_index() >= request.last_index || m_commit_index >= request.last_index;
    if (is_complete) {
        reply.next_offset = snapshot_complete;
    }
    else if (m_incoming_snapshot.last_index == request.last_index) {
        reply.next_offset = m_incoming_snapshot.state.size();
    }
    else {
        reply.next_offset = 0; // what was received is a part of another snapshot
    }
    send_reply(request.leader, request.address, reply);
}

void raft_node::install_snapshot(snapshot received)
{
    if (received.last_index <= m_commit_index) {
        return;
    }
    const bool log_matches = m_log.term_at(received.last_index) == received.last_term;
    if (log_matches) {
        m_log.compact_to(received.last_index);
    }
    else {
        m_log.reset(received.last_index, received.last_term);
        m_first_unsaved_index = 0;
    }
    m_snapshot_members = received.members;
    m_commit_index = m_delivered_index = received.last_index;
    m_snapshot = std::make_shared<const snapshot>(std::move(received));
    m_unsaved_snapshot = m_snapshot;
    if (m_log.last_index() > m_log.base_index()) {
        m_first_unsaved_index = m_log.base_index() + 1;
    }
    recompute_members();
}

void raft_node::handle(const wire::snapshot_reply_t& reply, core::time_point now)
{
    if (!is_addressed_to_self(reply.cluster, reply.to)) {
        return;
    }
    if (reply.term > m_hard.term) {
        become_follower(reply.term, 0);
        return;
    }
    const auto found = m_progress.find(reply.from);
    if (m_role != role::leader || reply.term != m_hard.term || found == m_progress.end()) {
        return;
    }
    auto& peer = found->second;
    peer.last_ack = now;
    peer.acked_round = std::max(peer.acked_round, reply.round);
    peer.paused = false;
    peer.snapshot_offset = reply.next_offset;
    if (reply.next_offset == snapshot_complete) {
        peer.match = std::max(peer.match, reply.last_index);
        peer.next = std::max(peer.next, reply.last_index + 1);
        peer.snapshot_offset = 0;
        advance_commit();
    }
    else if (!m_snapshot || reply.last_index != m_snapshot->last_index) {
        peer.snapshot_offset = 0;
    }
    advance_confirmed_round();
}

void raft_node::advance_commit()
{
    std::set<std::uint64_t, std::greater<>> candidates;
    for (const auto& peer : peers()) {
        if (peer.voter) {
            candidates.insert(match_index(peer.id));
        }
    }
    const auto committed =
        std::find_if(candidates.begin(), candidates.end(), [&](std::uint64_t candidate) {
            // Only entries of the current term are committed by counting replicas; earlier entries
            // are committed with them.
            return candidate <= m_commit_index || m_log.term_at(candidate) != m_hard.term ||
                   has_quorum(m_lost, [&](std::uint64_t id, std::uint64_t witness) {
                       return match_index(id) >= candidate && replied_after_loss(id, witness);
                   });
        });
    if (committed == candidates.end() || *committed <= m_commit_index ||
        m_log.term_at(*committed) != m_hard.term) {
        return;
    }
    const bool was_changing = is_changing_members();
    m_commit_index = *committed;
    if (was_changing && !is_changing_members()) {
        std::erase_if(m_progress,
                      [&](const auto& item) { return find_member(item.first) == nullptr; });
    }
    if (m_members_index <= m_commit_index && !is_voter()) {
        // A removed leader steps down once its removal is committed.
        become_follower(m_hard.term, 0);
    }
    confirm_membership_change();
}

void raft_node::advance_confirmed_round()
{
    if (!has_committed_in_term()) {
        return;
    }
    std::set<std::uint64_t, std::greater<>> candidates;
    for (const auto& peer : peers()) {
        if (peer.voter) {
            candidates.insert(acked_round(peer.id));
        }
    }
    const auto confirmed =
        std::find_if(candidates.begin(), candidates.end(), [&](std::uint64_t round) {
            return has_quorum(m_lost, [&](std::uint64_t id, std::uint64_t witness) {
                return acked_round(id) >= round && replied_after_loss(id, witness);
            });
        });
    if (confirmed != candidates.end()) {
        m_confirmed_round = std::max(m_confirmed_round, *confirmed);
    }
    m_round_starts.erase(m_round_starts.begin(), m_round_starts.lower_bound(m_confirmed_round));
}

std::shared_ptr<const snapshot> raft_node::compact(std::uint64_t index, std::string state)
{
    const auto term = m_log.term_at(index);
    if (!term || index > m_delivered_index || index <= m_log.base_index()) {
        return nullptr;
    }
    auto created = std::make_shared<snapshot>();
    created->last_index = index;
    created->last_term = *term;
    created->members = m_snapshot_members;
    for (auto i = m_log.base_index() + 1; i <= index; ++i) {
        if (m_log.at(i).kind == wire::entry_kind::members) {
            created->members = decode_members(m_log.at(i));
        }
    }
    created->state = std::move(state);
    m_snapshot_members = created->members;
    m_log.compact_to(index);
    m_snapshot = std::move(created);
    return m_snapshot;
}

} // namespace siskindrift::consensus
