// Requests to the control replicas and the handling of their replies.
#include <algorithm>
#include <utility>

#include "siskindrift/requests/entry_core.h"

namespace siskindrift::requests {

namespace {

// Must exceed a change of the leader.
constexpr core::milliseconds claim_timeout{4000};
// Long, because outcomes of claims must arrive: a claim without one blocks later requests with
// its key.
constexpr std::chrono::minutes claim_outcome_timeout{5};

std::string claim_subject(const std::string& team, const std::string& key)
{
    return team + "/" + key;
}

} // namespace

bool entry_core::has_pending(control_purpose purpose, const std::string& subject) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& item) {
        return item.second.purpose == purpose && item.second.subject == subject;
    });
}

void entry_core::select_next_replica()
{
    m_current_control = (m_current_control + 1) % m_control_addresses.size();
}

void entry_core::suspect_current_replica()
{
    m_suspect_control = m_control_addresses[m_current_control];
    m_suspect_until = m_context.now() + m_context.options.control_suspect_duration;
    select_next_replica();
}

void entry_core::resend_control()
{
    const auto now = m_context.now();
    bool unanswered = false;
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        unanswered = unanswered || (now >= pending.resend_at && !pending.replica_declined);
        if (now >= pending.expires_at) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        wire::control_reply_t timed_out;
        timed_out.id = id;
        timed_out.outcome = wire::control_outcome::unavailable;
        on_control_reply(timed_out);
        m_pending.erase(id);
    }
    if (unanswered) {
        suspect_current_replica();
    }
    for (auto& [id, pending] : m_pending) {
        if (now >= pending.resend_at) {
            pending.resend_at = now + m_context.options.control_reply_timeout;
            pending.replica_declined = false;
            m_context.out.send_control(m_control_addresses[m_current_control], pending.request);
        }
    }
}

void entry_core::on_control_reply(const wire::control_reply_t& reply)
{
    const auto found = m_pending.find(reply.id);
    if (found == m_pending.end()) {
        return;
    }
    const auto now = m_context.now();
    const bool retryable = reply.outcome == wire::control_outcome::not_leader ||
                           reply.outcome == wire::control_outcome::unavailable;
    if (reply.outcome == wire::control_outcome::not_leader) {
        const auto at =
            std::find(m_control_addresses.begin(), m_control_addresses.end(), reply.leader_address);
        const bool suspect = now < m_suspect_until && reply.leader_address == m_suspect_control;
        if (at == m_control_addresses.end() || suspect) {
            select_next_replica();
        }
        else {
            m_current_control = static_cast<std::size_t>(at - m_control_addresses.begin());
        }
    }
    const bool permit = found->second.purpose == control_purpose::permit;
    if (retryable && now < found->second.expires_at && !permit) {
        found->second.replica_declined = true;
        found->second.resend_at = now + m_context.options.control_retry_delay;
        return;
    }
    const auto pending = std::move(found->second);
    m_pending.erase(found);
    switch (pending.purpose) {
    case control_purpose::renew:
        on_session_grant(pending, reply);
        break;
    case control_purpose::config:
        on_config_page(pending, reply);
        break;
    case control_purpose::claim:
        m_ingress.on_claim(core::request_id{pending.subject}, reply);
        break;
    case control_purpose::permit: {
        const auto* grant = reply.body.Aspermit_grant();
        const bool granted = reply.outcome == wire::control_outcome::ok && grant != nullptr;
        m_owner.on_permit(core::upstream_id{pending.subject},
                          granted ? std::optional{grant->permit} : std::nullopt);
        break;
    }
    case control_purpose::acquire:
    case control_purpose::other:
        m_renew_at = now; // renews at once to read the changed list of owners
        break;
    }
    deliver_local_messages();
}

void entry_core::register_vm()
{
    if (has_pending(control_purpose::other, "register")) {
        return;
    }
    wire::register_vm_t command;
    command.vm = m_context.self.vm;
    command.incarnation = m_context.self.incarnation;
    command.inner_address = m_context.self.inner_address;
    command.caller_address = m_context.self.caller_address;
    command.failure_domain = m_context.self.failure_domain;
    command.draining = m_context.draining;
    ask_control(std::move(command), control_purpose::other, "register",
                m_context.options.control_request_timeout);
}

void entry_core::renew()
{
    std::erase_if(m_pending,
                  [](const auto& item) { return item.second.purpose == control_purpose::renew; });
    wire::renew_session_t command;
    command.vm = m_context.self.vm;
    command.incarnation = m_context.self.incarnation;
    command.config_revision = m_context.catalog.revision().value();
    command.ownership_version = m_ownership_version;
    ask_control(std::move(command), control_purpose::renew, "",
                m_context.options.control_request_timeout);
}

