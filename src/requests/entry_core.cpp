#include "siskindrift/requests/entry_core.h"

#include <algorithm>
#include <utility>

#include "siskindrift/membership/endpoints.h"
#include "siskindrift/routing/rendezvous.h"

namespace siskindrift::requests {

using core::reason;

namespace {

constexpr core::milliseconds short_patience{2000}; // questions that are asked again anyway
constexpr core::milliseconds claim_patience{4000}; // above a change of the leader
constexpr std::chrono::minutes settle_patience{5}; // outcomes of claims must arrive
constexpr core::milliseconds ownership_every{200};
constexpr core::milliseconds drain_margin{500}; // a caller's last connect may still come
constexpr std::string_view bearer = "Bearer ";

std::string claim_subject(const std::string& team, const std::string& key)
{
    return team + "/" + key;
}

} // namespace

entry_core::entry_core(const core::clock& time, entry_outputs& out, entry_options options,
                       entry_identity self, std::vector<std::string> control_addresses,
                       std::uint64_t seed)
    : m_context(time, out, options, std::move(self), seed), m_ingress(m_context, *this, *this),
      m_owner(m_context, *this, *this), m_control(std::move(control_addresses))
{
    m_control_at = core::uniform_below(m_context.random, m_control.size());
}

void entry_core::restore_config(const wire::config_page_t& stored)
{
    m_context.catalog.apply(stored);
}

core::request_id entry_core::new_request_id()
{
    return core::request_id{m_context.self.vm + "-" + std::to_string(m_context.self.incarnation) +
                            "-" + std::to_string(m_next_request++)};
}

std::optional<core::team_id> entry_core::authenticate(const std::string& authorization) const
{
    if (!authorization.starts_with(bearer)) {
        return std::nullopt;
    }
    return m_context.catalog.team_of_key(
        config::sha256_hex(std::string_view{authorization}.substr(bearer.size())));
}

std::vector<std::string> entry_core::endpoints(const std::string& caller,
                                               const std::string& failure_domain) const
{
    return membership::endpoints_for(m_context.vms, caller, failure_domain);
}

std::vector<std::string> entry_core::models_of(const core::team_id& team) const
{
    return m_context.catalog.models_of(team);
}

bool entry_core::ready() const
{
    return m_context.config_confirmed() && !m_context.draining;
}

void entry_core::on_request(caller_id caller, const std::string& authorization,
                            caller_request request)
{
    const auto team = authenticate(authorization);
    if (team) {
        request.team = *team;
        m_ingress.submit(caller, std::move(request));
    }
    else if (!m_context.config_confirmed()) {
        // A VM that just started knows no keys yet; that must not look like a wrong key.
        m_ingress.reject(caller, request, reason::config_unconfirmed,
                         "this VM has not confirmed its configuration yet; use another");
    }
    else {
        m_ingress.reject(caller, request, reason::unauthorized, "unknown team key");
    }
    deliver_local();
}

void entry_core::on_caller_left(caller_id caller)
{
    m_ingress.on_caller_left(caller);
    deliver_local();
}

// --- upstreams ---

void entry_core::begin_event()
{
    m_pauses.note(m_context.now());
}

void entry_core::on_announcement(const wire::announcement_t& said)
{
    begin_event();
    // After a pause this may have waited in a socket; only that it leaves can be believed.
    const bool leaving = said.state == wire::upstream_state::leaving;
    if (m_pauses.distrusts(m_context.now()) && !leaving) {
        return;
    }
    take_announcement(said);
    m_to_forward.push_back(said);
    forward_announcements();
    deliver_local();
}

void entry_core::take_announcement(const wire::announcement_t& said)
{
    const auto effect = m_context.registry.take(said, m_context.now());
    if (effect != membership::announcement_effect::stale) {
        m_owner.on_announcement(core::upstream_id{said.upstream}, effect);
    }
}

void entry_core::forward_announcements()
{
    if (m_to_forward.empty()) {
        return;
    }
    wire::announcement_batch_t batch;
    batch.sent_ms = static_cast<std::uint64_t>(core::to_ms(m_context.now().time_since_epoch()));
    for (auto& said : std::exchange(m_to_forward, {})) {
        wire::append(batch.announcements, std::move(said));
    }
    for (const auto& [name, vm] : m_context.vms) {
        if (name != m_context.self.vm) {
            send(name, wire::make_envelope(batch));
        }
    }
}

void entry_core::on_call_head(call_id call, const call_head& head)
{
    m_owner.on_call_head(call, head);
    deliver_local();
}

void entry_core::on_call_data(call_id call, const std::string& bytes)
{
    m_owner.on_call_data(call, bytes);
    deliver_local();
}

void entry_core::on_call_end(call_id call, call_end how)
{
    m_owner.on_call_end(call, how);
    deliver_local();
}

// --- peers ---

void entry_core::send(const std::string& vm, wire::envelope_t message)
{
    message.from_vm = m_context.self.vm;
    message.from_incarnation = m_context.self.incarnation;
    message.dest_vm = vm;
    if (vm == m_context.self.vm) {
        m_local.push_back(std::move(message));
        return;
    }
    // A VM whose session ended may still wait for answers to what it sent before.
    const auto known = m_addresses.find(vm);
    if (known == m_addresses.end()) {
        return;
    }
    const auto relay = relay_for(vm);
    if (!relay.empty()) {
        m_context.out.count_event("siskindrift_relayed_messages_total");
    }
    m_context.out.send_peer(relay.empty() ? known->second : m_addresses.at(relay),
                            std::move(message));
}

// Returns a third VM when the direct path is known to be dead, else nothing.
std::string entry_core::relay_for(const std::string& vm) const
{
    const auto works = [&](const std::string& address) {
        const auto link = m_links.find(address);
        return link != m_links.end() && link->second;
    };
    const auto target = m_context.vms.find(vm);
    const auto link =
        target == m_context.vms.end() ? m_links.end() : m_links.find(target->second.inner_address);
    if (link == m_links.end() || link->second) {
        return {};
    }
    for (const auto& [name, other] : m_context.vms) {
        if (name != vm && name != m_context.self.vm && works(other.inner_address)) {
            return name;
        }
    }
    return {};
}

bool entry_core::reachable(const std::string& vm) const
{
    if (vm == m_context.self.vm) {
        return true;
    }
    const auto known = m_context.vms.find(vm);
    if (known == m_context.vms.end()) {
        return false;
    }
    const auto link = m_links.find(known->second.inner_address);
    return link == m_links.end() || link->second || !relay_for(vm).empty();
}

void entry_core::on_link(const std::string& address, bool up)
{
    m_links[address] = up;
    if (!up && address == m_control[m_control_at]) {
        suspect_control();
        for (auto& [id, asked] : m_pending) {
            asked.resend_at = m_context.now();
        }
    }
    if (!up) {
        for (const auto& [name, vm] : m_context.vms) {
            if (vm.inner_address == address) {
                m_ingress.on_peer_down(name);
            }
        }
    }
    deliver_local();
}

void entry_core::on_peer(wire::envelope_t message)
{
    begin_event();
    if (!message.dest_vm.empty() && message.dest_vm != m_context.self.vm) {
        // We are the way around a dead path; only a direct hop follows.
        const auto target = m_context.vms.find(message.dest_vm);
        if (target != m_context.vms.end()) {
            m_context.out.send_peer(target->second.inner_address, std::move(message));
        }
        return;
    }
    const auto from = message.from_vm;
    handle(from, message);
    deliver_local();
}

void entry_core::deliver_local()
{
    while (!m_local.empty()) {
        auto messages = std::exchange(m_local, {});
        for (auto& message : messages) {
            handle(m_context.self.vm, message);
        }
    }
}

void entry_core::handle(const std::string& from, wire::envelope_t& message)
{
    const auto& body = message.body;
    if (const auto* order = body.Asdispatch()) {
        m_owner.on_dispatch(from, *order);
    }
    else if (const auto* reply = body.Asdispatch_reply()) {
        m_ingress.on_dispatch_reply(from, *reply);
    }
    else if (const auto* order = body.Asabandon()) {
        m_owner.on_abandon(from, *order);
    }
    else if (const auto* reply = body.Asabandon_reply()) {
        m_ingress.on_abandon_reply(from, *reply);
    }
    else if (const auto* digest = body.Asowner_digest()) {
        m_ingress.on_digest(from, *digest);
    }
    else if (const auto* batch = body.Asannouncement_batch()) {
        const auto age = m_ages.of(from, message.from_incarnation, batch->sent_ms, m_context.now());
        for (const auto& said : batch->announcements) {
            const bool leaving = said->state == wire::upstream_state::leaving;
            if (m_pauses.distrusts(m_context.now()) && !leaving) {
                continue;
            }
            said->age_ms += static_cast<std::uint32_t>(core::to_ms(age));
            take_announcement(*said);
        }
    }
}

// --- control ---

template <class Body>
void entry_core::ask_control(Body body, purpose what, std::string subject, core::duration patience)
{
    const auto now = m_context.now();
    pending_control asked;
    asked.request = wire::make_control_request(std::move(body));
    asked.request.id = m_next_control_id++;
    asked.what = what;
    asked.subject = std::move(subject);
    asked.first_sent = now;
    asked.resend_at = now + m_context.options.control_timeout;
    asked.give_up = now + patience;
    m_context.out.send_control(m_control[m_control_at], asked.request);
    m_pending.emplace(asked.request.id, std::move(asked));
}

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
    ask_control(std::move(order), purpose::other, "register", short_patience);
}

