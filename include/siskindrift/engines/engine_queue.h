// Requests that wait for one engine, in the order in which they may start.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"

namespace siskindrift::engines {

/// Names one admitted request at its owner.
using work_id = std::uint64_t;

/// One waiting request.
struct queued_work {
    work_id id = 0;
    core::adapter_version adapter;
    core::team_id team;
    std::uint8_t priority = 5;
    double share = 1.0;
    std::uint32_t cost = 1; ///< Tokens it may produce.
    core::time_point arrived{};
    core::time_point deadline{};
    double finish_tag = 0.0; ///< Set by the queue.
};

/// Weighted fair queueing between teams within each priority.
class engine_queue {
public:
    void push(queued_work work);
    /// Removes a request. Returns it, or none when it is not waiting.
    std::optional<queued_work> remove(work_id id);
    /// Removes and returns all whose deadline has passed.
    std::vector<queued_work> take_expired(core::time_point now);

    /// Returns the waiting requests, the next to start first.
    [[nodiscard]] const std::vector<queued_work>& in_order() const { return m_waiting; }
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }
    /// Returns how many wait for @p adapter.
    [[nodiscard]] std::uint32_t waiting_for(const core::adapter_version& adapter) const;

private:
    std::vector<queued_work> m_waiting; ///< Sorted.
    std::map<core::team_id, double> m_last_tag;
    std::map<core::adapter_version, std::uint32_t> m_by_adapter;
    double m_virtual_time = 0.0;

    void forget(const queued_work& work);
};

} // namespace siskindrift::engines
