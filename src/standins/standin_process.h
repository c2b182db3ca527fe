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

/// Appends JSON lines that say what truly happened.
class ledger {
public:
    explicit ledger(const std::string& path) : m_file(path, std::ios::app) {}
    void write(boost::json::object line);

private:
    std::ofstream m_file;
};

/// One upstream's settings.
struct upstream_settings {
    std::string id;
    std::string kind = "engine";
    std::string address;
    std::string failure_domain;
    std::string base_model;
    std::string service;
    std::uint32_t slots = 8;
    std::uint32_t batch = 16;
    bool checks_fencing = false;
    core::duration step_base = core::milliseconds{16};
    core::duration step_per_sequence = std::chrono::microseconds{400};
    core::duration service_time = core::milliseconds{30};
    core::duration report_lag = core::milliseconds{400};
};

/// Settings of a stand-in process.
struct standin_settings {
    std::vector<upstream_settings> upstreams;
    std::vector<std::string> entries; ///< Caller addresses to announce to.
    store_rates store;
    std::string ledger_path;
    std::string fault_address; ///< Where faults are ordered.
};

class standin_upstream;

/// Runs all stand-ins of one settings file, on one thread.
class standin_process final : private http::client_handler, private http::server_handler {
public:
    explicit standin_process(standin_settings settings);
    ~standin_process() override;
    int run();

    // For the upstreams.
    [[nodiscard]] boost::asio::io_context& context() { return m_context; }
    [[nodiscard]] ledger& book() { return m_ledger; }
    [[nodiscard]] weight_store& store() { return m_store; }
    [[nodiscard]] const core::clock& time() const { return m_clock; }
    void announce(const std::string& body);

private:
    void on_head(std::uint64_t, const http::client_head&) override {}
    void on_data(std::uint64_t, const std::string&) override {}
    void on_end(std::uint64_t call, http::call_result how) override;
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> answer) override;
    void on_caller_disconnected(std::uint64_t) override {}
    void on_refused(core::reason) override {}

    standin_settings m_settings;
    core::boottime_clock m_clock;
    boost::asio::io_context m_context{1};
    boost::asio::signal_set m_signals;
    ledger m_ledger;
    weight_store m_store;
    http::client m_client;
    http::server m_faults;
    std::size_t m_entry_at = 0;
    std::uint64_t m_next_call = 1;
    std::map<std::string, std::shared_ptr<standin_upstream>> m_upstreams;
};

/// Reads the settings; @p error says what is wrong when false is returned.
bool read_standin_settings(const std::string& text, standin_settings& settings, std::string& error);

} // namespace siskindrift::standins