void entry_core::renew()
{
    std::erase_if(m_pending, [](const auto& item) { return item.second.what == purpose::renew; });
    wire::renew_session_t order;
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    order.config_revision = m_context.catalog.revision().value();
    order.ownership_version = m_ownership_version;
    ask_control(std::move(order), purpose::renew, "", short_patience);
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
        m_context.out.count_event("siskindrift_config_ahead_of_control_total");
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
    ask_control(query, purpose::config, "", short_patience);
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
    ask_control(std::move(wish), purpose::permit, upstream.value(), short_patience);
}

void entry_core::return_permit(std::uint64_t permit)
{
    wire::return_permit_t order;
    order.permit = permit;
    ask_control(order, purpose::other, "permit", short_patience);
}

// --- ownership ---

std::string entry_core::preferred_owner(const core::upstream_id& upstream) const
{
    const auto* record = m_context.registry.find(upstream);
    const auto domain = record == nullptr ? std::string{} : record->last.failure_domain;
    std::string best;
    bool best_near = false;
    std::uint64_t best_weight = 0;
    for (const auto& [name, vm] : m_context.vms) {
        if (vm.draining) {
            continue;
        }
        const bool near = vm.failure_domain == domain;
        const auto weight = routing::rendezvous_weight(upstream.value(), name);
        const bool better =
            best.empty() || (near && !best_near) || (near == best_near && weight > best_weight);
        if (better) {
            best = name;
            best_near = near;
            best_weight = weight;
        }
    }
    return best;
}

