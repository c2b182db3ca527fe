#include "control_world.h"

#include <algorithm>
#include <array>

#include "siskindrift/wire/frame.h"

namespace siskindrift::tests {

namespace {

constexpr core::milliseconds tick{10};
constexpr double permit_rate = 2.0;
constexpr double permit_burst = 2.0;

std::string address_of(std::size_t index)
{
    return "replica-" + std::to_string(index);
}

std::string vm_name(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

std::string key_name(std::uint8_t number)
{
    return "key-" + std::to_string(number % 6);
}

const std::array<const char*, static_cast<std::size_t>(step_kind::count)> step_names{
    "run",         "kill",        "restart",       "wipe",    "tear_write",  "freeze",
    "thaw",        "cut_one_way", "cut_both_ways", "heal",    "change",      "resend_change",
    "race_change", "read",        "add_learner",   "promote", "remove_lost", "register_vm",
    "renew",       "acquire",     "release",       "claim",   "finish",      "permit",
    "transfer",    "depose",      "steal"};

} // namespace

std::ostream& operator<<(std::ostream& out, const step& value)
{
    return out << step_names[static_cast<std::size_t>(value.kind)] << "(" << int{value.a} << ","
               << int{value.b} << ")";
}

control_world::control_world(std::uint64_t seed) : m_random(seed)
{
    constexpr std::array rates{1.0, 1.02, 0.98};
    m_replicas.resize(replica_count);
    for (std::size_t i = 0; i < replica_count; ++i) {
        auto& one = m_replicas[i];
        one.id = m_next_replica_id++;
        one.rate = rates[i];
        one.clock = std::make_unique<core::manual_clock>();
        start(one, i);
    }
    m_vms.resize(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
        m_vms[i].rate = rates[replica_count - 1 - i];
        m_vms[i].clock = std::make_unique<core::manual_clock>();
    }
    wire::form_cluster_t form;
    form.vm = vm_name(0);
    form.address = address_of(0);
    m_replicas[0].core->on_request(0, wire::make_control_request(form));
    run_for(core::milliseconds{1500});
    for (std::size_t i = 1; i < replica_count; ++i) {
        for (const bool voter : {false, true}) {
            wire::change_member_t request;
            request.id = m_replicas[i].id;
            request.vm = vm_name(i);
            request.address = address_of(i);
            request.add = true;
            request.voter = voter;
            m_replicas[0].core->on_request(0, wire::make_control_request(request));
            run_for(core::milliseconds{400});
        }
    }
}

void control_world::start(replica& one, std::size_t)
{
    consensus::recovered_state recovered;
    recovered.hard = one.stored.hard;
    recovered.base = one.stored.base;
    recovered.entries = one.stored.entries;
    control::control_options options;
    options.compact_after = 40; // low, so that snapshots and their transfer happen often
    options.raft.snapshot_chunk_bytes = 512;
    options.raft.max_entries_per_message = 8;
    one.core = std::make_unique<control::control_core>(core::replica_id{one.id}, recovered, options,
                                                       m_random(), *one.clock, nullptr);
    one.frozen = false;
    one.tear_next_write = false;
    one.frozen_messages.clear();
    one.frozen_requests.clear();
}

void control_world::record_violation(const std::string& text)
{
    if (m_violation.empty()) {
        m_violation = "at " + std::to_string(m_now_ms) + " ms: " + text;
    }
}

void control_world::persist(replica& one, const consensus::ready& work)
{
    auto& stored = one.stored;
    if (work.hard) {
        stored.hard = *work.hard;
    }
    if (work.installed_snapshot) {
        stored.base = *work.installed_snapshot;
        std::erase_if(stored.entries,
                      [&](const auto& entry) { return entry.index <= stored.base->last_index; });
        if (!stored.entries.empty() &&
            stored.entries.front().index != stored.base->last_index + 1) {
            stored.entries.clear();
        }
    }
    if (!work.entries.empty()) {
        std::erase_if(stored.entries,
                      [&](const auto& entry) { return entry.index >= work.entries.front().index; });
        stored.entries.insert(stored.entries.end(), work.entries.begin(), work.entries.end());
    }
}

void control_world::check_commits(const replica& one, const consensus::ready& work)
{
    for (const auto& entry : work.committed) {
        const auto bytes = wire::encode_table(entry);
        const auto [known, inserted] = m_committed.emplace(entry.index, bytes);
        if (!inserted && known->second != bytes) {
            record_violation("committed entry " + std::to_string(entry.index) + " differs");
        }
    }
    const auto digest = one.core->state().digest();
    const auto [known, inserted] = m_state_digests.emplace(one.core->applied(), digest);
    if (!inserted && known->second != digest) {
        record_violation("states differ at index " + std::to_string(one.core->applied()));
    }
    if (one.core->raft().is_leader()) {
        const auto [term, fresh] = m_leader_of_term.emplace(one.core->raft().term(), one.id);
        if (!fresh && term->second != one.id) {
            record_violation("two leaders in term " + std::to_string(term->first));
        }
    }
}

void control_world::process_ready(std::size_t index)
{
    auto& one = m_replicas[index];
    if (!one.core || one.frozen) {
        return;
    }
    // Replicas learn at different times that a disk is lost.
    constexpr std::uint64_t ticks_until_a_loss_is_known = 20;
    for (const auto wiped : m_wiped_ids) {
        if (core::uniform_below(m_random, ticks_until_a_loss_is_known) == 0) {
            one.core->mark_lost(wiped);
        }
    }
    one.core->tick();
    const auto work = one.core->take_ready();
    send_messages(index, work.messages_before_sync);
    if (one.tear_next_write && work.must_write()) {
        one.core.reset(); // crashed during the write; nothing of it was persisted
        return;
    }
    persist(one, work);
    send_messages(index, work.messages_after_sync);
    if (const auto snapshot = one.core->apply_ready(work)) {
        one.stored.base = *snapshot;
        std::erase_if(one.stored.entries,
                      [&](const auto& entry) { return entry.index <= snapshot->last_index; });
    }
    check_commits(one, work);
    for (const auto& reply : one.core->take_replies()) {
        on_reply(reply);
    }
}

void control_world::send_messages(std::size_t from,
                                  const std::vector<consensus::outgoing_message>& messages)
{
    for (const auto& item : messages) {
        for (std::size_t to = 0; to < m_replicas.size(); ++to) {
            if (item.address != address_of(to) || m_cuts.contains({from, to})) {
                continue;
            }
            const auto roll = core::uniform_below(m_random, 100);
            if (roll < 3) {
                continue; // lost
            }
            const int copies = roll < 6 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = roll < 15 ? core::uniform_below(m_random, 120)
                                             : core::uniform_below(m_random, 8);
                m_in_flight.emplace(m_now_ms + delay, in_flight_message{from, to, item.message});
            }
        }
    }
}

void control_world::deliver()
{
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now_ms) {
        const auto item = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        auto& target = m_replicas[item.to];
        if (!target.core || m_cuts.contains({item.from, item.to})) {
            continue;
        }
        if (target.frozen) {
            target.frozen_messages.push_back(item.message);
            continue;
        }
        target.core->on_peer(item.message);
    }
}

