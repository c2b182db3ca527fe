// One entry VM as a pure state machine: membership, ownership, ingress, owner.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/membership/message_age.h"
#include "siskindrift/requests/context.h"
#include "siskindrift/requests/ingress.h"
#include "siskindrift/requests/owner.h"

namespace siskindrift::requests {

/// Everything an entry VM decides. Not thread-safe: the process guards it with one lock,
/// which comes before the mesh's and the metrics' locks.
class entry_core final : private peer_sender, private claim_sender, private permit_sender {
public:
    entry_core(const core::clock& time, entry_outputs& out, entry_options options,
               entry_identity self, std::vector<std::string> control_addresses, std::uint64_t seed);
    ~entry_core() override = default;

    /// Starts from a configuration stored before a restart; it serves nothing until confirmed.
    void restore_config(const wire::config_page_t& stored);

    // Callers.
    /// Begins a request with the value of its Authorization header. The outcome always comes
    /// through `entry_outputs::finish`, possibly within the call.
    void on_request(caller_id caller, const std::string& authorization, caller_request request);
    void on_caller_left(caller_id caller);
    /// Returns a request id that no other request of the system has.
    [[nodiscard]] core::request_id new_request_id();
    /// Returns the team of an Authorization header's value, or none.
    [[nodiscard]] std::optional<core::team_id> authenticate(const std::string& authorization) const;
    /// Returns addresses for a caller; empty before the first contact with control.
    [[nodiscard]] std::vector<std::string> endpoints(const std::string& caller,
                                                     const std::string& failure_domain) const;
    [[nodiscard]] std::vector<std::string> models_of(const core::team_id& team) const;
    [[nodiscard]] bool ready() const;

    // Upstreams.
    void on_announcement(const wire::announcement_t& announcement);
    void on_call_head(call_id call, const call_head& head);
    void on_call_data(call_id call, const std::string& bytes);
    void on_call_end(call_id call, call_end how);

    // The system's own processes.
    void on_peer(wire::envelope_t message);
    void on_control_reply(const wire::control_reply_t& reply);
    void on_link(const std::string& address, bool up);

    void tick();

    /// Begins a graceful stop.
    void drain();
    /// Returns whether a graceful stop has nothing left to wait for.
    [[nodiscard]] bool drained() const;
    /// Gives the session up; nothing may be served afterwards.
    void leave();

    [[nodiscard]] const entry_context& context() const { return m_context; }
    [[nodiscard]] const ingress& request_ingress() const { return m_ingress; }
    [[nodiscard]] const owner& upstream_owner() const { return m_owner; }

private:
    enum class control_purpose : std::uint8_t { other, renew, config, claim, permit, acquire };
    struct pending_control {
        wire::control_request_t request;
        control_purpose purpose = control_purpose::other;
        std::string subject;
        core::time_point first_sent{};
        core::time_point resend_at{};
        core::time_point expires_at{};
        bool replica_declined = false; ///< The replica pending does not lead, or can't say yet.
    };

    // peer_sender
    void send(const std::string& vm, wire::envelope_t message) override;
    [[nodiscard]] bool reachable(const std::string& vm) const override;
    // claim_sender
    void take_claim(const core::request_id& id, wire::take_claim_t command) override;
    void finish_claim(wire::finish_claim_t command) override;
    // permit_sender
    void ask_permit(const core::upstream_id& upstream, const std::string& adapter,
                    double benefit) override;
    void return_permit(std::uint64_t permit) override;

    template <class Body>
    void ask_control(Body body, control_purpose purpose, std::string subject,
                     core::duration timeout);
    void resend_control();
    void suspect_current_replica();
    void select_next_replica();
    void on_session_grant(const pending_control& pending, const wire::control_reply_t& reply);
    void on_config_page(const pending_control& pending, const wire::control_reply_t& reply);
    void apply_ownership_list(const wire::session_grant_t& grant);
    void register_vm();
    void renew();
    void read_config();
    void manage_ownership();
    void acquire_unowned();
    void rebalance();
    void release(const core::upstream_id& upstream);
    void broadcast_digest();
    void forward_announcements();
    void apply_announcement(const wire::announcement_t& announcement);
    void update_pause_detector();
    void deliver_local_messages();
    void handle_message(const std::string& from, wire::envelope_t& message);
    [[nodiscard]] bool has_pending(control_purpose purpose, const std::string& subject) const;
    [[nodiscard]] std::string preferred_owner(const core::upstream_id& upstream) const;
    [[nodiscard]] std::string relay_for(const std::string& vm) const;

    entry_context m_context;
    ingress m_ingress;
    owner m_owner;
    std::vector<std::string> m_control_addresses;
    std::size_t m_current_control = 0;
    std::string m_suspect_control; ///< Did not answer; hints that it leads are not believed.
    core::time_point m_suspect_until{};
    std::map<std::uint64_t, pending_control> m_pending;
    std::uint64_t m_next_control_id = 1;
    bool m_registered = false;
    std::uint64_t m_ownership_version = 0;
    membership::pause_detector m_pause_detector;
    membership::message_age m_message_ages;
    std::map<std::string, std::string> m_addresses; ///< Last known, also of expired VMs.
    std::map<std::string, bool> m_link_up;          ///< By address: whether the path works.
    std::set<std::string> m_persistent_peers;
    std::vector<wire::envelope_t> m_local_messages; ///< Messages to this VM itself.
    std::vector<wire::announcement_t> m_announcements_to_forward;
    core::time_point m_renew_at{};
    core::time_point m_digest_at{};
    core::time_point m_ownership_at{};
    core::time_point m_rebalance_at{};
    core::time_point m_drain_since{};
    std::uint64_t m_next_request = 1;
};

template <class Body>
void entry_core::ask_control(Body body, control_purpose purpose, std::string subject,
                             core::duration timeout)
{
    const auto now = m_context.now();
    pending_control pending;
    pending.request = wire::make_control_request(std::move(body));
    pending.request.id = m_next_control_id++;
    pending.purpose = purpose;
    pending.subject = std::move(subject);
    pending.first_sent = now;
    pending.resend_at = now + m_context.options.control_reply_timeout;
    pending.expires_at = now + timeout;
    m_context.out.send_control(m_control_addresses[m_current_control], pending.request);
    m_pending.emplace(pending.request.id, std::move(pending));
}

} // namespace siskindrift::requests
