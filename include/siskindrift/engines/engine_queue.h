// The requests that wait for one engine, sorted by priority and by weighted fair queueing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"

namespace siskindrift::engines {

/// Identifies an admitted request at its owner.
using work_id = std::uint64_t;

/// A waiting request.
struct queued_work {
    work_id id = 0;
    core::adapter_version adapter;
    core::team_id team;
    std::uint8_t priority = 5; ///< Requests of a higher priority start first.
    double weight = 1.0;       ///< Weight of the team.
    std::uint32_t cost = 1;    ///< Maximum number of tokens to generate.
    core::time_point arrived{};
    core::time_point deadline{};
    double finish_tag = 0.0; ///< Virtual finish time; set by the queue.
};

/// A priority queue with weighted fair queueing between the teams of each priority.
class engine_queue {
public:
    /// Adds a request and sets its finish tag.
    void push(queued_work work);
    /// Removes a request.
    /// @return the request, or none if it is not waiting.
    std::optional<queued_work> remove(work_id id);
    /// Removes and returns the requests whose deadline has passed.
    std::vector<queued_work> take_expired(core::time_point now);

    /// Returns the waiting requests in the order in which they start.
    [[nodiscard]] const std::vector<queued_work>& in_order() const { return m_waiting; }
    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }
    /// Returns the number of requests that wait for @p adapter.
    [[nodiscard]] std::uint32_t waiting_for(const core::adapter_version& adapter) const;

private:
    std::vector<queued_work> m_waiting; ///< In the order in which they start.
    std::map<core::team_id, double> m_last_finish_tag;
    std::map<core::adapter_version, std::uint32_t> m_waiting_by_adapter;
    double m_virtual_time = 0.0;

    /// Updates the virtual time and the counts after a request has been removed.
    void account_removal(const queued_work& work);
};

} // namespace siskindrift::engines
