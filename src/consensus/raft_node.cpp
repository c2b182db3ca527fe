#include "siskindrift/consensus/raft_node.h"

#include <algorithm>
#include <utility>

#include "siskindrift/wire/frame.h"

namespace siskindrift::consensus {
namespace {

const wire::replica_info_t* find_in(const member_list& members, std::uint64_t replica)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const auto& info) { return info.id == replica; });
    return found == members.end() ? nullptr : &*found;
}

} // namespace

std::vector<std::uint64_t> voters_of(const member_list& members)
{
    std::vector<std::uint64_t> voters;
    for (const auto& info : members) {
        if (info.voter) {
            voters.push_back(info.id);
        }
    }
    std::sort(voters.begin(), voters.end());
    return voters;
}

raft_node::raft_node(core::replica_id self, recovered_state recovered, raft_options options,
                     std::uint64_t seed, core::time_point now)
    : m_self(self.value()), m_options(options), m_random(seed), m_damaged(recovered.damaged),
      m_hard(recovered.hard), m_now(now), m_saved_hard_state(recovered.hard)
{
    if (recovered.base) {
        m_log.reset(recovered.base->last_index, recovered.base->last_term);
        m_snapshot_members = recovered.base->members;
        m_commit_index = m_delivered_index = recovered.base->last_index;
        m_snapshot = std::make_shared<const snapshot>(std::move(*recovered.base));
    }
    for (auto& entry : recovered.entries) {
        m_log.append(std::move(entry));
    }
    m_persisted_index = m_log.last_index();
    recompute_members();
    reset_election_timer(now);
    // The first election may start early: a running leader is usually heard before this timeout,
    // and otherwise the pre-vote phase keeps the election from disturbing it.
    m_election_due = now + options.first_election +
                     core::duration{core::uniform_below(
                         m_random, static_cast<std::uint64_t>(options.first_election.count()) + 1)};
}

bool raft_node::bootstrap(std::uint64_t cluster, const std::string& vm, const std::string& address)
{
    if (m_hard.cluster != 0 || m_damaged || cluster == 0) {
        return false;
    }
    m_hard.cluster = cluster;
    m_hard.term = 1;
    wire::snapshot_file_t list;
    wire::replica_info_t own;
    own.id = m_self;
    own.vm = vm;
    own.address = address;
    own.voter = true;
    wire::append(list.members, own);
    append_new_entry(wire::entry_kind::members, wire::encode_table(list), 0);
    return true;
}

void raft_node::step(const wire::envelope_t& message, core::time_point now)
{
    m_now = now;
    if (m_damaged) {
        return;
    }
    const auto& body = message.body;
    if (const auto* append_request = body.Asappend_request()) {
        handle(*append_request, now);
    }
    else if (const auto* append_reply = body.Asappend_reply()) {
        handle(*append_reply, now);
    }
    else if (const auto* vote_request = body.Asvote_request()) {
        handle(*vote_request, now);
    }
    else if (const auto* vote_reply = body.Asvote_reply()) {
        handle(*vote_reply, now);
    }
    else if (const auto* snapshot_request = body.Assnapshot_request()) {
        handle(*snapshot_request, now);
    }
    else if (const auto* snapshot_reply = body.Assnapshot_reply()) {
        handle(*snapshot_reply, now);
    }
    else if (const auto* timeout_now = body.Astimeout_now()) {
        handle(*timeout_now, now);
    }
}

void raft_node::tick(core::time_point now)
{
    m_now = now;
    if (m_damaged || m_hard.cluster == 0) {
        return;
    }
    if (m_role == role::leader) {
        check_quorum(now);
        if (m_role == role::leader && m_transfer_begun_at &&
            now - *m_transfer_begun_at >= m_options.election_max) {
            become_follower(m_hard.term, 0); // a leader without a lease can't do its work
        }
        if (m_role == role::leader && now >= m_heartbeat_due) {
            broadcast(now, true);
        }
        return;
    }
    if (now >= m_election_due && is_voter()) {
        become_pre_candidate(now);
    }
}

bool raft_node::has_committed_in_term() const
{
    return is_leader() && m_log.term_at(m_commit_index) == m_hard.term;
}

