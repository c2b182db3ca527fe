// A simulated fleet of gateways that share the retry budget of one service, under faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/control/retry_share_manager.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/gateway/retry_ledger.h"
#include "siskindrift/gateway/retry_share.h"

namespace siskindrift::tests {

/// Parameters of a simulated fleet.
struct retry_budget_world_options {
    std::size_t gateways = 7;
    std::size_t added_gateways = 3; ///< Started during the run.
    double requests_per_s = 140;    ///< Of all gateways.
    /// Fraction of the requests that the first gateway receives; the others share the rest.
    double first_gateway_share = 0;
    bool faults = true;
    std::size_t upstreams = 9;
    /// Upstreams stand still for up to 20 s, and then receive what was sent meanwhile.
    bool freeze_upstreams = false;
    bool restart_gateways = false; ///< All at once while upstreams stand still.
    /// Links to upstreams hold what is sent as well, while the upstreams still announce themselves,
    /// and many callers leave early.
    bool hold_links = false;
    bool bursts = false; ///< Requests come in bursts, with few in between.
    core::duration length = std::chrono::seconds{150};
    gateway::retry_budget_options budget{0.2, 50, core::milliseconds{10'000}};
};

/// Runs gateways, their leader and the messages between them, one step after the other. Upstreams
/// reject every request, which is retried as often as the budget allows.
class retry_budget_world {
public:
    retry_budget_world(std::uint64_t seed, retry_budget_world_options options);

    void run();

    /// Returns by how many retries the budget was exceeded in the worst window; negative if never.
    [[nodiscard]] double worst_excess() const;
    /// Returns the retries of the last window over those that are allowed there.
    [[nodiscard]] double used_share() const;

private:
    using message = std::function<void()>;

    struct simulated_gateway {
        std::string vm;
        core::duration clock_offset{};
        double clock_rate = 1;
        std::uint64_t process =
            0; ///< Incremented by each start; messages to earlier ones are lost.
        core::time_point started{}; ///< When the current process started, and the one before ended.
        std::unique_ptr<gateway::retry_ledger> ledger;
        std::unique_ptr<gateway::retry_share> share;
        core::time_point down_until{};
        core::time_point frozen_until{};
        core::time_point cut_until{};
        core::time_point next_query{};
    };

    struct simulated_upstream {
        gateway::upstream_run run;
        core::time_point frozen_since{};
        core::time_point frozen_until{};
        bool announces = false; ///< Only its link stands still.
    };

    struct simulated_request {
        std::size_t gateway = 0;
        std::uint64_t process = 0; ///< Of the gateway that received it.
        unsigned attempts = 0;
        bool open = false;
        std::uint32_t arrivals = 0;
        std::vector<std::size_t> tried;
    };

    [[nodiscard]] core::time_point local_time(const simulated_gateway& at) const;
    void start(simulated_gateway& at);
    void step();
    void inject_faults();
    void disturb(simulated_gateway& at);
    void move_callers();
    void receive_requests(std::size_t index);
    void send_attempt(std::uint64_t id);
    void give_up(std::uint64_t id, unsigned attempt, bool retry);
    void arrive(std::uint64_t id, unsigned attempt, std::size_t upstream,
                gateway::upstream_run run);
    void end_attempt(std::uint64_t id, unsigned attempt, bool answered);
    [[nodiscard]] std::size_t choose_upstream(const simulated_request& request);
    /// Returns the gateway that waits for an attempt, or null.
    [[nodiscard]] simulated_gateway* waiting_gateway(std::uint64_t id, unsigned attempt);
    void disturb_upstreams();
    void add_gateway();
    void tell_of_silent_upstreams(simulated_gateway& at);
    void query_share(std::size_t index);
    void tell_share(std::size_t index, std::uint64_t asked_ms);
    void run_leader();
    void change_leader();
    /// Delivers a message after a delay, longer if the gateway is cut off.
    void send(std::size_t index, message deliver);
    void schedule(core::time_point at, message deliver);
    [[nodiscard]] double uniform(); ///< In [0, 1).
    [[nodiscard]] core::duration random_ms(std::int64_t low, std::int64_t high);
    [[nodiscard]] double allowed_from(core::time_point begin) const;

    retry_budget_world_options m_options;
    core::random_source m_random;
    core::time_point m_now{std::chrono::seconds{5000}};
    core::time_point m_end;
    std::vector<simulated_gateway> m_gateways;
    std::vector<double> m_weights; ///< Share of the requests of each gateway.
    double m_traffic = 1;          ///< Factor on the rate of requests.
    std::multimap<core::time_point, message> m_messages;

    control::retry_share_manager m_leader;
    state::control_state m_state;
    std::uint64_t m_term = 1;
    core::time_point m_leaderless_until{};
    std::uint64_t m_announced = 0;

    std::vector<simulated_upstream> m_upstreams;
    std::vector<simulated_request> m_sent; ///< By the number of the request.
    std::vector<core::time_point> m_requests;
    std::vector<core::time_point> m_arrivals; ///< Of retries, sorted at the end of the run.
};

} // namespace siskindrift::tests
