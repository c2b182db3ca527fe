// A request's life at the VM that owns its upstream, and the orders to owned engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "siskindrift/engines/engine_owner.h"
#include "siskindrift/requests/context.h"
#include "siskindrift/requests/tombstones.h"

namespace siskindrift::requests {

/// Asks the control replicas for load permits.
class permit_sender {
public:
    permit_sender() = default;
    permit_sender(const permit_sender&) = delete;
    permit_sender& operator=(const permit_sender&) = delete;
    virtual ~permit_sender() = default;

    virtual void ask_permit(const core::upstream_id& upstream, const std::string& adapter,
                            double benefit) = 0;
    virtual void return_permit(std::uint64_t permit) = 0;
};

/// All upstreams that this VM owns. Pure: events in, outputs out.
class owner {
public:
    owner(entry_context& context, peer_sender& peers, permit_sender& permits);

    void on_dispatch(const std::string& from, const wire::dispatch_t& dispatch);
    void on_abandon(const std::string& from, const wire::abandon_t& abandon);
    void on_call_head(call_id call, const call_head& head);
    void on_call_data(call_id call, const std::string& bytes);
    void on_call_end(call_id call, call_end how);
    void on_permit(const core::upstream_id& upstream, std::optional<std::uint64_t> permit);

    /// Follows the ownership that control granted.
    void sync_ownership();
    /// An upstream's newer status arrived.
    void on_announcement(const core::upstream_id& upstream, membership::announcement_effect effect);
    /// Stops starting work on an upstream and refuses what waits, before it is handed over.
    void hand_over(const core::upstream_id& upstream);
    void tick();

    [[nodiscard]] const std::set<core::upstream_id>& handing_over() const { return m_handing_over; }
    [[nodiscard]] wire::owner_digest_t digest() const;
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
    struct work_item {
        core::time_point last_status_at{};
        engines::work_id id = 0;
        std::string ingress;
        wire::dispatch_t dispatch;
        core::upstream_id upstream;
        std::uint64_t upstream_incarnation = 0;
        core::time_point arrived{};
        core::time_point deadline{};
        call_id call = 0;         ///< 0 until it started.
        bool engine_done = false; ///< The engine is known to have stopped working on it.
        bool head_accepted = false;
        bool end_marker_seen = false;
        bool model_verified = false;
        std::uint16_t status = 200;
        std::string content_type;
        std::size_t offset = 0;
        sse_data_splitter events;
        std::vector<wire::dispatch_reply_t> sent_replies; ///< Of a call that may not be repeated.
        std::size_t sent_reply_bytes = 0;
    };
    /// What an ingress that lost the connection may still ask for.
    struct kept_outcome {
        core::time_point since{};
        std::vector<wire::dispatch_reply_t> sent_replies;
    };
    struct engine_order {
        core::upstream_id upstream;
        std::uint64_t incarnation = 0;
        core::adapter_version adapter;
        bool load = true;
        std::uint64_t permit = 0;
        std::uint16_t status = 0;
    };

    [[nodiscard]] std::optional<core::reason>
    check_admission(const wire::dispatch_t& dispatch) const;
    [[nodiscard]] bool is_service(const work_item& item) const;
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