std::string raft_node::leader_address() const
{
    const auto* found = find_member(m_leader);
    return found != nullptr ? found->address : std::string{};
}

std::uint64_t raft_node::match_index(std::uint64_t replica) const
{
    if (replica == m_self) {
        return m_persisted_index;
    }
    const auto found = m_progress.find(replica);
    return found == m_progress.end() ? 0 : found->second.match;
}

core::time_point raft_node::lease_end(core::duration drift) const
{
    const auto start = m_round_starts.find(m_confirmed_round);
    if (m_role != role::leader || m_transfer_begun_at || start == m_round_starts.end()) {
        return {};
    }
    return start->second + m_options.election_min - drift;
}

std::optional<core::time_point> raft_node::last_ack(std::uint64_t replica) const
{
    const auto found = m_progress.find(replica);
    return found == m_progress.end() ? std::nullopt : std::optional{found->second.last_ack};
}

bool raft_node::is_voter() const
{
    const auto* own = find_in(m_members, m_self);
    return own != nullptr && own->voter;
}

const wire::replica_info_t* raft_node::find_member(std::uint64_t replica) const
{
    if (const auto* found = find_in(m_members, replica)) {
        return found;
    }
    return is_changing_members() ? find_in(m_previous_members, replica) : nullptr;
}

bool raft_node::is_changing_members() const
{
    return m_members_index > m_commit_index && !m_previous_members.empty();
}

member_list raft_node::peers() const
{
    auto list = m_members;
    if (is_changing_members()) {
        for (const auto& info : m_previous_members) {
            if (find_in(m_members, info.id) == nullptr) {
                list.push_back(info);
            }
        }
    }
    return list;
}

bool raft_node::mark_lost(std::uint64_t replica)
{
    if (replica == m_self || find_member(replica) == nullptr || m_lost.contains(replica)) {
        return false;
    }
    m_lost[replica] = m_round + 1;
    m_read_requested = m_role == role::leader; // the replies to a new round count
    return true;
}

std::uint64_t raft_node::acked_round(std::uint64_t replica) const
{
    if (replica == m_self) {
        return m_round;
    }
    const auto found = m_progress.find(replica);
    return found == m_progress.end() ? 0 : found->second.acked_round;
}

bool raft_node::replied_after_loss(std::uint64_t replica, std::uint64_t witness) const
{
    return witness == 0 || replica == m_self || acked_round(replica) >= m_lost.at(witness);
}

bool raft_node::could_commit(const member_list& members, core::time_point since) const
{
    const auto decides = [&](const member_list& list) {
        return is_quorum(
            voters_of(list), [&](std::uint64_t id) { return m_lost.contains(id); },
            [&](std::uint64_t id, std::uint64_t) {
                const auto last = last_ack(id);
                return id == m_self || (last && *last >= since);
            });
    };
    return decides(m_members) && decides(members);
}

bool raft_node::is_addressed_to_self(std::uint64_t cluster, std::uint64_t to) const
{
    return to == m_self && cluster != 0 && cluster == m_hard.cluster;
}

template <class Message>
void raft_node::send(std::uint64_t to, Message message)
{
    const auto* target = find_member(to);
    if (target == nullptr) {
        return;
    }
    message.cluster = m_hard.cluster;
    message.to = to;
    m_messages_after_sync.push_back({target->address, wire::make_envelope(std::move(message))});
}

std::string raft_node::self_address() const
{
    const auto* own = find_member(m_self);
    return own != nullptr ? own->address : std::string{};
}

void raft_node::reset_election_timer(core::time_point now)
{
    const auto spread =
        static_cast<std::uint64_t>((m_options.election_max - m_options.election_min).count());
    m_election_timeout =
        m_options.election_min + core::duration{core::uniform_below(m_random, spread + 1)};
    m_election_due = now + m_election_timeout;
}

void raft_node::become_follower(std::uint64_t term, std::uint64_t leader)
{
    if (term > m_hard.term) {
        m_hard.term = term;
        m_hard.voted_for = 0;
    }
    if (m_role != role::follower) {
        reset_election_timer(m_now);
    }
    m_role = role::follower;
    m_leader = leader;
    m_progress.clear();
    m_votes.clear();
    m_self_vote_unsynced = false;
    m_read_requested = false;
}