void entry_core::on_session_grant(const pending_control& pending,
                                  const wire::control_reply_t& reply)
{
    const auto* grant = reply.body.Assession_grant();
    if (reply.outcome == wire::control_outcome::refused) {
        m_registered = false;
        m_context.lease_until = {};
        register_vm();
        return;
    }
    if (reply.outcome != wire::control_outcome::ok || grant == nullptr) {
        return;
    }
    m_registered = true;
    // The lease starts when the request was first sent: control can't have granted it earlier,
    // so this VM never believes in a lease longer than control does.
    m_context.lease_until = pending.first_sent + core::milliseconds{grant->ttl_ms};
    const auto own_revision = m_context.catalog.revision().value();
    if (grant->config_revision == own_revision) {
        m_context.confirmed_at = pending.first_sent;
        m_context.confirmed_once = true;
    }
    else if (grant->config_revision > own_revision) {
        read_config();
    }
    else {
        m_context.out.increment_counter("siskindrift_config_ahead_of_control_total");
    }
    if (grant->ownership_included) {
        apply_ownership_list(*grant);
    }
}

void entry_core::apply_ownership_list(const wire::session_grant_t& grant)
{
    m_ownership_version = grant.ownership_version;
    m_context.vms.clear();
    for (const auto& vm : grant.vms) {
        m_context.vms[vm->vm] = *vm;
        m_addresses[vm->vm] = vm->inner_address;
    }
    m_context.owners.clear();
    for (const auto& owned : grant.ownerships) {
        m_context.owners[owned->upstream] = *owned;
    }
    std::set<std::string> addresses;
    for (const auto& [name, vm] : m_context.vms) {
        if (name != m_context.self.vm) {
            addresses.insert(vm.inner_address);
        }
    }
    for (const auto& address : addresses) {
        if (m_persistent_peers.insert(address).second) {
            m_context.out.keep_peer_connected(address, true);
        }
    }
    std::erase_if(m_persistent_peers, [&](const auto& address) {
        const bool gone = !addresses.contains(address);
        if (gone) {
            m_link_up.erase(address);
            m_context.out.keep_peer_connected(address, false);
        }
        return gone;
    });
    m_owner.sync_ownership();
    m_ingress.on_ownership_changed();
    m_ownership_at = m_context.now();
}

void entry_core::read_config()
{
    if (has_pending(control_purpose::config, "")) {
        return;
    }
    wire::read_config_t query;
    query.since_revision = m_context.catalog.revision().value();
    ask_control(query, control_purpose::config, "", m_context.options.control_request_timeout);
}

void entry_core::on_config_page(const pending_control& pending, const wire::control_reply_t& reply)
{
    const auto* page = reply.body.Asconfig_page();
    if (reply.outcome != wire::control_outcome::ok || page == nullptr) {
        return;
    }
    if (page->revision < m_context.catalog.revision().value()) {
        return; // a lagging replica; an older revision never replaces a newer one
    }
    if (page->revision > m_context.catalog.revision().value()) {
        m_context.catalog.apply(*page);
        m_ingress.on_config_changed();
        m_context.out.store_config(*page);
        m_owner.sync_ownership();
    }
    m_context.confirmed_at = pending.first_sent;
    m_context.confirmed_once = true;
    m_renew_at = m_context.now(); // renews at once to report the revision now in use
}

void entry_core::take_claim(const core::request_id& id, wire::take_claim_t command)
{
    ask_control(std::move(command), control_purpose::claim, id.value(), claim_timeout);
}

void entry_core::finish_claim(wire::finish_claim_t command)
{
    auto subject = claim_subject(command.team, command.key);
    ask_control(std::move(command), control_purpose::other, std::move(subject),
                claim_outcome_timeout);
}

void entry_core::ask_permit(const core::upstream_id& upstream, const std::string& adapter,
                            double benefit)
{
    wire::request_permit_t command;
    command.vm = m_context.self.vm;
    command.incarnation = m_context.self.incarnation;
    command.adapter = adapter;
    command.benefit = static_cast<float>(benefit);
    ask_control(std::move(command), control_purpose::permit, upstream.value(),
                m_context.options.control_request_timeout);
}

void entry_core::return_permit(std::uint64_t permit)
{
    wire::return_permit_t command;
    command.permit = permit;
    ask_control(command, control_purpose::other, "permit",
                m_context.options.control_request_timeout);
}

} // namespace siskindrift::requests
