// Everything that one owned engine or service is told to do, decided in one place.
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

/// Bounds of one engine's queue and orders.
struct engine_owner_options {
    residency_options residency;
    std::size_t max_queue = 512;
    std::uint32_t load_attempts = 2;
    core::duration load_retry_pause = core::milliseconds{200};
    core::duration permit_retry_pause = core::milliseconds{20};
    core::duration permit_wait_limit = core::milliseconds{2000}; // above the leader's patience
};

/// What the engine's owner should do next.
struct engine_action {
    enum class kind : std::uint8_t { start, refuse, load, unload, request_permit, return_permit };
    kind type = kind::start;
    work_id work = 0;
    core::reason refusal_reason = core::reason::none;
    core::adapter_version adapter;
    double benefit = 0.0;
    std::uint64_t permit = 0;
};

/// The state of one owned upstream. Plain services have no adapters: their work starts at
/// once, up to the batch.
class engine_owner {
public:
    engine_owner(const wire::announcement_t& announced, const residency_policy& policy,
                 engine_owner_options options, core::time_point now);

    /// Admits work. Returns a refusal reason, or none.
    std::optional<core::reason> enqueue(queued_work work, core::time_point now);
    /// Removes work that has not started. Returns false when it has, or is unknown.
    bool cancel_waiting(work_id id);
    /// Ends work that had started.
    /// @param certain whether the engine is known to have stopped working on it.
    void finish(work_id id, bool certain, core::time_point now);

    /// Takes an announcement of the same incarnation in.
    void on_report(const wire::announcement_t& said, core::time_point now);

    void on_load_finished(const core::adapter_version& adapter, bool loaded, core::time_point now);
    void on_unload_finished(const core::adapter_version& adapter, bool unloaded,
                            core::time_point now);
    void on_order_outcome_unknown(const core::adapter_version& adapter, core::time_point now);
    void on_permit_granted(std::uint64_t permit, core::time_point now);
    void on_permit_denied(core::time_point now);

    /// Returns what to do now. Call after every event and on ticks.
    std::vector<engine_action> step(core::time_point now);

    [[nodiscard]] const residency_table& table() const { return m_table; }
    [[nodiscard]] const engine_queue& queue() const { return m_queue; }
    [[nodiscard]] std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(m_running.size());
    }
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint32_t batch() const { return m_batch; }
    /// Returns the demand that one more load would push out: 0 with a free slot, a very
    /// large number when nothing may go.
    [[nodiscard]] double eviction_cost(core::time_point now) const;
    /// Returns how many wait only for room in the batch, not for a load.
    [[nodiscard]] std::uint32_t waiting_for_batch_slot() const;
    /// Returns how long a request that arrives now would wait, from recent service times.
    [[nodiscard]] core::duration expected_wait() const;

private:
    struct running_work {
        core::adapter_version adapter;
        core::time_point started{};
    };
    struct failed_load {
        std::uint32_t times = 0;
        core::time_point retry_at{};
    };

    void start_ready(std::vector<engine_action>& actions, core::time_point now);
    void refuse_expired(std::vector<engine_action>& actions, core::time_point now);
    void refuse_failed(std::vector<engine_action>& actions, core::time_point now);
    void plan_loads(std::vector<engine_action>& actions, core::time_point now);
    void begin_wish(std::vector<engine_action>& actions, const core::adapter_version& adapter,
                    core::time_point now);
    void continue_pending(std::vector<engine_action>& actions, core::time_point now);
    void drop_permit(std::vector<engine_action>& actions);
    [[nodiscard]] std::vector<load_wish> wishes(core::time_point now) const;
    [[nodiscard]] std::uint32_t loads_in_flight() const;
    [[nodiscard]] bool has_engine_adapters() const { return m_kind == wire::upstream_kind::engine; }

    const residency_policy& m_policy;
    engine_owner_options m_options;
    wire::upstream_kind m_kind;
    std::uint64_t m_incarnation;
    std::uint32_t m_batch;
    residency_table m_table;
    engine_queue m_queue;
    std::map<work_id, running_work> m_running;
    std::map<core::adapter_version, failed_load> m_failed;
    std::set<core::adapter_version> m_make_room_for;          ///< Loads that wait for an unload.
    std::map<core::adapter_version, std::uint64_t> m_permits; ///< Permit of each load.
    std::uint64_t m_free_permit = 0;
    bool m_permit_asked = false;
    core::time_point m_permit_asked_at{};
    core::time_point m_permit_retry_at{};
    double m_service_ms = 1000.0;
};

} // namespace siskindrift::engines
