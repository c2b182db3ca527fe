// Which adapters an owned engine holds, and which of them must stay.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::engines {

enum class residency : std::uint8_t {
    loading,
    resident,
    unloading,
    unknown, ///< An order's answer was lost; only a later report tells.
};

/// Bounds on what reports and orders may lag.
struct residency_options {
    core::duration report_lag = core::milliseconds{1500}; // a report may be this old on arrival
    core::duration order_delay =
        core::milliseconds{1500}; // an order may reach the engine this late
    core::duration rate_half_life =
        std::chrono::seconds{300}; // tells one use a minute from one use
    double silent_uses = 3.0; ///< Expected uses that an adapter may miss before it counts as cold.
};

/// One adapter's place on the engine.
struct resident_entry {
    residency state = residency::loading;
    std::uint32_t in_use = 0;    ///< Requests of this owner that run on it.
    std::uint32_t foreign = 0;   ///< Requests that the engine reported beyond ours.
    bool pinned_unknown = false; ///< May be in use by a predecessor's request.
    core::time_point since{};    ///< When the state was entered.
    core::time_point last_used{};
    core::time_point settled_after{}; ///< Reports received before this say nothing about it.
};

/// The table of one engine. An entry in any state takes a slot.
class residency_table {
public:
    residency_table(std::uint32_t slots, residency_options options)
        : m_slots(slots), m_options(options)
    {
    }

    /// Takes over an engine whose past is unknown: all that it reports counts as pinned
    /// until a report that was made after the takeover shows it idle.
    void take_over(const std::vector<wire::resident_info_t>& reported, core::time_point now);

    /// Takes a report in; what was ordered too recently is left alone.
    void on_report(const std::vector<wire::resident_info_t>& reported, core::time_point now);

    /// Enters `loading`. Returns false when no slot is free or the adapter has one.
    bool begin_load(const core::adapter_version& adapter, core::time_point now);
    /// Ends `loading`: resident, or gone.
    void finish_load(const core::adapter_version& adapter, bool loaded, core::time_point now);
    /// Enters `unloading`. Returns false for an adapter that is or may be in use.
    bool begin_unload(const core::adapter_version& adapter, core::time_point now);
    /// Ends `unloading`: gone, or resident again.
    void finish_unload(const core::adapter_version& adapter, bool unloaded, core::time_point now);
    /// The answer of an order was lost.
    void lose_answer(const core::adapter_version& adapter, core::time_point now);

    /// Counts a request onto a resident adapter. Returns false when it is not resident.
    bool acquire(const core::adapter_version& adapter, core::time_point now);
    /// Ends a request's use.
    void release(const core::adapter_version& adapter, core::time_point now);
    /// Ends a request's use while the engine may still run it: the adapter stays pinned
    /// until a report that was made later shows it idle.
    void release_unsure(const core::adapter_version& adapter, core::time_point now);

    /// Notes demand for an adapter, resident or not.
    void note_demand(const core::adapter_version& adapter, core::time_point now);
    /// Returns the decayed number of requests for the adapter per half life.
    [[nodiscard]] double demand(const core::adapter_version& adapter, core::time_point now) const;

    [[nodiscard]] const resident_entry* find(const core::adapter_version& adapter) const;
    [[nodiscard]] bool evictable(const core::adapter_version& adapter) const;
    [[nodiscard]] bool resident(const core::adapter_version& adapter) const;
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] const std::map<core::adapter_version, resident_entry>& entries() const
    {
        return m_entries;
    }

    /// Forgets everything, as after a restart of the engine.
    void clear();

private:
    struct rate {
        double value = 0.0;
        core::time_point at{};
    };

    [[nodiscard]] double decayed(const rate& known, core::time_point now) const;
    void enter(resident_entry& entry, residency state, core::time_point now) const;

    std::uint32_t m_slots;
    residency_options m_options;
    std::map<core::adapter_version, resident_entry> m_entries;
    std::map<core::adapter_version, rate> m_rates;
    core::time_point m_rates_trimmed{};
};

} // namespace siskindrift::engines