void control_world::run_for(core::milliseconds length)
{
    const auto end = m_now_ms + static_cast<std::uint64_t>(length.count());
    while (m_now_ms < end && m_violation.empty()) {
        m_now_ms += static_cast<std::uint64_t>(tick.count());
        const auto advance = [](core::manual_clock& clock, double rate) {
            clock.advance(std::chrono::duration_cast<core::duration>(tick * rate));
        };
        for (auto& one : m_replicas) {
            advance(*one.clock, one.rate);
        }
        for (auto& one : m_vms) {
            advance(*one.clock, one.rate);
        }
        deliver();
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            process_ready(i);
        }
        check_single_owner();
    }
}

std::optional<std::size_t> control_world::leader_at() const
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        const auto& one = m_replicas[i];
        if (one.core && !one.frozen && one.core->raft().has_committed_in_term()) {
            return i;
        }
    }
    return std::nullopt;
}

bool control_world::has_leader() const
{
    return leader_at().has_value();
}

bool control_world::all_voters_intact() const
{
    const auto leader = leader_at();
    if (!leader) {
        return false;
    }
    const auto& raft = m_replicas[*leader].core->raft();
    std::size_t voters = 0;
    for (const auto& info : raft.members()) {
        const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                        [&](const auto& one) { return one.id == info.id; });
        const bool caught_up =
            found != m_replicas.end() && raft.match_index(info.id) >= raft.commit_index();
        if (info.voter && !caught_up) {
            return false;
        }
        voters += info.voter ? 1 : 0;
    }
    return voters >= replica_count;
}

