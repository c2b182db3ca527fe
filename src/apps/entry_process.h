// The entry process: sockets around an `entry_core`.
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

/// Runs one entry VM.
///
/// Lock order: `m_mutex` (the core and the open exchanges), then the mesh's, the HTTP
/// client's and the metrics' own locks. No handler is called while a later lock is held.
class entry_process final : public requests::entry_outputs,
                            public net::mesh_handler,
                            public http::server_handler,
                            public http::client_handler {
public:
    explicit entry_process(config::entry_settings settings);
    ~entry_process() override = default;

    /// Serves until stopped. Returns the process's exit status.
    int run();

private:
    struct exchange {
        std::shared_ptr<http::responder> answer;
        bool streaming = false;
    };

    // entry_outputs; called with m_mutex held.
    void send_peer(const std::string& address, wire::envelope_t message) override;
    void send_control(const std::string& address, wire::control_request_t request) override;
    void start_call(requests::upstream_call call) override;
    void cancel_call(requests::call_id call) override;
    void stream_piece(requests::caller_id caller, const requests::caller_request& request,
                      const std::string& text) override;
    void finish(requests::caller_id caller, const requests::caller_request& request,
                requests::final_response answer) override;
    void keep_peer(const std::string& address, bool keep) override;
    void store_config(const wire::config_page_t& page) override;
    void count_reason(core::reason why) override;
    void increment_counter(const char* name) override;
    void observe_ms(const char* name, double milliseconds) override;

    // mesh_handler
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_link(const std::string& address, bool up) override;
    void on_bad_frame(core::reason why) override;

    // server_handler
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> answer) override;
    void on_caller_disconnected(std::uint64_t exchange) override;
    void on_refused(core::reason why) override;

    // client_handler
    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, http::call_result how) override;

    void answer_endpoints(const http::server_request& request, http::responder& answer);
    void answer_models(const http::server_request& request, http::responder& answer);
    void answer_metrics(http::responder& answer);
    void take_announcement(const http::server_request& request, http::responder& answer);
    void take_work(std::uint64_t exchange, const http::server_request& request,
                   std::shared_ptr<http::responder> answer);
    bool answer_plain(const http::server_request& request, http::responder& answer);
    void take_drain_order(net::connection_id from, const wire::drain_order_t& order);
    void answer_explain(net::connection_id from, const wire::explain_query_t& query);
    bool open_data_folder();
    void load_config();
    void tick();
    void stop_gracefully();

    config::entry_settings m_settings;
    core::boottime_clock m_clock;
    observe::metrics m_metrics;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<net::mesh> m_mesh;
    http::server m_server;
    http::client m_client;
    std::optional<log::data_folder> m_folder;

    std::mutex m_mutex;
    std::unique_ptr<requests::entry_core> m_core;
    std::unordered_map<requests::caller_id, exchange> m_exchanges;
    std::map<std::string, std::string> m_stored_config;
    bool m_leaving = false;
    core::time_point m_leave_at{};
};

} // namespace siskindrift::apps
