// Requests at the VM that received them: admission, claim, attempts and final response.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "siskindrift/requests/context.h"
#include "siskindrift/requests/team_limits.h"
#include "siskindrift/routing/placement.h"

namespace siskindrift::requests {

/// Sends claim commands to the control replicas.
class claim_sender {
public:
    claim_sender() = default;
    claim_sender(const claim_sender&) = delete;
    claim_sender& operator=(const claim_sender&) = delete;
    virtual ~claim_sender() = default;

    /// Requests the claim of a non-idempotent request; the reply arrives at `ingress::on_claim`.
    virtual void take_claim(const core::request_id& id, wire::take_claim_t command) = 0;
    /// Reports the outcome of a claimed request, or releases its claim.
    virtual void finish_claim(wire::finish_claim_t command) = 0;
};

/// Handles the requests that callers have open at this VM. It does no I/O: events come in as
/// calls, effects go out through `entry_outputs`, `peer_sender` and `claim_sender`.
class ingress {
public:
    ingress(entry_context& context, peer_sender& peers, claim_sender& claims);

    /// Starts a request. The outcome is always reported through `entry_outputs::finish`.
    void submit(caller_id caller, caller_request request);
    /// Finishes a request that is not admitted with reason @p why.
    void reject(caller_id caller, const caller_request& request, core::reason why,
                std::string message);
    /// Handles that a caller closed its connection.
    void on_caller_left(caller_id caller);
    /// Handles the reply to `claim_sender::take_claim`.
    void on_claim(const core::request_id& id, const wire::control_reply_t& reply);
    /// Handles an owner's reply about an attempt.
    void on_dispatch_reply(const std::string& from, const wire::dispatch_reply_t& reply);
    /// Handles an owner's reply to an abandon message.
    void on_abandon_reply(const std::string& from, const wire::abandon_reply_t& reply);
    /// Handles that the link to @p vm went down. Messages sent to it may be lost.
    void on_peer_down(const std::string& vm);
    /// Updates the engine views from the digest of the owner @p vm.
    void on_digest(const std::string& vm, const wire::owner_digest_t& digest);
    /// Abandons attempts whose owner process is gone.
    void on_ownership_changed();
    /// Creates a new placement policy when its configuration changed.
    void on_config_changed();
    /// Handles timeouts and retries that are due.
    void tick();

    [[nodiscard]] std::size_t open_requests() const { return m_open_requests.size(); }
    [[nodiscard]] const std::map<core::upstream_id, routing::engine_status>& engine_views() const
    {
        return m_engine_views;
    }

private:
    /// What an open request waits for.
    enum class phase : std::uint8_t {
        claiming,   ///< The control replicas to reply about the claim.
        placing,    ///< A usable upstream.
        running,    ///< The owner to finish the attempt.
        abandoning, ///< The owner to reply whether the attempt has started.
    };

    /// The current attempt of an open request.
    struct attempt {
        std::uint32_t number = 0;
        std::string vm;
        std::uint64_t vm_incarnation = 0;
        core::upstream_id upstream;
        core::time_point last_progress{};
        std::size_t received_bytes = 0;                    ///< Contiguous bytes of this attempt.
        std::map<std::size_t, std::string> out_of_order;   ///< Pieces ahead of a gap, by offset.
        std::optional<wire::dispatch_reply_t> pending_end; ///< Arrived before the last piece.
        core::time_point gap_since{};                      ///< When the current gap was first seen.
    };

    struct open_request {
        caller_id caller = 0; ///< 0 after the caller has left.
        caller_request request;
        phase current_phase = phase::placing;
        core::time_point started_at{};
        core::time_point deadline{};
        core::time_point retry_at{};
        core::time_point placing_since{};
        core::time_point abandon_wait_start{};
        core::time_point abandon_sent_at{};
        core::reason abandon_reason = core::reason::none;
        attempt current;
        std::string delivered; ///< Data received over all attempts.
        std::uint32_t piece_count = 0;
        std::uint32_t stall_ms = 0;
        std::set<core::upstream_id> excluded_upstreams; ///< Tried without success.
        core::outcome last_outcome{core::verdict::not_run, core::reason::none};
        std::uint32_t retry_after_ms = 0;
        bool may_have_run = false; ///< Some attempt may have run.
        bool claimed = false;      ///< Control may hold a claim for it.
        bool first_piece_seen = false;
    };

    // Admission (ingress.cpp).
    [[nodiscard]] std::optional<refusal> check_admission(const caller_request& request) const;
    void refuse(caller_id caller, const caller_request& request, const refusal& why);
    void take_claim(open_request& open);
    /// Streams the text of a finished call again. Returns false if its claim holds no text.
    bool replay_stream(const open_request& open, const wire::claim_result_t& claim);
    void finish_from_claim(open_request& open, const wire::claim_result_t& claim);
    void complete(open_request& open, core::outcome result, std::uint16_t status,
                  std::string content_type, std::string body, std::string message);
    void report_claim_outcome(const open_request& open, core::outcome result,
                              const final_response& response);

    // Attempts (ingress_attempts.cpp).
    void place(open_request& open);
    [[nodiscard]] std::optional<core::upstream_id> choose_upstream(const open_request& open);
    [[nodiscard]] bool is_usable(const core::upstream_id& id, const open_request& open) const;
    [[nodiscard]] bool matches(const membership::upstream_record& record,
                               const open_request& open) const;
    void dispatch(open_request& open, const core::upstream_id& upstream);
    void on_piece(open_request& open, const wire::dispatch_reply_t& reply);
    void deliver_out_of_order_pieces(open_request& open);
    void deliver(open_request& open, const std::string& data);
    void on_finished_reply(open_request& open, const wire::dispatch_reply_t& reply);
    [[nodiscard]] bool gap_timed_out(const open_request& open) const;
    void on_attempt_ended(open_request& open, core::outcome result, std::uint32_t retry_after_ms);
    void abandon(open_request& open, core::reason why);
    void send_abandon(open_request& open, bool cancel);
    void tick(open_request& open);
    [[nodiscard]] std::string assemble_body(const open_request& open) const;

    entry_context& m_context;
    peer_sender& m_peers;
    claim_sender& m_claims;
    team_limits m_limits;
    retry_budget m_retry_budget;
    std::unique_ptr<routing::placement_policy> m_placement;
    std::string m_placement_key;
    std::map<core::request_id, open_request> m_open_requests;
    std::map<caller_id, core::request_id> m_by_caller;
    std::map<core::upstream_id, routing::engine_status> m_engine_views;
    std::set<core::request_id> m_completed; ///< Finished during the current event.

    void remove_completed();
};

} // namespace siskindrift::requests