void control_world::submit(std::size_t index, wire::control_request_t request,
                           issued_request issued)
{
    auto& target = m_replicas[index % m_replicas.size()];
    request.id = m_next_request++;
    m_issued[request.id] = std::move(issued);
    if (!target.core) {
        return;
    }
    if (target.frozen) {
        target.frozen_requests.emplace_back(1, request);
        return;
    }
    target.core->on_request(1, request);
}

void control_world::on_reply(const control::client_reply& reply)
{
    const auto found = m_issued.find(reply.reply.id);
    if (found == m_issued.end()) {
        return;
    }
    const auto issued = found->second;
    const auto& answer = reply.reply;
    const bool known = answer.outcome == wire::control_outcome::ok ||
                       answer.outcome == wire::control_outcome::conflict;
    if (!known) {
        return;
    }
    if (issued.kind == step_kind::change) {
        check_change(issued, answer);
    }
    else if (issued.kind == step_kind::claim) {
        check_claim(issued, answer);
    }
    else if (const auto* page = answer.body.Asconfig_page()) {
        if (page->revision < issued.base_revision) {
            record_violation("a read returned revision " + std::to_string(page->revision) +
                             " after " + std::to_string(issued.base_revision) + " was accepted");
        }
    }
    else if (const auto* grant = answer.body.Assession_grant()) {
        on_grant(issued, *grant);
    }
    else if (answer.body.type == wire::reply_body::permit_grant) {
        check_permit_budget();
    }
}

void control_world::check_change(const issued_request& issued, const wire::control_reply_t& reply)
{
    const auto text = wire::encode_table(*reply.body.Aschange_result()) +
                      std::to_string(static_cast<int>(reply.outcome));
    const auto [known, inserted] = m_change_answers.emplace(issued.subject, text);
    if (!inserted && known->second != text) {
        record_violation("change " + issued.subject + " got two different answers");
    }
    if (reply.outcome != wire::control_outcome::ok) {
        return;
    }
    const auto revision = reply.body.Aschange_result()->revision;
    if (revision != issued.base_revision + 1) {
        record_violation(issued.subject + " expected revision " +
                         std::to_string(issued.base_revision) + " but became " +
                         std::to_string(revision));
    }
    const auto [winner, first] = m_accepted_by_revision.emplace(revision, issued.subject);
    if (!first && winner->second != issued.subject) {
        record_violation("two changes were accepted as revision " + std::to_string(revision));
    }
    m_latest_revision = std::max(m_latest_revision, revision);
}

void control_world::check_claim(const issued_request& issued, const wire::control_reply_t& reply)
{
    const auto* result = reply.body.Asclaim_result();
    if (result == nullptr || result->state != wire::claim_state::granted) {
        return;
    }
    const auto [holder, first] = m_claim_holders.emplace(issued.subject, issued.request_id);
    if (!first && holder->second != issued.request_id) {
        if (!m_released_claims.contains(issued.subject + holder->second)) {
            record_violation(issued.subject + " was granted to " + holder->second + " and " +
                             issued.request_id);
        }
        holder->second = issued.request_id;
    }
}

void control_world::on_grant(const issued_request& issued, const wire::session_grant_t& grant)
{
    auto& holder = m_vms[issued.vm];
    holder.lease_until =
        std::max(holder.lease_until, issued.vm_time + core::milliseconds{grant.ttl_ms});
    if (!grant.ownership_included) {
        return;
    }
    if (grant.ownership_version < holder.version) {
        return;
    }
    holder.version = grant.ownership_version;
    holder.owned.clear();
    for (const auto& owned : grant.ownerships) {
        if (owned->vm == vm_name(issued.vm)) {
            holder.owned[owned->upstream] = owned->fencing;
        }
    }
}

