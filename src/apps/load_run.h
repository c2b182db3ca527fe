// Open-loop load: requests leave on a schedule, whatever becomes of the earlier ones.
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

struct load_options {
    std::vector<std::string> entries;
    std::string team_key;
    double seconds = 10;
    double rate = 50;
    std::uint32_t adapters = 3000;
    double zipf = 1.1;
    std::uint32_t tokens = 32;
    std::string service;
    double service_share = 0.2;
    std::uint32_t deadline_ms = 20'000;
    std::uint32_t resends = 2;
    double shift_at = 0.0;
    std::uint64_t seed = 1;
    std::string records_path;
};

/// Runs on one thread; every answer is compared with the text that the stand-in's model
/// must give.
class load_run final : public http::client_handler {
public:
    explicit load_run(load_options options);
    ~load_run() override = default;

    /// Runs to the end and prints one JSON object. Returns the exit status.
    int run();

private:
    struct shot {
        std::uint64_t number = 0;
        bool service = false;
        std::string key;
        std::string adapter;
        std::string prompt;
        core::time_point due{};
        core::time_point first_token{};
        std::uint32_t sends = 0;
        std::size_t endpoint = 0;
        std::uint16_t status = 0;
        std::string verdict;
        std::string reason;
        std::string shown_adapter;
        std::string request_id;
        std::string body;
        std::string text;
        bool done_marker = false;
        requests::sse_data_splitter events;
    };

    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, http::call_result how) override;

    void schedule();
    void fire();
    void send(std::uint64_t call);
    void refresh_endpoints();
    void take_endpoints(const std::string& body);
    void take_event(shot& one, const std::string& data);
    void conclude(shot& one, bool answered);
    void resend_later(std::uint64_t call, core::duration pause);
    [[nodiscard]] std::uint32_t draw_adapter();
    [[nodiscard]] bool text_right(const shot& one) const;
    void print_summary();

    load_options m_options;
    core::boottime_clock m_clock;
    core::random_source m_random;
    boost::asio::io_context m_context{1};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_refresh;
    http::client m_client;
    std::ofstream m_records;
    std::vector<double> m_cumulative;
    std::vector<std::string> m_endpoints;
    std::map<std::uint64_t, shot> m_open;
    core::time_point m_begun{};
    std::uint64_t m_fired = 0;
    std::uint64_t m_refresh_call = 0;
    std::string m_refresh_body;
    std::size_t m_refresh_entry = 0;
    std::uint64_t m_wrong_text = 0;
    std::uint64_t m_wrong_adapter = 0;
    std::uint64_t m_no_answer = 0;
    std::uint64_t m_idempotent_failed = 0;
    std::uint64_t m_models = 0;
    std::uint64_t m_services = 0;
    std::uint64_t m_services_unknown = 0;
    std::map<std::string, std::uint64_t> m_verdicts;
    std::map<std::string, std::uint64_t> m_reasons;
    observe::latency_histogram m_first_token;
    observe::latency_histogram m_total;
};

} // namespace siskindrift::apps