void raft_node::become_pre_candidate(core::time_point now)
{
    m_role = role::pre_candidate;
    m_leader = 0;
    m_votes.clear();
    record_known_losses();
    reset_election_timer(now);
    request_votes(true, false);
    count_vote(m_self, now);
}

void raft_node::become_candidate(core::time_point now, bool transfer)
{
    m_role = role::candidate;
    m_leader = 0;
    ++m_hard.term;
    m_hard.voted_for = m_self;
    m_votes.clear();
    record_known_losses();
    m_self_vote_unsynced = true; // `persisted` counts the vote once it is on disk
    reset_election_timer(now);
    request_votes(false, transfer);
}

void raft_node::record_known_losses()
{
    m_lost_before_votes.clear();
    for (const auto& [replica, round] : m_lost) {
        m_lost_before_votes.insert(replica);
    }
}

void raft_node::request_votes(bool pre_vote, bool transfer)
{
    for (const auto& peer : peers()) {
        if (peer.id == m_self || !peer.voter) {
            continue;
        }
        wire::vote_request_t request;
        request.candidate = m_self;
        request.address = self_address();
        request.term = pre_vote ? m_hard.term + 1 : m_hard.term;
        request.last_index = m_log.last_index();
        request.last_term = m_log.last_term();
        request.pre_vote = pre_vote;
        request.transfer = transfer;
        send(peer.id, request);
    }
}

void raft_node::count_vote(std::uint64_t voter, core::time_point now)
{
    const auto* info = find_member(voter);
    if (info == nullptr || !info->voter) {
        return;
    }
    if (std::find(m_votes.begin(), m_votes.end(), voter) == m_votes.end()) {
        m_votes.push_back(voter);
    }
    // All votes were requested after the losses in `m_lost_before_votes` were known.
    const bool elected = has_quorum(m_lost_before_votes, [&](std::uint64_t id, std::uint64_t) {
        return std::find(m_votes.begin(), m_votes.end(), id) != m_votes.end();
    });
    if (!elected) {
        return;
    }
    if (m_role == role::pre_candidate) {
        become_candidate(now, false);
    }
    else if (m_role == role::candidate) {
        become_leader(now);
    }
}

void raft_node::become_leader(core::time_point now)
{
    m_role = role::leader;
    m_leader = m_self;
    m_transfer_begun_at.reset();
    m_progress.clear();
    m_confirmed_round = 0;
    m_round = 0;
    m_round_starts.clear();
    for (auto& [replica, round] : m_lost) {
        round = 1; // all messages of this term are sent from now on
    }
    for (const auto& peer : peers()) {
        if (peer.id != m_self) {
            m_progress[peer.id].next = m_log.last_index() + 1;
            m_progress[peer.id].last_ack = now;
        }
    }
    append_new_entry(wire::entry_kind::noop, {}, 0);
    broadcast(now, true);
}

bool raft_node::is_log_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const
{
    if (last_term != m_log.last_term()) {
        return last_term > m_log.last_term();
    }
    return last_index >= m_log.last_index();
}

bool raft_node::heard_from_leader_recently(core::time_point now) const
{
    if (m_role == role::leader) {
        return true;
    }
    return m_leader != 0 && now - m_last_leader_contact < m_options.election_min;
}

void raft_node::handle(const wire::vote_request_t& request, core::time_point now)
{
    if (!is_addressed_to_self(request.cluster, request.to)) {
        return;
    }
    wire::vote_reply_t reply;
    reply.from = m_self;
    reply.pre_vote = request.pre_vote;
    // A replica that hears a leader grants no vote, except for a leadership transfer. The leader
    // lease and the pre-vote phase rely on this.
    const bool disruptive = heard_from_leader_recently(now) && !request.transfer;
    if (!request.pre_vote && !disruptive && request.term > m_hard.term) {
        become_follower(request.term, 0);
    }
    const bool up_to_date = is_log_up_to_date(request.last_index, request.last_term);
    if (request.pre_vote) {
        reply.granted = !disruptive && up_to_date && request.term > m_hard.term;
    }
    else {
        const bool can_vote = m_hard.voted_for == 0 || m_hard.voted_for == request.candidate;
        reply.granted = !disruptive && up_to_date && can_vote && request.term == m_hard.term &&
                        m_role == role::follower;
    }
    if (reply.granted && !request.pre_vote) {
        m_hard.voted_for = request.candidate;
        reset_election_timer(now);
    }
    reply.term = reply.granted ? request.term : m_hard.term;
    send_reply(request.candidate, request.address, reply);
}