void control_world::check_single_owner()
{
    std::map<std::string, std::size_t> owners;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (m_vms[i].clock->now() >= m_vms[i].lease_until) {
            continue;
        }
        for (const auto& [upstream, fencing] : m_vms[i].owned) {
            const auto [other, first] = owners.emplace(upstream, i);
            if (!first) {
                record_violation(upstream + " has two owners under leases: " +
                                 vm_name(other->second) + " and " + vm_name(i));
            }
        }
    }
}

void control_world::check_permit_budget()
{
    const double now_s = static_cast<double>(m_now_ms) / 1000.0;
    m_permit_times.push_back(now_s);
    // The granting replica's clock may run fast within its drift bound.
    constexpr double clock_slack = 1.03;
    for (std::size_t i = 0; i < m_permit_times.size(); ++i) {
        const double window = now_s - m_permit_times[i];
        const auto granted = static_cast<double>(m_permit_times.size() - i);
        if (granted > permit_burst + permit_rate * window * clock_slack + 0.1) {
            record_violation("the permit budget was exceeded: " + std::to_string(granted) +
                             " permits in " + std::to_string(window) + " s");
            return;
        }
    }
    while (m_permit_times.size() > 200) {
        m_permit_times.pop_front();
    }
}

void control_world::change(const std::string& id, std::uint64_t expected, std::size_t index)
{
    m_expected.try_emplace(std::stoull(id.substr(id.find('-') + 1)), expected);
    wire::apply_change_t request;
    request.change_id = id;
    request.operator_name = "operator";
    request.expected_revision = expected;
    wire::config_operation_t operation;
    operation.key = "adapter/" + std::to_string(core::uniform_below(m_random, 20));
    operation.value = id;
    wire::append(request.operations, operation);
    issued_request issued;
    issued.kind = step_kind::change;
    issued.subject = id;
    issued.base_revision = expected;
    submit(index, wire::make_control_request(request), issued);
}

void control_world::member_step(const step& next)
{
    const auto leader = leader_at();
    if (!leader) {
        return;
    }
    const auto& raft = m_replicas[*leader].core->raft();
    wire::change_member_t request;
    if (next.kind == step_kind::remove_lost) {
        for (const auto& info : raft.members()) {
            request.id = m_wiped_ids.contains(info.id) ? info.id : request.id;
        }
        const bool replaced = std::count_if(raft.members().begin(), raft.members().end(),
                                            [](const auto& info) { return info.voter; }) >
                              static_cast<std::ptrdiff_t>(replica_count);
        if (request.id == 0 || !replaced) {
            return;
        }
    }
    else {
        const std::size_t index = next.a % m_replicas.size();
        request.id = m_replicas[index].id;
        request.vm = vm_name(index);
        request.address = address_of(index);
        request.add = true;
        request.voter = next.kind == step_kind::promote;
        const bool known =
            std::any_of(raft.members().begin(), raft.members().end(), [&](const auto& info) {
                return info.id == request.id && (info.voter || !request.voter);
            });
        if (known) {
            return;
        }
    }
    submit(*leader, wire::make_control_request(request), {});
}

