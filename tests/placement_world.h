// A simulation of the placer with engines, a weight store and gateways.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/adapters/placer.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"

namespace siskindrift::tests {

/// A kind of request. Callers of all kinds ask for the same adapters.
struct request_kind {
    std::uint32_t weight = 1; ///< Relative number of requests.
    core::duration objective = core::milliseconds{1000};
    core::duration deadline = core::milliseconds{5000};
};

/// What is simulated.
struct placement_scenario {
    std::size_t engines = 12;
    std::uint32_t adapter_slots = 18; ///< Of each engine.
    std::size_t cached_adapters = 40; ///< In the local cache of each engine.
    double full_speed_loads = 8;      ///< Loads from the store that don't slow each other down.
    core::duration store_load_time = core::milliseconds{250};
    std::uint32_t adapters = 3000;
    double zipf_exponent = 1.2; ///< Of the adapters' popularity.
    double requests_per_s = 100;
    core::duration service_time = core::milliseconds{500};
    core::duration patience = core::milliseconds{3000}; ///< Longest wait for an adapter.
    std::vector<request_kind> kinds{{}};
    /// Share of the orders that get no answer, and are carried out seconds later if at all.
    double unanswered_orders = 0;
    /// Share of the orders that engines carry out late. Their answers come then.
    double late_answers = 0;
    core::duration max_answer_delay = core::milliseconds{900};
    /// Age of what engines report when the report is asked for.
    core::duration report_age{};
    std::uint64_t seed = 1;
};

/// What happened to the requests for one adapter.
struct adapter_record {
    std::size_t asked = 0;
    bool served = false;
    core::time_point first_asked{};
    core::time_point last_asked{};
    /// Arrival of the first request since the adapter was last served; none if that one is.
    std::optional<core::time_point> unserved_since;
    core::duration longest_unserved{};
};

/// What the callers and the store have seen.
struct placement_outcome {
    std::vector<double> waits_ms; ///< Of the requests whose adapter was loaded in time.
    std::size_t given_up = 0;     ///< Requests whose adapter was not loaded in time.
    std::size_t store_loads = 0;
    std::size_t cached_loads = 0;
    std::vector<std::size_t> asked;  ///< Requests by kind.
    std::vector<std::size_t> timely; ///< Of these, those that got their adapter in time.
    std::size_t overfilled = 0;      ///< Loads for which an engine had no adapter slot left.
    std::map<std::string, adapter_record> adapters;

    /// Returns the adapters that were asked for @p times or more, over @p span or more.
    [[nodiscard]] std::vector<adapter_record> often_asked(std::size_t times,
                                                          core::duration span) const;

    /// Returns the share of the requests of a kind that got their adapter in time.
    [[nodiscard]] double share_timely(std::size_t kind) const
    {
        return static_cast<double>(timely.at(kind)) / static_cast<double>(asked.at(kind));
    }
    /// Returns the share of all requests that waited at most @p ms.
    [[nodiscard]] double share_within(double ms) const;
};

/// Plays requests for adapters against a placer. The engines are modeled by the times that their
/// loads take; running requests only keep their adapter in use.
class placement_world {
public:
    explicit placement_world(placement_scenario scenario, adapters::placer_options options = {});

    /// Plays @p length and returns the outcome of the requests that arrived in it.
    placement_outcome play(core::duration length);
    /// Changes the store from now on.
    void set_store(double full_speed_loads, core::duration load_time);
    [[nodiscard]] const adapters::placer& placer() const { return m_placer; }
    /// Replaces the placer by one that knows nothing but the announcements.
    void change_leader();

private:
    struct engine_model {
        std::string id;
        std::uint64_t orders_accepted = 0;
        std::set<std::string> loaded;
        std::map<std::string, double> loading_ms_left; ///< At full speed.
        std::set<std::string> from_store;
        std::deque<std::string> cache; ///< Most recent last.
        std::map<std::string, int> running;
        std::string unloading; ///< Is unloaded once its requests have ended; empty for none.
    };
    struct report_in_transit {
        std::string engine;
        adapters::engine_report report;
        core::time_point arrives_at{};
    };
    struct request {
        std::string adapter;
        core::time_point arrived_at{};
        std::size_t kind = 0;
    };
    struct run {
        std::size_t engine;
        std::string adapter;
        core::time_point ends_at{};
    };
    struct order_in_transit {
        adapters::order given;
        core::time_point arrives_at{};
    };

    void announce_engines();
    void answer_polls();
    [[nodiscard]] static adapters::engine_report make_report(const engine_model& engine);
    void end_unloads();
    void deliver_delayed_orders();
    void deliver_late_orders();
    void step();
    void start_requests();
    void advance_loads();
    void deliver_orders();
    void report_to_placer();
    adapters::order_result execute(engine_model& engine, const adapters::order& given);
    engine_model& engine_of(const adapters::order& given);
    [[nodiscard]] bool draw(double share);
    void record_served(const request& one);
    [[nodiscard]] std::string draw_adapter();
    [[nodiscard]] std::size_t draw_kind();
    [[nodiscard]] std::size_t active_store_loads() const;

    placement_scenario m_scenario;
    adapters::placer_options m_options;
    gateway::deployment m_document;
    core::manual_clock m_clock;
    core::random_source m_random;
    adapters::placer m_placer;
    std::vector<engine_model> m_engines;
    std::vector<double> m_cumulative_popularity;
    std::deque<request> m_waiting;
    std::vector<run> m_runs;
    std::deque<order_in_transit> m_orders;
    std::vector<order_in_transit> m_late_orders;    ///< Carried out without an answer.
    std::vector<order_in_transit> m_delayed_orders; ///< Carried out and answered late.
    std::deque<report_in_transit> m_reports;
    std::deque<order_in_transit> m_timeouts; ///< Calls without an answer, until they end.
    std::set<std::string> m_reported_wishes;
    core::time_point m_report_due{};
    double m_arrivals_due = 0;
    placement_outcome m_outcome;
};

} // namespace siskindrift::tests
