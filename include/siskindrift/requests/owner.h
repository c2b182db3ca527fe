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

    void on_dispatch(const std::string& from, const wire::dispatch_t& order);
    void on_abandon(const std::string& from, const wire::abandon_t& order);
    void on_call_head(call_id call, const call_head& head);
    void on_call_data(call_id call, const std::string& bytes);
    void on_call_end(call_id call, call_end how);
    void on_permit(const core::upstream_id& upstream, std::optional<std::uint64_t> permit);

    /// Follows the ownership that control granted.
    void sync_ownership();
    /// An upstream's newer word arrived.
    void on_announcement(const core::upstream_id& upstream, membership::announcement_effect effect);
    /// Stops starting work on an upstream and refuses what waits, before it is handed over.
    void hand_over(const core::upstream_id& upstream);
    void tick();

    [[nodiscard]] const std::set<core::upstream_id>& handing_over() const { return m_handing_over; }
    [[nodiscard]] wire::owner_digest_t digest() const;
    [[nodiscard]] std::size_t open_work_items() const { return m_works.size(); }
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
    struct work {
        core::time_point last_word{};
        engines::work_id id = 0;
        std::string ingress;
        wire::dispatch_t order;
        core::upstream_id upstream;
        std::uint64_t upstream_incarnation = 0;
        core::time_point arrived{};
        core::time_point deadline{};
        call_id call = 0;         ///< 0 until it started.
        bool engine_done = false; ///< The engine is known to have stopped working on it.
        bool head_ok = false;
        bool finished_marker = false;
        bool model_checked = false;
        std::uint16_t status = 200;
        std::string content_type;
        std::size_t offset = 0;
        sse_data_splitter events;
        std::vector<wire::dispatch_reply_t> told; ///< Of a call that may not be repeated.
        std::size_t told_bytes = 0;
    };
    /// What an ingress that lost the connection may still ask for.
    struct kept_outcome {
        core::time_point since{};
        std::vector<wire::dispatch_reply_t> told;
    };
    struct order_call {
        core::upstream_id upstream;
        std::uint64_t incarnation = 0;
        core::adapter_version adapter;
        bool load = true;
        std::uint64_t permit = 0;
        std::uint16_t status = 0;
    };

    [[nodiscard]] std::optional<core::reason> admission_fault(const wire::dispatch_t& order) const;
    [[nodiscard]] bool is_service(const work& entry) const;
    void run(const core::upstream_id& upstream);
    void perform(const core::upstream_id& upstream, const engines::engine_action& action);
    void start(work& entry);
    void order(const core::upstream_id& upstream, const engines::engine_action& action);
    void end_order(order_call& entry, call_end how);
    void take_model_bytes(work& entry, const std::string& bytes);
    bool take_model_event(work& entry, const std::string& data);
    void fail(work& entry, core::outcome result);
    void end(work& entry, core::outcome result, wire::dispatch_event event);
    void reply(work& entry, wire::dispatch_reply_t message);
    void tell_again(const std::string& to, const std::vector<wire::dispatch_reply_t>& told);
    void forget_outcomes(core::time_point now);
    void refuse(const std::string& to, const wire::dispatch_t& order, core::reason why,
                std::uint32_t retry_after_ms = 0);
    void drop_engine(const core::upstream_id& upstream, core::reason why, bool calls_too);
    work* find_by_call(call_id call);

    entry_context& m_context;
    peer_sender& m_peers;
    permit_sender& m_permits;
    std::unique_ptr<engines::residency_policy> m_policy;
    std::string m_policy_name;
    std::map<core::upstream_id, std::unique_ptr<engines::engine_owner>> m_engines;
    std::map<core::upstream_id, std::uint64_t> m_fencing;
    std::set<core::upstream_id> m_handing_over;
    std::map<engines::work_id, work> m_works;
    std::map<attempt_key, engines::work_id> m_by_attempt;
    std::map<call_id, engines::work_id> m_by_call;
    std::map<call_id, order_call> m_orders;
    tombstones m_fates;
    std::map<attempt_key, kept_outcome> m_outcomes;
    engines::work_id m_next_work = 1;
};

} // namespace siskindrift::requests