void control_world::vm_step(const step& next)
{
    const std::size_t index = next.a % m_vms.size();
    const auto upstream = "upstream-" + std::to_string(next.b % 3);
    issued_request issued;
    issued.kind = next.kind;
    issued.vm = index;
    issued.vm_time = m_vms[index].clock->now();
    const auto target = leader_at().value_or(next.b);
    if (next.kind == step_kind::register_vm) {
        wire::register_vm_t request;
        request.vm = vm_name(index);
        request.incarnation = 1;
        submit(target, wire::make_control_request(request), issued);
    }
    else if (next.kind == step_kind::renew) {
        wire::renew_session_t request;
        request.vm = vm_name(index);
        request.incarnation = 1;
        request.ownership_version = 0;
        // Even operands go to the leader, odd ones to the replica that they select, which may
        // wrongly believe that it leads.
        submit(next.b % 2 == 0 ? target : next.b, wire::make_control_request(request), issued);
    }
    else if (next.kind == step_kind::acquire) {
        wire::acquire_upstream_t request;
        request.upstream = upstream;
        request.vm = vm_name(index);
        request.incarnation = 1;
        submit(target, wire::make_control_request(request), issued);
    }
    else if (const auto owned = m_vms[index].owned.find(upstream);
             owned != m_vms[index].owned.end()) {
        wire::release_upstream_t request;
        request.upstream = upstream;
        request.vm = vm_name(index);
        request.incarnation = 1;
        request.fencing = owned->second;
        // The holder stops using the upstream before it sends the release, and ignores older
        // ownership lists until it renews.
        m_vms[index].owned.erase(owned);
        m_vms[index].version = UINT64_MAX;
        m_vms[index].lease_until = {};
        m_vms[index].version = 0;
        submit(target, wire::make_control_request(request), issued);
    }
}

void control_world::claim_step(const step& next)
{
    issued_request issued;
    issued.kind = next.kind;
    issued.subject = key_name(next.a);
    issued.request_id = "request-" + std::to_string(next.b % 8);
    const auto target = leader_at().value_or(next.b);
    if (next.kind == step_kind::claim) {
        wire::take_claim_t request;
        request.team = "team";
        request.key = issued.subject;
        request.key_time_ms = m_replicas[0].clock->wall_ms();
        request.body_hash = 7;
        request.request_id = issued.request_id;
        submit(target, wire::make_control_request(request), issued);
        return;
    }
    wire::finish_claim_t request;
    request.team = "team";
    request.key = issued.subject;
    const auto holder = m_claim_holders.find(issued.subject);
    if (holder == m_claim_holders.end()) {
        return;
    }
    request.request_id = holder->second;
    request.release = next.b % 4 == 0;
    request.ran = !request.release;
    if (request.release) {
        m_released_claims.insert(issued.subject + holder->second);
    }
    submit(target, wire::make_control_request(request), issued);
}

// Partitions the leader from the other replicas, waits until they elect a successor that accepts
// a change, and then sends a read and a renewal to the old leader.
void control_world::isolate_leader_step(const step& next)
{
    const auto old = leader_at();
    if (!old) {
        return;
    }
    for (std::size_t other = 0; other < m_replicas.size(); ++other) {
        if (other != *old) {
            m_cuts.insert({*old, other});
            m_cuts.insert({other, *old});
        }
    }
    for (int waited = 0; waited < 200; ++waited) {
        run_for(core::milliseconds{10});
        for (std::size_t index = 0; index < m_replicas.size(); ++index) {
            const auto& one = m_replicas[index];
            if (index == *old || !one.core || one.frozen ||
                !one.core->raft().has_committed_in_term()) {
                continue;
            }
            change("change-" + std::to_string(m_next_change++), one.core->state().revision(),
                   index);
            run_for(core::milliseconds{30});
            apply({step_kind::read, static_cast<std::uint8_t>(*old), 0});
            // An odd operand sends the renewal to that replica even if it does not lead.
            const auto odd =
                static_cast<std::uint8_t>(*old % 2 == 1 ? *old : *old + m_replicas.size());
            apply({step_kind::renew, next.a, odd});
            return;
        }
    }
}

// One VM acquires an upstream and stops renewing; another tries to acquire it meanwhile.
void control_world::contend_step(const step& next)
{
    const auto holder = static_cast<std::uint8_t>(next.a % m_vms.size());
    const auto contender = static_cast<std::uint8_t>((next.a + 1) % m_vms.size());
    for (const auto vm : {holder, contender}) {
        apply({step_kind::register_vm, vm, 0});
    }
    apply({step_kind::acquire, holder, 0});
    apply({step_kind::renew, holder, 0});
    if (next.b % 2 == 0) {
        apply({step_kind::transfer, static_cast<std::uint8_t>(leader_at().value_or(0)), 0});
    }
    constexpr int tries = 120; // longer than a lease, its clock drift allowance and an election
    for (int i = 0; i < tries && m_violation.empty(); ++i) {
        apply({step_kind::acquire, contender, 0});
        apply({step_kind::renew, contender, 0});
    }
}

