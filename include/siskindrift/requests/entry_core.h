// The state machine of one entry VM: membership, ownership, ingress and owner.
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

/// The decision logic of an entry VM. It does no I/O: events come in through the `on_...`
/// functions and `tick`, effects go out through `entry_outputs`.
///
/// Not thread-safe: the process guards it with one lock, which is acquired before the locks of
/// the mesh and the metrics.
class entry_core final : private peer_sender, private claim_sender, private permit_sender {
public:
    /// @param control_addresses inner addresses of the control replicas; must not be empty.
    /// @param seed seed of all random choices, so that a run can be replayed.
    entry_core(const core::clock& time, entry_outputs& out, entry_options options,
               entry_identity self, std::vector<std::string> control_addresses, std::uint64_t seed);
    ~entry_core() override = default;

    /// Loads a configuration that was stored before a restart. Nothing is served until control
    /// confirms it.
    void restore_config(const wire::config_page_t& stored);

    // Callers.
    /// Starts a request. The outcome is always reported through `entry_outputs::finish`, possibly
    /// before this function returns.
    /// @param authorization value of its Authorization header.
    void on_request(caller_id caller, const std::string& authorization, caller_request request);
    /// Handles that a caller closed its connection.
    void on_caller_left(caller_id caller);
    /// Returns a request id that is unique in the whole system.
    [[nodiscard]] core::request_id new_request_id();
    /// Returns the team of an Authorization header value, or none when its key is unknown.
    [[nodiscard]] std::optional<core::team_id> authenticate(const std::string& authorization) const;
    /// Returns caller addresses of entry VMs; empty until control has sent a list of VMs.
    /// @param caller name of the caller.
    /// @param failure_domain failure domain of the caller.
    [[nodiscard]] std::vector<std::string> endpoints(const std::string& caller,
                                                     const std::string& failure_domain) const;
    /// Returns the models, as "adapter@version", that @p team may use.
    [[nodiscard]] std::vector<std::string> models_of(const core::team_id& team) const;
    /// Returns whether the configuration is confirmed and the VM is not draining.
    [[nodiscard]] bool ready() const;

    // Upstreams.
    /// Handles an upstream's announcement and forwards it to the other VMs.
    void on_announcement(const wire::announcement_t& announcement);
    /// Handles the response head of an upstream call.
    void on_call_head(call_id call, const call_head& head);
    /// Handles a part of the response body of an upstream call.
    void on_call_data(call_id call, const std::string& bytes);
    /// Handles the end of an upstream call.
    void on_call_end(call_id call, call_end how);

    // The system's own processes.
    /// Handles a message from another VM, or relays it when this VM is not its destination.
    void on_peer(wire::envelope_t message);
    /// Handles a control replica's reply. Replies to unknown or expired requests are ignored.
    void on_control_reply(const wire::control_reply_t& reply);
    /// Handles a change of the connection to @p address.
    void on_connection_state(const std::string& address, bool up);

    /// Runs everything that depends on time. Must be called regularly.
    void tick();

    /// Starts a graceful stop: callers are sent to other VMs and owned upstreams handed over.
    void drain();
    /// Returns whether a graceful stop is complete.
    [[nodiscard]] bool drained() const;
    /// Ends the session with control. Nothing is served afterwards.
    void leave();

    [[nodiscard]] const entry_context& context() const { return m_context; }
    [[nodiscard]] const ingress& request_ingress() const { return m_ingress; }
    [[nodiscard]] const owner& upstream_owner() const { return m_owner; }

private:
    /// What a control request is for; selects the handler of its reply.
    enum class control_purpose : std::uint8_t { other, renew, config, claim, permit, acquire };
    /// A control request that has not been answered yet.
    struct pending_control {
        wire::control_request_t request;
        control_purpose purpose = control_purpose::other;
        std::string subject; ///< What it is about, e.g. a request id or an upstream id.
        core::time_point first_sent{};
        core::time_point resend_at{};
        core::time_point expires_at{};
        bool replica_declined = false; ///< The replica replied that it can't serve the request.
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
    std::string m_suspect_control; ///< Did not answer; hints that it is the leader are ignored.
    core::time_point m_suspect_until{};
    std::map<std::uint64_t, pending_control> m_pending;
    std::uint64_t m_next_control_id = 1;
    bool m_registered = false;
    std::uint64_t m_ownership_version = 0;
    membership::pause_detector m_pause_detector;
    membership::message_age_estimator m_message_ages;
    std::map<std::string, std::string> m_addresses; ///< Inner address by VM; expired VMs too.
    std::map<std::string, bool> m_link_up;          ///< By inner address.
    std::set<std::string> m_persistent_peers;       ///< Addresses with a connection kept open.
    std::vector<wire::envelope_t> m_local_messages; ///< Queued messages to this VM itself.
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
