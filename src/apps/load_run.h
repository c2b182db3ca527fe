// Open-loop load generator: sends requests at a fixed rate, whether or not earlier ones have ended.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/http/client.h"
#include "siskindrift/observe/metrics.h"
#include "siskindrift/requests/request.h"

namespace siskindrift::apps {

/// Options of a run.
struct load_options {
    std::vector<std::string> entries; ///< Caller addresses that are asked for endpoints.
    std::string team_key;
    double seconds = 10;           ///< Time during which requests are started.
    double rate = 50;              ///< Requests per second.
    std::uint32_t adapters = 3000; ///< Number of adapters to choose from.
    double zipf = 1.1;             ///< Exponent of the Zipf distribution of their popularity.
    std::uint32_t tokens = 32;     ///< Tokens of a completion.
    std::string service;           ///< Service to call as well; empty for none.
    double service_share = 0.2;    ///< Share of non-idempotent service calls, 0 to 1.
    std::uint32_t deadline_ms = 20'000;
    std::uint32_t resends = 2; ///< Limit for each request.
    double shift_at = 0.0;     ///< Second at which other adapters become popular; 0 for never.
    std::uint64_t seed = 1;
    std::string records_path; ///< File that gets one JSON line per request; empty for none.
};

/// Generates the load and checks every response against the text that the stand-in engine
/// must generate. Runs on one thread.
class load_run final : public http::client_handler {
public:
    /// @param options options of the run; at least one entry.
    explicit load_run(load_options options);
    ~load_run() override = default;

    /// Runs to the end and prints a summary as one JSON object.
    /// @return exit status: 0, or 1 if a response had a wrong text or a wrong adapter.
    int run();

private:
    /// A request and the response received so far.
    struct request_state {
        std::uint64_t number = 0;
        bool service = false;
        std::string idempotency_key;
        std::string adapter;
        std::string prompt;
        core::time_point started_at{};
        core::time_point first_token_at{};
        std::uint32_t sends = 0;
        std::size_t endpoint_index = 0;
        std::uint16_t status = 0;
        std::string verdict;
        std::string reason;
        std::string reported_adapter;
        std::string request_id;
        std::string body;
        std::string text;
        bool done_received = false;
        requests::sse_data_splitter events;
    };

    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, const http::call_end& end) override;

    void schedule();
    void start_request();
    void send(std::uint64_t call);
    void refresh_endpoints();
    void update_endpoints(const std::string& body);
    void handle_event(request_state& request, const std::string& data);
    void record_result(request_state& request, bool complete_response);
    void resend_later(std::uint64_t call, core::duration delay);
    [[nodiscard]] std::uint32_t choose_adapter();
    [[nodiscard]] bool has_correct_text(const request_state& request) const;
    void print_summary();

    load_options m_options;
    core::boottime_clock m_clock;
    core::random_source m_random;
    boost::asio::io_context m_context{1};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_refresh_timer;
    http::client m_client;
    std::ofstream m_records;
    std::vector<double> m_cumulative_weights;
    std::vector<std::string> m_endpoints;
    std::map<std::uint64_t, request_state> m_open_requests;
    core::time_point m_run_started_at{};
    std::uint64_t m_started_count = 0;
    std::uint64_t m_refresh_call = 0;
    std::string m_refresh_body;
    std::size_t m_refresh_entry_index = 0;
    std::uint64_t m_wrong_text = 0;
    std::uint64_t m_wrong_adapter = 0;
    std::uint64_t m_no_response = 0;
    std::uint64_t m_idempotent_failed = 0;
    std::uint64_t m_model_requests = 0;
    std::uint64_t m_service_requests = 0;
    std::uint64_t m_service_requests_unknown = 0;
    std::map<std::string, std::uint64_t> m_verdicts;
    std::map<std::string, std::uint64_t> m_reasons;
    observe::latency_histogram m_first_token_latency;
    observe::latency_histogram m_total_latency;
};

} // namespace siskindrift::apps
