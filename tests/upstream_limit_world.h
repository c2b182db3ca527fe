// A simulated fleet of gateways that share the limit of one upstream, under faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "siskindrift/control/upstream_limit_manager.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/gateway/upstream_limits.h"

namespace siskindrift::tests {

/// Parameters of a simulated fleet.
struct upstream_limit_world_options {
    std::size_t gateways = 7;
    core::request_rate limit{1};
    double demand = 4; ///< Requests that want the upstream, over what the limit allows.
    /// Fraction of the requests that the first gateway receives; the others share the rest.
    double first_gateway_share = 0;
    /// Fraction of the gateways whose answers from the upstream are lost.
    double unaware_share = 0;
    bool faults = true;
    core::duration length = std::chrono::seconds{60};
};

/// Runs gateways, their leader and the messages between them, one step after the other. The
/// upstream names its limit from the begin on. Every request that is admitted is sent.
class upstream_limit_world {
public:
    upstream_limit_world(std::uint64_t seed, upstream_limit_world_options options);

    void run();

    /// Returns by how many requests the bound was exceeded in the worst window; negative if never.
    [[nodiscard]] double worst_excess() const;
    /// Returns the arrivals over those that the limit allows, after the time to learn it.
    [[nodiscard]] double used_share() const;

private:
    using message = std::function<void()>;

    struct simulated_gateway {
        std::string vm;
        core::duration clock_offset{};
        double clock_rate = 1;
        std::uint64_t process =
            0; ///< Incremented by each start; messages to earlier ones are lost.
        std::unique_ptr<gateway::upstream_limits> limits;
        core::time_point down_until{};
        core::time_point frozen_until{};
        core::time_point cut_until{};
        double weight = 1;
        bool unaware = false;  ///< No answer of the upstream reaches it.
        bool attached = false; ///< Knows the upstreams, and so may send to them.
        std::size_t waiting = 0;
        core::time_point wait_end{};
    };

    [[nodiscard]] core::time_point local_time(const simulated_gateway& at) const;
    void start(simulated_gateway& at);
    void step();
    void inject_faults();
    void receive_requests(std::size_t index);
    void admit(std::size_t index, bool waited);
    void send_request(std::size_t index);
    void query(std::size_t index);
    void run_leader();
    void publish(std::size_t index);
    /// Delivers a message from or to a coordinator after a delay, longer if the gateway is cut off.
    void send(std::size_t index, message deliver);
    /// Delivers a message to a gateway unless its process has ended by then.
    void deliver_at(core::time_point due, std::size_t index, message deliver);
    void schedule(core::time_point at, message deliver);
    /// Returns whether the gateway runs and can receive requests.
    [[nodiscard]] bool runs(const simulated_gateway& at) const;
    [[nodiscard]] double uniform(); ///< In [0, 1).
    [[nodiscard]] core::duration random_ms(std::int64_t low, std::int64_t high);

    upstream_limit_world_options m_options;
    core::random_source m_random;
    core::time_point m_now{std::chrono::seconds{5000}};
    core::time_point m_begin = m_now;
    core::time_point m_end;
    std::vector<simulated_gateway> m_gateways;
    std::multimap<core::time_point, message> m_messages;
    control::upstream_limit_manager m_leader;
    state::control_state m_state;
    std::uint64_t m_term = 1;
    std::uint64_t m_published = 0;
    core::time_point m_leaderless_until{};
    std::vector<core::time_point> m_arrivals; ///< Sorted at the end of the run.
};

} // namespace siskindrift::tests
