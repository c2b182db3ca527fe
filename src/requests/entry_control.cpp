// What an entry VM asks the control replicas, and how it takes their answers.
#include <algorithm>
#include <utility>

#include "siskindrift/requests/entry_core.h"

namespace siskindrift::requests {

namespace {

constexpr core::milliseconds claim_patience{4000}; // above a change of the leader
constexpr std::chrono::minutes settle_patience{5}; // outcomes of claims must arrive

std::string claim_subject(const std::string& team, const std::string& key)
{
    return team + "/" + key;
}

} // namespace

bool entry_core::busy(purpose what, const std::string& subject) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& item) {
        return item.second.what == what && item.second.subject == subject;
    });
}

void entry_core::use_next_control()
{
    m_control_at = (m_control_at + 1) % m_control.size();
}

void entry_core::suspect_control()
{
    m_suspect_control = m_control[m_control_at];
    m_suspect_until = m_context.now() + m_context.options.control_suspicion;
    use_next_control();
}

void entry_core::resend_control()
{
    const auto now = m_context.now();
    bool unanswered = false;
    std::vector<std::uint64_t> given_up;
    for (const auto& [id, asked] : m_pending) {
        unanswered = unanswered || (now >= asked.resend_at && !asked.refused);
        if (now >= asked.give_up) {
            given_up.push_back(id);
        }
    }
    for (const auto id : given_up) {
        wire::control_reply_t none;
        none.id = id;
        none.outcome = wire::control_outcome::unavailable;
        on_control_reply(none);
        m_pending.erase(id);
    }
    if (unanswered) {
        suspect_control();
    }
    for (auto& [id, asked] : m_pending) {
        if (now >= asked.resend_at) {
            asked.resend_at = now + m_context.options.control_timeout;
            asked.refused = false;
            m_context.out.send_control(m_control[m_control_at], asked.request);
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
    const bool try_again = reply.outcome == wire::control_outcome::not_leader ||
                           reply.outcome == wire::control_outcome::unavailable;
    if (reply.outcome == wire::control_outcome::not_leader) {
        const auto at = std::find(m_control.begin(), m_control.end(), reply.leader_address);
        const bool suspect = now < m_suspect_until && reply.leader_address == m_suspect_control;
        if (at == m_control.end() || suspect) {
            use_next_control();
        }
        else {
            m_control_at = static_cast<std::size_t>(at - m_control.begin());
        }
    }
    const bool permit = found->second.what == purpose::permit;
    if (try_again && now < found->second.give_up && !permit) {
        found->second.refused = true;
        found->second.resend_at = now + m_context.options.control_retry;
        return;
    }
    const auto asked = std::move(found->second);
    m_pending.erase(found);
    switch (asked.what) {
    case purpose::renew:
        on_grant(asked, reply);
        break;
    case purpose::config:
        on_config(asked, reply);
        break;
    case purpose::claim:
        m_ingress.on_claim(core::request_id{asked.subject}, reply);
        break;
    case purpose::permit: {
        const auto* grant = reply.body.Aspermit_grant();
        const bool granted = reply.outcome == wire::control_outcome::ok && grant != nullptr;
        m_owner.on_permit(core::upstream_id{asked.subject},
                          granted ? std::optional{grant->permit} : std::nullopt);
        break;
    }
    case purpose::acquire:
    case purpose::other:
        m_renew_at = now; // the list of owners changed
        break;
    }
    deliver_local();
}

void entry_core::register_vm()
{
    if (busy(purpose::other, "register")) {
        return;
    }
    wire::register_vm_t order;
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    order.inner_address = m_context.self.inner_address;
    order.caller_address = m_context.self.caller_address;
    order.failure_domain = m_context.self.failure_domain;
    order.draining = m_context.draining;
    ask_control(std::move(order), purpose::other, "register", m_context.options.question_patience);
}

void entry_core::renew()
{
    std::erase_if(m_pending, [](const auto& item) { return item.second.what == purpose::renew; });
    wire::renew_session_t order;
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    order.config_revision = m_context.catalog.revision().value();
    order.ownership_version = m_ownership_version;
    ask_control(std::move(order), purpose::renew, "", m_context.options.question_patience);
}

void entry_core::on_grant(const pending_control& asked, const wire::control_reply_t& reply)
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
    // The lease counts from before the question left.
    m_context.lease_until = asked.first_sent + core::milliseconds{grant->ttl_ms};
    const auto own = m_context.catalog.revision().value();
    if (grant->config_revision == own) {
        m_context.confirmed_at = asked.first_sent;
        m_context.confirmed_once = true;
    }
    else if (grant->config_revision > own) {
        read_config();
    }
    else {
        m_context.out.increment_counter("siskindrift_config_ahead_of_control_total");
    }
    if (grant->ownership_included) {
        take_ownership_list(*grant);
    }
}

void entry_core::take_ownership_list(const wire::session_grant_t& grant)
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
        if (m_kept.insert(address).second) {
            m_context.out.keep_peer(address, true);
        }
    }
    std::erase_if(m_kept, [&](const auto& address) {
        const bool gone = !addresses.contains(address);
        if (gone) {
            m_links.erase(address);
            m_context.out.keep_peer(address, false);
        }
        return gone;
    });
    m_owner.sync_ownership();
    m_ingress.on_ownership_changed();
    m_ownership_at = m_context.now();
}

void entry_core::read_config()
{
    if (busy(purpose::config, "")) {
        return;
    }
    wire::read_config_t query;
    query.since_revision = m_context.catalog.revision().value();
    ask_control(query, purpose::config, "", m_context.options.question_patience);
}

void entry_core::on_config(const pending_control& asked, const wire::control_reply_t& reply)
{
    const auto* page = reply.body.Asconfig_page();
    if (reply.outcome != wire::control_outcome::ok || page == nullptr) {
        return;
    }
    if (page->revision < m_context.catalog.revision().value()) {
        return; // never back to an older one
    }
    if (page->revision > m_context.catalog.revision().value()) {
        m_context.catalog.apply(*page);
        m_ingress.on_config_changed();
        m_context.out.store_config(*page);
        m_owner.sync_ownership();
    }
    m_context.confirmed_at = asked.first_sent;
    m_context.confirmed_once = true;
    m_renew_at = m_context.now(); // tells control which revision is in force here
}

void entry_core::take_claim(const core::request_id& id, wire::take_claim_t order)
{
    ask_control(std::move(order), purpose::claim, id.value(), claim_patience);
}

void entry_core::finish_claim(wire::finish_claim_t order)
{
    auto subject = claim_subject(order.team, order.key);
    ask_control(std::move(order), purpose::other, std::move(subject), settle_patience);
}

void entry_core::ask_permit(const core::upstream_id& upstream, const std::string& adapter,
                            double benefit)
{
    wire::request_permit_t wish;
    wish.vm = m_context.self.vm;
    wish.incarnation = m_context.self.incarnation;
    wish.adapter = adapter;
    wish.benefit = static_cast<float>(benefit);
    ask_control(std::move(wish), purpose::permit, upstream.value(),
                m_context.options.question_patience);
}

void entry_core::return_permit(std::uint64_t permit)
{
    wire::return_permit_t order;
    order.permit = permit;
    ask_control(order, purpose::other, "permit", m_context.options.question_patience);
}

} // namespace siskindrift::requests
