// Entry process: connects an `entry_core` to its network connections and data folder.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "siskindrift/config/settings.h"
#include "siskindrift/http/client.h"
#include "siskindrift/http/server.h"
#include "siskindrift/log/data_folder.h"
#include "siskindrift/net/mesh.h"
#include "siskindrift/observe/metrics.h"
#include "siskindrift/requests/entry_core.h"

namespace siskindrift::apps {

/// The process of one entry VM. Its handlers run on `workers` threads.
///
/// Lock order: `m_mutex` (guards the core and the open exchanges), then the locks inside the
/// mesh, the HTTP client and the metrics. None of the latter is held while a handler of this
/// class is called.
class entry_process final : public requests::entry_outputs,
                            public net::mesh_handler,
                            public http::server_handler,
                            public http::client_handler {
public:
    /// @param settings validated settings.
    explicit entry_process(config::entry_settings settings);
    ~entry_process() override = default;

    /// Serves until SIGTERM, SIGINT or a drain order, and then until the drain has ended.
    /// @return exit status of the process: 1 if the data folder or an address can't be used,
    ///         otherwise 0.
    int run();

private:
    /// An HTTP request of a caller whose response has not ended.
    struct exchange {
        std::shared_ptr<http::responder> responder;
        bool streaming = false; ///< The head of a streaming response has been sent.
    };

    // entry_outputs; called by the core with `m_mutex` held.
    void send_peer(const std::string& address, wire::envelope_t message) override;
    void send_control(const std::string& address, wire::control_request_t request) override;
    void start_call(requests::upstream_call call) override;
    void cancel_call(requests::call_id call) override;
    void stream_piece(requests::caller_id caller, const requests::caller_request& request,
                      const std::string& text) override;
    void finish(requests::caller_id caller, const requests::caller_request& request,
                requests::final_response response) override;
    void keep_peer_connected(const std::string& address, bool keep) override;
    void store_config(const wire::config_page_t& page) override;
    void count_reason(core::reason reason) override;
    void increment_counter(const char* name) override;
    void observe_ms(const char* name, double milliseconds) override;

    // mesh_handler
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_connection_state(const std::string& address, bool up) override;
    void on_bad_frame(core::reason reason) override;
    void on_connection_refused(core::reason reason) override;

    // server_handler
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_caller_disconnected(std::uint64_t exchange) override;
    void on_refused(core::reason reason) override;

    // client_handler
    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, const http::call_end& end) override;

    // Paths that this process answers itself.
    /// Answers the request if its path is one of these; returns false otherwise.
    bool handle_local_path(const http::server_request& request, http::responder& responder);
    void handle_endpoints(const http::server_request& request, http::responder& responder);
    void handle_models(const http::server_request& request, http::responder& responder);
    void handle_metrics(http::responder& responder);
    void handle_announcement(const http::server_request& request, http::responder& responder);
    /// Parses a request to a model or a service and hands it to the core.
    void handle_request(std::uint64_t exchange, const http::server_request& request,
                        std::shared_ptr<http::responder> responder);

    void handle_drain_order(net::connection_id from, const wire::drain_order_t& order);
    void handle_explain_query(net::connection_id from, const wire::explain_query_t& query);
    bool open_data_folder();
    /// Restores the configuration that was stored before the last stop.
    void load_config();
    void tick();
    void begin_drain();

    config::entry_settings m_settings;
    core::boottime_clock m_clock;
    core::memory_ledger m_memory; ///< Of requests, responses and messages.
    core::connection_ledger m_connections;
    observe::metrics m_metrics;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<net::mesh> m_mesh;
    http::server m_server;
    http::client m_client;
    std::optional<log::data_folder> m_data_folder;

    std::mutex m_mutex;
    std::unique_ptr<requests::entry_core> m_core;
    std::unordered_map<requests::caller_id, exchange> m_exchanges;
    std::map<std::string, std::string> m_stored_config; ///< Contents of the file CONFIG.
    bool m_shutting_down = false;                       ///< The drain has ended.
    core::time_point m_shutdown_at{};
};

} // namespace siskindrift::apps
