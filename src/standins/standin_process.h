// Stand-ins for engines, plain services and the weight store, for tests and the demo.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/http/client.h"
#include "siskindrift/http/server.h"
#include "siskindrift/standins/weight_store.h"

namespace siskindrift::standins {

/// Records the actions of the stand-ins as JSON lines at the end of a file. Tests compare them with
/// the responses that callers received.
class event_log {
public:
    explicit event_log(const std::string& path) : m_file(path, std::ios::app) {}
    void write(boost::json::object line);

private:
    std::ofstream m_file;
};

/// Settings of one stand-in upstream.
struct upstream_settings {
    std::string id;
    std::string kind = "engine"; ///< "engine" or "service".
    std::string address;
    std::string failure_domain;
    std::string base_model;
    std::string service;
    std::uint32_t slots = 8;
    std::uint32_t batch = 16;
    bool checks_fencing = false; ///< Rejects requests with a lower fencing number than seen before.
    core::duration step_base = core::milliseconds{16}; ///< Fixed part of a decoding step.
    core::duration step_per_sequence = std::chrono::microseconds{400}; ///< Added for each sequence.
    core::duration service_time = core::milliseconds{30};
    core::duration load_report_delay =
        core::milliseconds{400}; ///< Age of the load in announcements.
};

/// Settings of a stand-in process.
struct standin_settings {
    std::vector<upstream_settings> upstreams;
    std::vector<std::string> entries; ///< Caller addresses to announce to.
    store_rates store;
    std::string event_log_path;
    std::string fault_address; ///< Accepts commands that inject faults; empty for none.
};

class standin_upstream;

/// Runs all stand-ins of one settings file, on one thread.
class standin_process final : private http::client_handler, private http::server_handler {
public:
    explicit standin_process(standin_settings settings);
    ~standin_process() override;
    /// Serves until SIGTERM or SIGINT.
    /// @return exit status of the process: 1 if an address can't be used, otherwise 0.
    int run();

    // Used by the upstreams.
    [[nodiscard]] boost::asio::io_context& context() { return m_context; }
    [[nodiscard]] event_log& events() { return m_event_log; }
    [[nodiscard]] weight_store& store() { return m_store; }
    [[nodiscard]] const core::clock& clock() const { return m_clock; }
    /// Sends an announcement to one of the entry VMs.
    /// @param body the announcement as JSON.
    void announce(const std::string& body);

private:
    void on_head(std::uint64_t, const http::client_head&) override {}
    void on_data(std::uint64_t, const std::string&) override {}
    void on_end(std::uint64_t call, const http::call_end& end) override;
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_caller_disconnected(std::uint64_t) override {}
    void on_refused(core::reason) override {}

    standin_settings m_settings;
    core::boottime_clock m_clock;
    boost::asio::io_context m_context{1};
    boost::asio::signal_set m_signals;
    event_log m_event_log;
    weight_store m_store;
    http::client m_client;
    http::server m_fault_server;
    std::size_t m_next_entry = 0;
    std::uint64_t m_next_call = 1;
    std::map<std::string, std::shared_ptr<standin_upstream>> m_upstreams;
};

/// Reads the settings of a stand-in process.
/// @param text JSON object.
/// @param[out] settings the result.
/// @param[out] error what is wrong if the result is false.
bool read_standin_settings(const std::string& text, standin_settings& settings, std::string& error);

} // namespace siskindrift::standins