void entry_core::manage_ownership()
{
    m_owner.sync_ownership();
    if (!m_context.lease_valid()) {
        return;
    }
    for (const auto& upstream : m_owner.handing_over()) {
        release(upstream);
    }
    if (m_context.draining) {
        std::vector<core::upstream_id> owned;
        for (const auto& [upstream, engine] : m_owner.engines()) {
            owned.push_back(upstream);
        }
        for (const auto& upstream : owned) {
            m_owner.hand_over(upstream);
            release(upstream);
        }
        return;
    }
    acquire_unowned();
    rebalance();
}

void entry_core::acquire_unowned()
{
    for (const auto& [upstream, record] : m_context.registry.all()) {
        const auto owned = m_context.owners.find(upstream.value());
        const bool free = owned == m_context.owners.end() || owned->second.vm.empty();
        const bool wanted = free && m_context.registry.fresh(upstream, m_context.now()) &&
                            preferred_owner(upstream) == m_context.self.vm;
        if (!wanted || busy(purpose::acquire, upstream.value())) {
            continue;
        }
        wire::acquire_upstream_t order;
        order.upstream = upstream.value();
        order.vm = m_context.self.vm;
        order.incarnation = m_context.self.incarnation;
        ask_control(std::move(order), purpose::acquire, upstream.value(), short_patience);
    }
}

