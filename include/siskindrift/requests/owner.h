// Attempts at the VM that owns their upstream, and load and unload orders to owned engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "siskindrift/engines/engine_owner.h"
#include "siskindrift/http/event_boundary.h"
#include "siskindrift/requests/context.h"
#include "siskindrift/requests/tombstones.h"

namespace siskindrift::requests {

/// Requests and returns load permits at the control replicas.
class permit_sender {
public:
    permit_sender() = default;
    permit_sender(const permit_sender&) = delete;
    permit_sender& operator=(const permit_sender&) = delete;
    virtual ~permit_sender() = default;

    /// Requests a permit to load @p adapter; the reply arrives at `owner::on_permit`.
    /// @param benefit number of waiting requests that the load would serve. Control grants the
    /// permit with the highest benefit first.
    virtual void ask_permit(const core::upstream_id& upstream, const std::string& adapter,
                            double benefit) = 0;
    /// Returns a permit that is no longer needed.
    virtual void return_permit(std::uint64_t permit) = 0;
};

/// Runs the attempts on the upstreams that this VM owns. It does no I/O: events come in as
/// calls, effects go out through `entry_outputs`, `peer_sender` and `permit_sender`.
class owner {
public:
    owner(entry_context& context, peer_sender& peers, permit_sender& permits);

    /// Admits an attempt to its engine's queue, or refuses it. Duplicates are ignored.
    void on_dispatch(const std::string& from, const wire::dispatch_t& dispatch);
    /// Removes an attempt that has not started. For one that has, cancels it or resends the
    /// replies, as @p abandon asks.
    void on_abandon(const std::string& from, const wire::abandon_t& abandon);
    /// Checks the response head of an upstream call.
    void on_call_head(call_id call, const call_head& head);
    /// Forwards a part of the response body to the ingress.
    void on_call_data(call_id call, const std::string& bytes);
    /// Finishes the attempt or engine order of an upstream call.
    void on_call_end(call_id call, call_end how);
    /// Handles the reply to a permit request.
    /// @param permit the granted permit, or none when it was denied.
    void on_permit(const core::upstream_id& upstream, std::optional<std::uint64_t> permit);

    /// Drops upstreams that control no longer grants to this VM and adds new ones.
    void sync_ownership();
    /// Handles a new announcement of an owned upstream.
    void on_announcement(const core::upstream_id& upstream, membership::announcement_effect effect);
    /// Stops starting work on an upstream and refuses its queued work, so that control can give
    /// the upstream to another VM.
    void hand_over(const core::upstream_id& upstream);
    /// Handles timeouts and starts work that has become possible.
    void tick();

    [[nodiscard]] const std::set<core::upstream_id>& handing_over() const { return m_handing_over; }
    /// Returns the load and the resident adapters of all owned engines.
    [[nodiscard]] wire::owner_digest_t digest() const;
    /// Returns the number of attempts that are queued or running.
    [[nodiscard]] std::size_t open_work_items() const { return m_work_items.size(); }
    [[nodiscard]] bool owns(const core::upstream_id& upstream) const
    {
        return m_engines.contains(upstream);
    }
    [[nodiscard]] const std::map<core::upstream_id, std::unique_ptr<engines::engine_owner>>&
    engines() const
    {
        return m_engines;
    }

private:
    /// One admitted attempt.
    struct work_item {
        core::time_point last_queued_reply_at{};
        engines::work_id id = 0;
        std::string ingress; ///< VM that sent the dispatch.
        wire::dispatch_t dispatch;
        core::upstream_id upstream;
        std::uint64_t upstream_incarnation = 0;
        core::time_point arrived{};
        core::time_point deadline{};
        call_id call = 0;         ///< 0 until the attempt has started.
        bool engine_done = false; ///< The engine is known to have stopped working on it.
        bool head_accepted = false;
        bool end_marker_seen = false; ///< The stream's "[DONE]" has arrived.
        bool model_verified = false;  ///< Some event named the requested adapter.
        std::uint16_t status = 200;
        std::string content_type;
        std::size_t offset = 0; ///< Bytes of text sent to the ingress.
        sse_data_splitter events;
        /// Where the events of a plain service's answer end, if it consists of events.
        std::optional<http::event_boundary> service_events;
        std::vector<wire::dispatch_reply_t> sent_replies; ///< Only of a non-idempotent request.
        std::size_t sent_reply_bytes = 0;
    };
    /// Replies of a finished attempt, for an ingress that lost the connection.
    struct kept_outcome {
        core::time_point since{};
        std::vector<wire::dispatch_reply_t> sent_replies;
    };
    /// A load or unload call to an engine.
    struct engine_order {
        core::upstream_id upstream;
        std::uint64_t incarnation = 0;
        core::adapter_version adapter;
        bool load = true; ///< Load, else unload.
        std::uint64_t permit = 0;
        std::uint16_t status = 0;
    };

    [[nodiscard]] std::optional<core::reason>
    check_admission(const wire::dispatch_t& dispatch) const;
    [[nodiscard]] bool is_service(const work_item& item) const;
    [[nodiscard]] static bool service_answer_may_end(const work_item& item, call_end how);
    void run_engine(const core::upstream_id& upstream);
    void perform_action(const core::upstream_id& upstream, const engines::engine_action& action);
    void start_call(work_item& item);
    void send_engine_order(const core::upstream_id& upstream, const engines::engine_action& action);
    void finish_engine_order(engine_order& order, call_end how);
    void on_model_bytes(work_item& item, const std::string& bytes);
    bool on_model_event(work_item& item, const std::string& data);
    void fail_work(work_item& item, core::outcome result);
    void finish_work(work_item& item, core::outcome result, wire::dispatch_event event);
    void reply(work_item& item, wire::dispatch_reply_t message);
    void resend_replies(const std::string& to,
                        const std::vector<wire::dispatch_reply_t>& sent_replies);
    void remove_expired_outcomes(core::time_point now);
    void refuse(const std::string& to, const wire::dispatch_t& dispatch, core::reason why,
                std::uint32_t retry_after_ms = 0);
    void drop_engine(const core::upstream_id& upstream, core::reason why, bool cancel_calls);
    work_item* find_by_call(call_id call);

    entry_context& m_context;
    peer_sender& m_peers;
    permit_sender& m_permits;
    std::unique_ptr<engines::residency_policy> m_policy;
    std::string m_policy_name;
    std::map<core::upstream_id, std::unique_ptr<engines::engine_owner>> m_engines;
    std::map<core::upstream_id, std::uint64_t> m_fencing_tokens;
    std::set<core::upstream_id> m_handing_over;
    std::map<engines::work_id, work_item> m_work_items;
    std::map<attempt_key, engines::work_id> m_by_attempt;
    std::map<call_id, engines::work_id> m_by_call;
    std::map<call_id, engine_order> m_engine_orders;
    tombstones m_attempt_states;
    std::map<attempt_key, kept_outcome> m_outcomes;
    engines::work_id m_next_work_id = 1;
};

} // namespace siskindrift::requests