void control_world::apply(const step& next)
{
    const std::size_t index = next.a % m_replicas.size();
    const std::size_t other = next.b % m_replicas.size();
    auto& one = m_replicas[index];
    switch (next.kind) {
    case step_kind::kill:
        one.core.reset();
        break;
    case step_kind::restart:
        if (!one.core) {
            start(one, index);
        }
        break;
    case step_kind::wipe:
        if (all_voters_intact()) {
            m_wiped_ids.insert(one.id);
            one.id = m_next_replica_id++;
            one.stored = {};
            start(one, index);
        }
        break;
    case step_kind::tear_write:
        one.tear_next_write = true;
        break;
    case step_kind::freeze:
        one.frozen = true;
        break;
    case step_kind::thaw:
        if (one.frozen && one.core) {
            one.frozen = false;
            for (const auto& message : std::exchange(one.frozen_messages, {})) {
                one.core->on_peer(message);
            }
            for (const auto& [client, request] : std::exchange(one.frozen_requests, {})) {
                one.core->on_request(client, request);
            }
        }
        break;
    case step_kind::cut_one_way:
        m_cuts.insert({index, other});
        break;
    case step_kind::cut_both_ways:
        m_cuts.insert({index, other});
        m_cuts.insert({other, index});
        break;
    case step_kind::heal:
        m_cuts.clear();
        break;
    case step_kind::change:
        change("change-" + std::to_string(m_next_change++), m_latest_revision,
               leader_at().value_or(index));
        break;
    case step_kind::resend_change:
        if (m_next_change > 1) {
            const auto number =
                m_next_change - 1 - next.b % std::min<std::uint64_t>(m_next_change - 1, 8);
            // A resend carries the expected revision of the first attempt.
            change("change-" + std::to_string(number), m_expected.at(number),
                   leader_at().value_or(index));
        }
        break;
    case step_kind::race_change:
        for (int i = 0; i < 2; ++i) {
            change("change-" + std::to_string(m_next_change++), m_latest_revision,
                   leader_at().value_or(index));
        }
        break;
    case step_kind::read: {
        issued_request issued;
        issued.kind = step_kind::read;
        issued.base_revision = m_latest_revision;
        submit(index, wire::make_control_request(wire::read_config_t{}), issued);
        break;
    }
    case step_kind::add_learner:
    case step_kind::promote:
    case step_kind::remove_lost:
        member_step(next);
        break;
    case step_kind::register_vm:
    case step_kind::renew:
    case step_kind::acquire:
    case step_kind::release:
        vm_step(next);
        break;
    case step_kind::claim:
    case step_kind::finish:
        claim_step(next);
        break;
    case step_kind::permit: {
        issued_request issued;
        issued.kind = step_kind::permit;
        for (int i = 0; i < 3; ++i) { // more than the burst
            submit(leader_at().value_or(index),
                   wire::make_control_request(wire::request_permit_t{}), issued);
        }
        break;
    }
    case step_kind::transfer:
        if (one.core && !one.frozen) {
            one.core->prepare_stop();
        }
        break;
    case step_kind::depose:
        isolate_leader_step(next);
        break;
    case step_kind::steal:
        contend_step(next);
        break;
    case step_kind::run:
    case step_kind::count:
        run_for(core::milliseconds{100 + 20 * next.a});
        break;
    }
    run_for(core::milliseconds{20});
}

void control_world::settle()
{
    m_cuts.clear();
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        apply({step_kind::thaw, static_cast<std::uint8_t>(i), 0});
        apply({step_kind::restart, static_cast<std::uint8_t>(i), 0});
        m_replicas[i].tear_next_write = false;
        apply({step_kind::restart, static_cast<std::uint8_t>(i), 0});
    }
    run_for(core::milliseconds{4000});
}

} // namespace siskindrift::tests
