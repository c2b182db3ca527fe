#include "siskindrift/requests/entry_core.h"

#include <algorithm>
#include <utility>

#include "siskindrift/membership/endpoints.h"

namespace siskindrift::requests {

using core::reason;

namespace {

constexpr core::milliseconds ownership_every{200};
constexpr core::milliseconds drain_margin{500}; // a caller's last connect may still come
constexpr std::string_view bearer = "Bearer ";

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
    m_ingress.on_config_changed();
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
    return membership::ranked_endpoints(m_context.vms, caller, failure_domain);
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
    m_pauses.record_activity(m_context.now());
}

void entry_core::on_announcement(const wire::announcement_t& said)
{
    begin_event();
    // After a pause this may have waited in a socket; only that it leaves can be believed.
    const bool leaving = said.state == wire::upstream_state::leaving;
    if (m_pauses.recently_paused(m_context.now()) && !leaving) {
        return;
    }
    take_announcement(said);
    m_to_forward.push_back(said);
    forward_announcements();
    deliver_local();
}

void entry_core::take_announcement(const wire::announcement_t& said)
{
    const auto effect = m_context.registry.update(said, m_context.now());
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
        m_context.out.increment_counter("siskindrift_relayed_messages_total");
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
        const auto age =
            m_ages.estimate(from, message.from_incarnation, batch->sent_ms, m_context.now());
        for (const auto& said : batch->announcements) {
            const bool leaving = said->state == wire::upstream_state::leaving;
            if (m_pauses.recently_paused(m_context.now()) && !leaving) {
                continue;
            }
            said->age_ms += static_cast<std::uint32_t>(core::to_ms(age));
            take_announcement(*said);
        }
    }
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
    m_context.registry.remove_silent(now);
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
           m_ingress.open_requests() == 0 && m_owner.open_work_items() == 0 &&
           m_owner.engines().empty() && settled;
}

void entry_core::leave()
{
    m_context.left = true;
    m_context.lease_until = {};
    wire::expire_vm_t order;
    order.vm = m_context.self.vm;
    order.incarnation = m_context.self.incarnation;
    ask_control(std::move(order), purpose::other, "leave", m_context.options.question_patience);
}

} // namespace siskindrift::requests