void raft_node::handle(const wire::vote_reply_t& reply, core::time_point now)
{
    if (!is_addressed_to_self(reply.cluster, reply.to)) {
        return;
    }
    if (!reply.granted && reply.term > m_hard.term) {
        become_follower(reply.term, 0);
        return;
    }
    const bool pre_vote =
        m_role == role::pre_candidate && reply.pre_vote && reply.term == m_hard.term + 1;
    const bool regular_vote =
        m_role == role::candidate && !reply.pre_vote && reply.term == m_hard.term;
    if (reply.granted && (pre_vote || regular_vote)) {
        count_vote(reply.from, now);
    }
}

void raft_node::handle(const wire::timeout_now_t& request, core::time_point now)
{
    const bool valid =
        is_addressed_to_self(request.cluster, request.to) && request.term == m_hard.term;
    if (valid && m_role == role::follower && is_voter()) {
        become_candidate(now, true);
    }
}

void raft_node::check_quorum(core::time_point now)
{
    // A leader that no quorum has replied to within the longest election timeout steps down.
    const bool heard = has_quorum(m_lost, [&](std::uint64_t id, std::uint64_t) {
        const auto last = last_ack(id);
        return id == m_self || (last && now - *last < m_options.election_max);
    });
    if (!heard) {
        become_follower(m_hard.term, 0);
    }
}

void raft_node::transfer_leadership(core::time_point now)
{
    if (m_role != role::leader) {
        return;
    }
    std::uint64_t best = 0;
    // Voter with the highest match index among the other voters.
    for (const auto& peer : m_members) {
        const bool candidate = peer.id != m_self && peer.voter && !m_lost.contains(peer.id);
        if (candidate && (best == 0 || match_index(peer.id) > match_index(best))) {
            best = peer.id;
        }
    }
    if (best == 0) {
        return;
    }
    m_transfer_begun_at = now;
    broadcast(now, false);
    wire::timeout_now_t request;
    request.leader = m_self;
    request.term = m_hard.term;
    send(best, request);
}

ready raft_node::take_ready()
{
    if (m_role == role::leader) {
        broadcast(m_now, m_read_requested);
    }
    ready work;
    work.messages_before_sync = std::exchange(m_messages_before_sync, {});
    work.messages_after_sync = std::exchange(m_messages_after_sync, {});
    if (m_saved_hard_state != m_hard) {
        work.hard = m_hard;
        m_saved_hard_state = m_hard;
    }
    work.installed_snapshot = std::exchange(m_unsaved_snapshot, nullptr);
    if (m_first_unsaved_index != 0) {
        for (auto index = std::max(m_first_unsaved_index, m_log.base_index() + 1);
             index <= m_log.last_index(); ++index) {
            work.entries.push_back(m_log.at(index));
        }
        m_first_unsaved_index = 0;
    }
    for (std::size_t bytes = 0; m_delivered_index < m_commit_index;) {
        const auto& entry = m_log.at(m_delivered_index + 1);
        bytes += entry.data.size();
        if (bytes > m_options.max_committed_bytes_per_batch && !work.committed.empty()) {
            break;
        }
        work.committed.push_back(entry);
        ++m_delivered_index;
    }
    return work;
}

void raft_node::persisted(core::time_point now)
{
    m_now = now;
    m_persisted_index = m_log.last_index();
    if (std::exchange(m_self_vote_unsynced, false) && m_role == role::candidate) {
        count_vote(m_self, now);
    }
    if (m_role == role::leader) {
        advance_commit();
        advance_confirmed_round();
    }
}

} // namespace siskindrift::consensus
