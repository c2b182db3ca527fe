// A request's life at the VM that its caller chose: admission, claim, attempts, final answer.
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

/// Sends a request to the control replicas; the answer comes to `on_claim`.
class claim_sender {
public:
    claim_sender() = default;
    claim_sender(const claim_sender&) = delete;
    claim_sender& operator=(const claim_sender&) = delete;
    virtual ~claim_sender() = default;

    virtual void take_claim(const core::request_id& id, wire::take_claim_t command) = 0;
    virtual void finish_claim(wire::finish_claim_t command) = 0;
};

/// All requests that callers have open at this VM. Pure: events in, outputs out.
class ingress {
public:
    ingress(entry_context& context, peer_sender& peers, claim_sender& claims);

    /// Begins a request. The outcome always comes through `entry_outputs::finish`.
    void submit(caller_id caller, caller_request request);
    /// Answers a request that is not admitted.
    void reject(caller_id caller, const caller_request& request, core::reason why,
                std::string message);
    /// The caller closed its connection.
    void on_caller_left(caller_id caller);
    void on_claim(const core::request_id& id, const wire::control_reply_t& reply);
    void on_dispatch_reply(const std::string& from, const wire::dispatch_reply_t& reply);
    void on_abandon_reply(const std::string& from, const wire::abandon_reply_t& reply);
    /// The path to a VM broke; what was sent to it may be lost.
    void on_peer_down(const std::string& vm);
    /// An owner's word on its engines.
    void on_digest(const std::string& vm, const wire::owner_digest_t& digest);
    void on_ownership_changed();
    /// The catalog changed; placement may weigh differently now.
    void on_config_changed();
    void tick();

    [[nodiscard]] std::size_t open_requests() const { return m_open_requests.size(); }
    [[nodiscard]] const std::map<core::upstream_id, routing::engine_view>& engine_views() const
    {
        return m_engine_views;
    }

private:
    enum class phase : std::uint8_t { claiming, placing, running, abandoning };

    struct attempt {
        std::uint32_t number = 0;
        std::string vm;
        std::uint64_t vm_incarnation = 0;
        core::upstream_id upstream;
        core::time_point last_progress{};
        std::size_t received_bytes = 0;                    ///< Bytes of this attempt.
        std::map<std::size_t, std::string> out_of_order;   ///< Pieces ahead of a gap, by offset.
        std::optional<wire::dispatch_reply_t> pending_end; ///< Came before the last piece.
        core::time_point gap_since{};
    };

    struct open_request {
        caller_id caller = 0;
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
        std::string delivered;
        std::uint32_t piece_count = 0;
        std::uint32_t stall_ms = 0;
        std::set<core::upstream_id> excluded_upstreams;
        core::outcome last_outcome{core::verdict::not_run, core::reason::none};
        std::uint32_t retry_after_ms = 0;
        bool may_have_run = false; ///< Some attempt may have run.
        bool claimed = false;
        bool first_piece_seen = false;
    };

    // Admission (ingress.cpp).
    [[nodiscard]] std::optional<refusal> check_admission(const caller_request& request) const;
    void refuse(caller_id caller, const caller_request& request, const refusal& why);
    void take_claim(open_request& open);
    void finish_from_claim(open_request& open, const wire::claim_result_t& claim);
    void complete(open_request& open, core::outcome result, std::uint16_t status,
                  std::string content_type, std::string body, std::string message);
    void report_claim_outcome(const open_request& open, core::outcome result,
                              const final_response& answer);

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
    [[nodiscard]] std::string response_text(const open_request& open) const;

    entry_context& m_context;
    peer_sender& m_peers;
    claim_sender& m_claims;
    team_limits m_limits;
    retry_budget m_retry_budget;
    std::unique_ptr<routing::placement_policy> m_placement;
    std::string m_placement_key;
    std::map<core::request_id, open_request> m_open_requests;
    std::map<caller_id, core::request_id> m_by_caller;
    std::map<core::upstream_id, routing::engine_view> m_engine_views;
    std::set<core::request_id> m_completed; ///< Ended during the current event.

    void remove_completed();
};

} // namespace siskindrift::requests
