// A simulation of gateways that send requests for one popular and many rare adapters to engines
// with few slots, by views that are some hundred milliseconds old.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/adapters/placer.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/gateway/upstream_limits.h"
#include "siskindrift/gateway/upstream_pool.h"

namespace siskindrift::tests {

/// What is simulated.
struct crowding_scenario {
    std::size_t gateways = 40;
    std::size_t engines = 12;
    std::uint32_t adapter_slots = 8; ///< Of each engine.
    std::uint32_t slots = 24;        ///< Requests that an engine runs at once.
    std::uint32_t queue = 72;        ///< Requests that it queues; it rejects further ones.
    double popular_per_s = 200;      ///< Requests for the popular adapter.
    double rare_per_s = 120;         ///< Requests for all rare adapters.
    std::uint32_t rare_adapters = 400;
    core::duration service_time = core::milliseconds{450};
    core::duration load_time = core::milliseconds{288};
    core::duration patience = core::milliseconds{2500}; ///< Until the first token.
    core::duration objective = core::milliseconds{800};
    core::duration report_interval = core::milliseconds{40}; ///< Of each gateway.
    std::uint64_t seed = 1;
};

/// What the callers of a kind of request have seen.
struct crowding_outcome {
    std::size_t asked = 0;
    std::size_t started = 0;  ///< Within their patience.
    std::size_t timely = 0;   ///< Within their objective.
    std::size_t rejected = 0; ///< Sends that an engine rejected.

    /// Returns the share of the requests that started in time.
    [[nodiscard]] double share_started() const
    {
        return asked == 0 ? 1 : static_cast<double>(started) / static_cast<double>(asked);
    }
};

/// Plays requests against the placer and one upstream pool for each gateway.
class crowding_world {
public:
    explicit crowding_world(crowding_scenario scenario);

    /// Plays @p length and returns the outcome of the requests that arrived in it.
    /// @return by whether the adapter is the popular one.
    std::map<bool, crowding_outcome> play(core::duration length);

private:
    struct request {
        gateway::adapter_name adapter;
        core::time_point arrived{};
        bool popular = false;
    };
    struct run {
        request what;
        std::size_t gateway = 0;
        core::time_point ends{};
    };
    struct engine_model {
        std::string id;
        std::uint64_t orders_accepted = 0;
        std::set<std::string> loaded;
        std::map<std::string, core::time_point> loading; ///< When each load ends.
        std::vector<run> running;
        std::deque<run> queue;
    };
    struct gateway_model {
        std::unique_ptr<gateway::upstream_pool> pool;
        std::deque<request> waiting;
        std::map<std::string, std::deque<core::time_point>> rejections; ///< By adapter.
        std::set<std::string> wished;
        core::time_point report_due{};
    };

    void arrive(double per_s, bool popular);
    [[nodiscard]] bool dispatch(std::size_t gateway, const request& what);
    void run_engines();
    void execute_orders();
    void publish_views();
    void report(gateway_model& from, std::size_t number);
    [[nodiscard]] std::uint64_t draw(std::uint64_t below)
    {
        return core::uniform_below(m_random, below);
    }

    crowding_scenario m_scenario;
    core::manual_clock m_clock;
    core::random_source m_random;
    fleet::roster m_roster;
    gateway::upstream_limits m_limits{"gateway"};
    adapters::placer m_placer;
    std::vector<engine_model> m_engines;
    std::vector<gateway_model> m_gateways;
    std::map<bool, double> m_due;
    std::map<bool, crowding_outcome> m_outcome;
    core::time_point m_copies_due{};
    core::time_point m_loads_due{};
    core::time_point m_polls_due{};
};

} // namespace siskindrift::tests
