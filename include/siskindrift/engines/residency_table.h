// The adapters that an owned engine holds, and which of them may be evicted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::engines {

/// The state of an adapter on an engine.
enum class residency : std::uint8_t {
    loading,
    resident,
    unloading,
    unknown, ///< The answer to an order was lost; a later report shows the state.
};

/// Maximum delays of reports and orders, and parameters of the demand estimate.
struct residency_options {
    /// Maximum age of a report on arrival.
    core::duration max_report_age = core::milliseconds{1500};
    /// Maximum time until an order reaches the engine.
    core::duration max_order_delay = core::milliseconds{1500};
    /// Half-life of the demand. Long enough to distinguish one use per minute from a single use.
    core::duration demand_half_life = std::chrono::seconds{300};
    /// Number of uses expected at an adapter's usual rate that may fail to occur in a row before
    /// its demand estimate is reduced.
    double max_missed_uses = 3.0;
};

/// The slot of one adapter on the engine.
struct resident_entry {
    residency state = residency::loading;
    std::uint32_t in_use = 0;           ///< Running requests of this owner.
    std::uint32_t foreign_requests = 0; ///< Other running requests that the engine reported.
    bool pinned = false;      ///< May be in use by a request that this owner doesn't track.
    core::time_point since{}; ///< Time of the last change of `state`.
    core::time_point last_used{};
    core::time_point ignore_reports_until{}; ///< Earlier reports may be outdated.
};

/// The adapters of one engine. An entry in any state occupies a slot.
class residency_table {
public:
    /// @param slots number of adapters that the engine can hold.
    residency_table(std::uint32_t slots, residency_options options)
        : m_slots(slots), m_options(options)
    {
    }

    /// Takes over an engine whose earlier orders are unknown: each reported adapter stays pinned
    /// until a report that was made after the takeover shows it idle.
    void take_over(const std::vector<wire::resident_info_t>& reported, core::time_point now);

    /// Updates the entries from a report, except those with a recent order.
    void on_report(const std::vector<wire::resident_info_t>& reported, core::time_point now);

    /// Changes the state to `loading`.
    /// @return false if there is no free slot or the adapter already has an entry.
    bool begin_load(const core::adapter_version& adapter, core::time_point now);
    /// Ends the state `loading`: the adapter is resident if @p loaded, otherwise it is removed.
    void finish_load(const core::adapter_version& adapter, bool loaded, core::time_point now);
    /// Changes the state to `unloading`.
    /// @return false if the adapter is or may be in use.
    bool begin_unload(const core::adapter_version& adapter, core::time_point now);
    /// Ends the state `unloading`: the adapter is removed if @p unloaded, otherwise it is resident.
    void finish_unload(const core::adapter_version& adapter, bool unloaded, core::time_point now);
    /// Changes the state to `unknown` after the answer to an order was lost.
    void mark_unknown(const core::adapter_version& adapter, core::time_point now);

    /// Begins the use of an adapter by a request.
    /// @return false if the adapter is not resident.
    bool acquire(const core::adapter_version& adapter, core::time_point now);
    /// Ends the use of an adapter by a request.
    void release(const core::adapter_version& adapter, core::time_point now);
    /// Ends the use by a request that the engine may still be running: the adapter stays pinned
    /// until a report that was made later shows it idle.
    void release_pinned(const core::adapter_version& adapter, core::time_point now);

    /// Records a request for an adapter, resident or not.
    void record_demand(const core::adapter_version& adapter, core::time_point now);
    /// Returns the number of requests for the adapter, decayed by `demand_half_life`.
    [[nodiscard]] double demand(const core::adapter_version& adapter, core::time_point now) const;

    /// Returns the entry of the adapter, or null.
    [[nodiscard]] const resident_entry* find(const core::adapter_version& adapter) const;
    /// Returns whether the adapter is resident and certainly not in use.
    [[nodiscard]] bool evictable(const core::adapter_version& adapter) const;
    /// Returns whether requests can run with the adapter.
    [[nodiscard]] bool resident(const core::adapter_version& adapter) const;
    /// Returns the number of slots without an entry.
    [[nodiscard]] std::uint32_t free_slots() const;
    /// Returns the number of adapters that the engine can hold.
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    /// Returns the entries in all states.
    [[nodiscard]] const std::map<core::adapter_version, resident_entry>& entries() const
    {
        return m_entries;
    }

    /// Removes all entries, for example after a restart of the engine.
    void clear();

private:
    struct demand_rate {
        double value = 0.0;
        core::time_point updated_at{};
    };

    [[nodiscard]] double decayed(const demand_rate& rate, core::time_point now) const;
    void set_state(resident_entry& entry, residency state, core::time_point now) const;

    std::uint32_t m_slots;
    residency_options m_options;
    std::map<core::adapter_version, resident_entry> m_entries;
    std::map<core::adapter_version, demand_rate> m_demand_rates;
    core::time_point m_last_rate_cleanup{};
};

} // namespace siskindrift::engines