void entry_core::rebalance()
{
    const auto now = m_context.now();
    if (now < m_rebalance_at) {
        return;
    }
    m_rebalance_at = now + m_context.options.rebalance_every;
    for (const auto& [upstream, engine] : m_owner.engines()) {
        const auto better = preferred_owner(upstream);
        const bool move = !better.empty() && better != m_context.self.vm && reachable(better) &&
                          m_context.registry.admissible(upstream, now);
        if (move) {
            m_owner.hand_over(upstream);
            release(upstream);
            return; // one at a time
        }
    }
}

void entry_core::release(const core::upstream_id& upstream)
{
    const auto owned = m_context.owners.find(upstream.value());
    const bool ours = owned != m_context.owners.end() && owned->second.vm == m_context.self.vm &&
                      owned->second.incarnation == m_context.self.incarnation;
    if (!ours || busy(purpose::acquire, upstream.value())) {
        return;
    }
    wire::release_upstream_t order;
    order.upstream = upstream.value();
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    order.fencing = owned->second.fencing;
    ask_control(std::move(order), purpose::acquire, upstream.value(), short_patience);
}

void entry_core::send_digest()
{
    const auto digest = m_owner.digest();
    m_ingress.on_digest(m_context.self.vm, digest);
    if (digest.engines.empty()) {
        return;
    }
    for (const auto& [name, vm] : m_context.vms) {
        if (name != m_context.self.vm) {
            send(name, wire::make_envelope(digest));
        }
    }
}

void entry_core::tick()
{
    begin_event();
    const auto now = m_context.now();
    resend_control();
    if (!m_context.left && now >= m_renew_at) {
        m_renew_at = now + m_context.options.renew_every;
        if (m_registered || m_context.confirmed_once) {
            renew();
        }
        else {
            register_vm();
            renew();
        }
    }
    m_context.registry.forget_silent(now);
    if (now >= m_ownership_at) {
        m_ownership_at = now + ownership_every;
        manage_ownership();
    }
    if (now >= m_digest_at) {
        m_digest_at = now + m_context.options.digest_every;
        send_digest();
    }
    m_owner.tick();
    m_ingress.tick();
    deliver_local();
}

void entry_core::drain()
{
    if (m_context.draining) {
        return;
    }
    m_context.draining = true;
    m_drain_since = m_context.now();
    register_vm();
    manage_ownership();
    deliver_local();
}

bool entry_core::drained() const
{
    const auto waited = m_context.now() - m_drain_since;
    const bool settled = std::none_of(m_pending.begin(), m_pending.end(), [](const auto& item) {
        return item.second.request.body.type == wire::control_body::finish_claim;
    });
    return m_context.draining && waited >= m_context.options.endpoints_ttl + drain_margin &&
           m_ingress.open_requests() == 0 && m_owner.open_works() == 0 &&
           m_owner.engines().empty() && settled;
}

void entry_core::leave()
{
    m_context.left = true;
    m_context.lease_until = {};
    wire::expire_vm_t order;
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    ask_control(std::move(order), purpose::other, "leave", short_patience);
}

} // namespace siskindrift::requests
