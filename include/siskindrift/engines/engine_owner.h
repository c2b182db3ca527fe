// The state machine of one owned upstream: admission, load and unload decisions, and starts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/engines/engine_queue.h"
#include "siskindrift/engines/policy.h"
#include "siskindrift/engines/residency_table.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::engines {

/// Limits of one engine's queue, loads and permits.
struct engine_owner_options {
    residency_options residency;
    std::size_t max_queue = 512;     ///< Maximum number of waiting requests.
    std::uint32_t load_attempts = 2; ///< Failed loads after which waiting requests are refused.
    core::duration load_retry_pause = core::milliseconds{200};  ///< After a failed load.
    core::duration permit_retry_pause = core::milliseconds{20}; ///< After a denied permit.
    /// Time after which a permit request counts as lost. Longer than the leader keeps a permit
    /// request waiting.
    core::duration permit_wait_limit = core::milliseconds{2000};
};

/// An action for the caller of `engine_owner` to carry out.
struct engine_action {
    enum class kind : std::uint8_t { start, refuse, load, unload, request_permit, return_permit };
    kind type = kind::start;
    work_id work = 0; ///< Request to start or to refuse.
    core::reason refusal_reason = core::reason::none;
    core::adapter_version adapter; ///< Adapter to load, to unload or to request a permit for.
    double benefit = 0.0;          ///< Waiting requests that the requested permit would serve.
    std::uint64_t permit = 0;      ///< Permit of the load, or permit to return; 0 for none.
};

/// The state of one owned upstream. A plain service has no adapters: its requests start at once
/// as long as the batch has room.
///
/// Performs no I/O: events are passed in, and `step` returns the actions to carry out.
class engine_owner {
public:
    /// Takes over the upstream that made @p announced. @p policy must outlive the owner.
    engine_owner(const wire::announcement_t& announced, const residency_policy& policy,
                 engine_owner_options options, core::time_point now);

    /// Queues a request.
    /// @return the reason of a refusal, or none if the request has been queued.
    std::optional<core::reason> enqueue(queued_work work, core::time_point now);
    /// Removes a request that has not started.
    /// @return false if the request has started or is unknown.
    bool cancel_waiting(work_id id);
    /// Ends a request that has started.
    /// @param stopped whether the engine is known to have stopped running it.
    void finish(work_id id, bool stopped, core::time_point now);

    /// Updates the adapters from an announcement of the same incarnation.
    void on_report(const wire::announcement_t& announcement, core::time_point now);

    /// Processes the outcome of a load order.
    void on_load_finished(const core::adapter_version& adapter, bool loaded, core::time_point now);
    /// Processes the outcome of an unload order.
    void on_unload_finished(const core::adapter_version& adapter, bool unloaded,
                            core::time_point now);
    /// Marks an adapter as unknown after the answer to its load or unload order was lost.
    void on_order_outcome_unknown(const core::adapter_version& adapter, core::time_point now);
    /// Stores a permit for the next load.
    void on_permit_granted(std::uint64_t permit, core::time_point now);
    /// Schedules another permit request.
    void on_permit_denied(core::time_point now);

    /// Returns the actions that are due. Call it after each event and periodically.
    std::vector<engine_action> step(core::time_point now);

    /// Returns the adapters of the engine.
    [[nodiscard]] const residency_table& table() const { return m_table; }
    /// Returns the waiting requests.
    [[nodiscard]] const engine_queue& queue() const { return m_queue; }
    /// Returns the number of running requests.
    [[nodiscard]] std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(m_running.size());
    }
    /// Returns the incarnation of the upstream's process.
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    /// Returns the maximum number of requests that run together.
    [[nodiscard]] std::uint32_t batch() const { return m_batch; }
    /// Returns the demand for the adapter that the next load would evict, as a decayed number of
    /// requests (see `residency_table::demand`): 0 if there is a free slot, 1e6 if no adapter can
    /// be evicted.
    [[nodiscard]] double eviction_cost(core::time_point now) const;
    /// Returns the number of requests that wait only for room in the batch, not for a load.
    [[nodiscard]] std::uint32_t waiting_for_batch_slot() const;
    /// Returns the expected wait of a request that arrives now, based on recent service times.
    [[nodiscard]] core::duration expected_wait() const;

private:
    struct running_work {
        core::adapter_version adapter;
        core::time_point started{};
    };
    struct failed_load {
        std::uint32_t failures = 0;
        core::time_point retry_at{};
    };

    void start_ready(std::vector<engine_action>& actions, core::time_point now);
    void refuse_expired(std::vector<engine_action>& actions, core::time_point now);
    void refuse_after_failed_loads(std::vector<engine_action>& actions, core::time_point now);
    void plan_loads(std::vector<engine_action>& actions, core::time_point now);
    /// Loads an adapter, or unloads another one if there is no free slot.
    void begin_load_or_unload(std::vector<engine_action>& actions,
                              const core::adapter_version& adapter, core::time_point now);
    void start_loads_after_unload(std::vector<engine_action>& actions, core::time_point now);
    void return_unused_permit(std::vector<engine_action>& actions);
    [[nodiscard]] std::vector<pending_load> pending_loads(core::time_point now) const;
    [[nodiscard]] std::uint32_t loads_in_flight() const;
    [[nodiscard]] bool holds_adapters() const { return m_kind == wire::upstream_kind::engine; }

    const residency_policy& m_policy;
    engine_owner_options m_options;
    wire::upstream_kind m_kind;
    std::uint64_t m_incarnation;
    std::uint32_t m_batch;
    residency_table m_table;
    engine_queue m_queue;
    std::map<work_id, running_work> m_running;
    std::map<core::adapter_version, failed_load> m_failed_loads;
    std::set<core::adapter_version> m_loads_awaiting_unload;            ///< Adapters to load.
    std::map<core::adapter_version, std::uint64_t> m_permit_by_adapter; ///< Permits of these loads.
    std::uint64_t m_unused_permit = 0; ///< Granted permit without a load; 0 for none.
    bool m_permit_requested = false;
    core::time_point m_permit_requested_at{};
    core::time_point m_permit_retry_at{};
    double m_mean_service_ms = 1000.0; ///< Exponential moving average.
};

} // namespace siskindrift::engines
