// A model of many gateways that share the upstreams of a service without engines.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/gateway/upstream_pool.h"

namespace siskindrift::tests {

/// Parameters of a model of a service without engines.
struct plain_service_scenario {
    std::uint64_t seed = 1;
    std::size_t gateways = 80;
    std::size_t upstreams = 3;
    std::uint32_t slots = 8;  ///< Requests that an upstream executes at once.
    std::uint32_t queue = 16; ///< Further requests that wait there before it rejects others.
    core::duration service_time = core::milliseconds{60}; ///< Mean time of execution.
    core::duration latency_objective = core::milliseconds{150};
    core::duration deadline = core::milliseconds{1000};
    core::duration one_way_time = core::milliseconds{1};
    bool repeatable = true;    ///< Whether a request may be executed more than once.
    bool reports_load = false; ///< Whether responses report the load of their upstream.
};

/// What happened to the requests of a part of a play.
struct plain_service_outcome {
    std::size_t asked = 0;
    std::size_t in_time = 0; ///< Answered within the latency objective.
    std::size_t late = 0;
    std::size_t refused = 0; ///< Ended by the gateway, not executed.
    std::size_t failed = 0;  ///< Ended by the gateway, possibly executed.
    std::size_t sends = 0;
    std::size_t rejected = 0; ///< Sends rejected by an upstream.
    std::size_t lost = 0;     ///< Sends lost by an upstream.
    std::map<std::string, std::size_t> sends_by_upstream;

    [[nodiscard]] std::string text() const;
};

/// Plays gateways, each with its own pool, and their upstreams, in virtual time.
class plain_service_world {
public:
    explicit plain_service_world(plain_service_scenario scenario);

    /// Lets the requests of @p per_s callers a second arrive for @p time.
    plain_service_outcome play(core::duration time, double per_s);
    /// Returns the requests a second that @p upstreams upstreams execute.
    [[nodiscard]] double capacity(std::size_t upstreams) const;
    void remove_upstream(std::size_t index);
    /// Sets whether an upstream resets each connection right after a request has arrived.
    void set_losing(std::size_t index, bool losing);
    /// Sets the factor by which the execution of requests takes longer.
    void set_slowness(std::size_t index, double factor);
    [[nodiscard]] static std::string id_of(std::size_t index);

private:
    enum class reply : std::uint8_t { answer, rejection, loss };
    struct request {
        std::size_t gateway = 0;
        core::time_point arrived;
        core::time_point sent;
        std::size_t upstream = 0;
        std::set<std::string> tried;
        unsigned sends = 0;
        unsigned may_have_run = 0;
    };
    using request_ptr = std::shared_ptr<request>;
    struct upstream_state {
        bool losing = false;
        double slowness = 1;
        std::uint32_t running = 0;
        std::deque<request_ptr> waiting;
    };

    void at(core::duration after, std::function<void()> action);
    void dispatch(const request_ptr& item);
    void arrive(const request_ptr& item);
    void execute(std::size_t index, const request_ptr& item);
    void receive(const request_ptr& item, reply what);

    plain_service_scenario m_scenario;
    core::manual_clock m_clock;
    core::random_source m_random;
    fleet::roster m_roster;
    gateway::upstream_limits m_limits{"vm"};
    std::vector<std::unique_ptr<gateway::upstream_pool>> m_pools;
    std::vector<upstream_state> m_upstreams;
    std::multimap<core::time_point, std::function<void()>> m_events;
    plain_service_outcome m_outcome;
};

} // namespace siskindrift::tests
