#include "siskindrift/requests/entry_core.h"

#include <algorithm>
#include <utility>

#include "siskindrift/membership/endpoints.h"

namespace siskindrift::requests {

using core::reason;

namespace {

constexpr core::milliseconds ownership_check_interval{200};
// After `endpoints_ttl`, for connections that callers opened just before it ran out.
constexpr core::milliseconds drain_margin{500};
constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

entry_core::entry_core(const core::clock& time, entry_outputs& out, entry_options options,
                       entry_identity self, std::vector<std::string> control_addresses,
                       std::uint64_t seed)
    : m_context(time, out, options, std::move(self), seed), m_ingress(m_context, *this, *this),
      m_owner(m_context, *this, *this), m_control_addresses(std::move(control_addresses))
{
    m_current_control = core::uniform_below(m_context.random, m_control_addresses.size());
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
    if (!authorization.starts_with(bearer_prefix)) {
        return std::nullopt;
    }
    return m_context.catalog.team_of_key(
        config::sha256_hex(std::string_view{authorization}.substr(bearer_prefix.size())));
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
        // Before the first configuration no team key is known. `unauthorized` would tell the
        // caller that its key is wrong.
        m_ingress.reject(caller, request, reason::config_unconfirmed,
                         "this VM has not confirmed its configuration yet; use another");
    }
    else {
        m_ingress.reject(caller, request, reason::unauthorized, "unknown team key");
    }
    deliver_local_messages();
}

void entry_core::on_caller_left(caller_id caller)
{
    m_ingress.on_caller_left(caller);
    deliver_local_messages();
}

// --- Upstreams ---

void entry_core::update_pause_detector()
{
    m_pause_detector.record_activity(m_context.now());
}

void entry_core::on_announcement(const wire::announcement_t& announcement)
{
    update_pause_detector();
    // After a pause of this process the announcement may have waited in the socket buffer and
    // be out of date. Only `leaving` is final and therefore still valid.
    const bool leaving = announcement.state == wire::upstream_state::leaving;
    if (m_pause_detector.recently_paused(m_context.now()) && !leaving) {
        return;
    }
    apply_announcement(announcement);
    m_announcements_to_forward.push_back(announcement);
    forward_announcements();
    deliver_local_messages();
}

void entry_core::apply_announcement(const wire::announcement_t& announcement)
{
    const auto effect = m_context.registry.update(announcement, m_context.now());
    if (effect != membership::announcement_effect::stale) {
        m_owner.on_announcement(core::upstream_id{announcement.upstream}, effect);
    }
}

void entry_core::forward_announcements()
{
    if (m_announcements_to_forward.empty()) {
        return;
    }
    wire::announcement_batch_t batch;
    batch.sent_ms = static_cast<std::uint64_t>(core::to_ms(m_context.now().time_since_epoch()));
    for (auto& announcement : std::exchange(m_announcements_to_forward, {})) {
        wire::append(batch.announcements, std::move(announcement));
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
    deliver_local_messages();
}

void entry_core::on_call_data(call_id call, const std::string& bytes)
{
    m_owner.on_call_data(call, bytes);
    deliver_local_messages();
}

void entry_core::on_call_end(call_id call, call_end how)
{
    m_owner.on_call_end(call, how);
    deliver_local_messages();
}

// --- Other VMs ---

void entry_core::send(const std::string& vm, wire::envelope_t message)
{
    message.from_vm = m_context.self.vm;
    message.from_incarnation = m_context.self.incarnation;
    message.dest_vm = vm;
    if (vm == m_context.self.vm) {
        m_local_messages.push_back(std::move(message));
        return;
    }
    // The address is kept after the VM's session has expired: the VM may still wait for replies
    // to messages that it sent before.
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

// Returns a VM to relay through when the direct link is known to be down, else an empty name.
std::string entry_core::relay_for(const std::string& vm) const
{
    const auto link_up = [&](const std::string& address) {
        const auto link = m_link_up.find(address);
        return link != m_link_up.end() && link->second;
    };
    const auto target = m_context.vms.find(vm);
    const auto link = target == m_context.vms.end() ? m_link_up.end()
                                                    : m_link_up.find(target->second.inner_address);
    if (link == m_link_up.end() || link->second) {
        return {};
    }
    for (const auto& [name, other] : m_context.vms) {
        if (name != vm && name != m_context.self.vm && link_up(other.inner_address)) {
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
    const auto link = m_link_up.find(known->second.inner_address);
    return link == m_link_up.end() || link->second || !relay_for(vm).empty();
}

void entry_core::on_connection_state(const std::string& address, bool up)
{
    m_link_up[address] = up;
    if (!up && address == m_control_addresses[m_current_control]) {
        suspect_current_replica();
        for (auto& [id, pending] : m_pending) {
            pending.resend_at = m_context.now();
        }
    }
    if (!up) {
        for (const auto& [name, vm] : m_context.vms) {
            if (vm.inner_address == address) {
                m_ingress.on_peer_down(name);
            }
        }
    }
    deliver_local_messages();
}

void entry_core::on_peer(wire::envelope_t message)
{
    update_pause_detector();
    if (!message.dest_vm.empty() && message.dest_vm != m_context.self.vm) {
        // This VM is the relay. It forwards only directly, so a message makes at most two hops.
        const auto target = m_context.vms.find(message.dest_vm);
        if (target != m_context.vms.end()) {
            m_context.out.send_peer(target->second.inner_address, std::move(message));
        }
        return;
    }
    const auto from = message.from_vm;
    handle_message(from, message);
    deliver_local_messages();
}

void entry_core::deliver_local_messages()
{
    while (!m_local_messages.empty()) {
        auto messages = std::exchange(m_local_messages, {});
        for (auto& message : messages) {
            handle_message(m_context.self.vm, message);
        }
    }
}

void entry_core::handle_message(const std::string& from, wire::envelope_t& message)
{
    const auto& body = message.body;
    if (const auto* dispatch = body.Asdispatch()) {
        m_owner.on_dispatch(from, *dispatch);
    }
    else if (const auto* reply = body.Asdispatch_reply()) {
        m_ingress.on_dispatch_reply(from, *reply);
    }
    else if (const auto* abandon = body.Asabandon()) {
        m_owner.on_abandon(from, *abandon);
    }
    else if (const auto* reply = body.Asabandon_reply()) {
        m_ingress.on_abandon_reply(from, *reply);
    }
    else if (const auto* digest = body.Asowner_digest()) {
        m_ingress.on_digest(from, *digest);
    }
    else if (const auto* batch = body.Asannouncement_batch()) {
        const auto age = m_message_ages.estimate(from, message.from_incarnation, batch->sent_ms,
                                                 m_context.now());
        for (const auto& announcement : batch->announcements) {
            const bool leaving = announcement->state == wire::upstream_state::leaving;
            if (m_pause_detector.recently_paused(m_context.now()) && !leaving) {
                continue;
            }
            announcement->age_ms += static_cast<std::uint32_t>(core::to_ms(age));
            apply_announcement(*announcement);
        }
    }
}

void entry_core::broadcast_digest()
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
    update_pause_detector();
    const auto now = m_context.now();
    resend_control();
    if (!m_context.left && now >= m_renew_at) {
        m_renew_at = now + m_context.options.renew_interval;
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
        m_ownership_at = now + ownership_check_interval;
        manage_ownership();
    }
    if (now >= m_digest_at) {
        m_digest_at = now + m_context.options.digest_interval;
        broadcast_digest();
    }
    m_owner.tick();
    m_ingress.tick();
    deliver_local_messages();
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
    deliver_local_messages();
}

bool entry_core::drained() const
{
    const auto drain_time = m_context.now() - m_drain_since;
    const bool claims_finished =
        std::none_of(m_pending.begin(), m_pending.end(), [](const auto& item) {
            return item.second.request.body.type == wire::control_body::finish_claim;
        });
    return m_context.draining && drain_time >= m_context.options.endpoints_ttl + drain_margin &&
           m_ingress.open_requests() == 0 && m_owner.open_work_items() == 0 &&
           m_owner.engines().empty() && claims_finished;
}

void entry_core::leave()
{
    m_context.left = true;
    m_context.lease_until = {};
    wire::expire_vm_t command;
    command.vm = m_context.self.vm;
    command.incarnation = m_context.self.incarnation;
    ask_control(std::move(command), control_purpose::other, "leave",
                m_context.options.control_request_timeout);
}

} // namespace siskindrift::requests
