// The gateway: callers' requests to upstreams, and where callers should connect.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics_endpoint.h"
#include "platform/exchange_codec.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/gateway/document_follower.h"
#include "siskindrift/gateway/event_splitter.h"
#include "siskindrift/gateway/forward_policy.h"
#include "siskindrift/gateway/retry_budget.h"
#include "siskindrift/gateway/route_table.h"
#include "siskindrift/gateway/upstream_pool.h"
#include "siskindrift/http/client.h"
#include "siskindrift/http/server.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// Runs one gateway on one worker.
class gateway_process final : public net::mesh_handler, public http::client_handler {
public:
    gateway_process(config::gateway_settings settings, std::string settings_path);
    ~gateway_process() override;

    /// Serves until stopped. Returns the process's exit status.
    int run();

private:
    /// Hands the requests of one listening address to a function.
    class listener final : public http::server_handler {
    public:
        using request_function = std::function<void(std::uint64_t, http::server_request,
                                                    std::shared_ptr<http::responder>)>;
        using left_function = std::function<void(std::uint64_t)>;
        listener(request_function request, left_function left)
            : m_request(std::move(request)), m_left(std::move(left))
        {
        }
        void on_request(std::uint64_t exchange, http::server_request request,
                        std::shared_ptr<http::responder> answer) override
        {
            m_request(exchange, std::move(request), std::move(answer));
        }
        void on_left(std::uint64_t exchange) override { m_left(exchange); }
        void on_refused(core::reason why) override;

    private:
        request_function m_request;
        left_function m_left;
    };

    /// What one coordinator said last.
    struct coordinator {
        bool up = false;
        std::uint64_t leader_term = 0;
        std::vector<wire::gateway_info_t> gateways;
    };

    /// One request of a caller.
    struct exchange {
        std::uint64_t id = 0;
        http::server_request request;
        std::shared_ptr<http::responder> responder;
        gateway::request_metadata facts;
        gateway::route route;
        std::string service;
        gateway::adapter_name adapter; ///< Empty model where the service has no engines.
        core::time_point arrived{};
        core::time_point deadline{};
        std::optional<core::time_point> first_sent;
        std::optional<core::time_point> first_byte; ///< Of the answer, to the caller.
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::set<std::string> tried;
        unsigned sent = 0;
        unsigned may_have_run = 0;
        bool parked = false;
        core::reason error_message = core::reason::none;
        // The open attempt.
        std::uint64_t call = 0;
        std::string upstream;
        std::string address;
        std::uint32_t unread_tokens = 0; ///< Of the prompt, until the first byte comes.
        std::optional<http::client_head> head;
        gateway::response_metadata answer;
        std::string body;
        // A stream that has begun.
        bool began = false;
        gateway::event_splitter events;
        std::string last_event; ///< That the caller has, from this or an earlier answer.
    };

    // The process and its view of the deployment (gateway_process.cpp).
    bool listen();
    void show_state(observe::metrics& to) const;
    void await_signal();
    void reload();
    void keep_seeds();
    void begin_stop();
    [[nodiscard]] bool takes_requests() const;
    void watch_stop();
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_link(const std::string& address, bool up) override;
    void on_bad_frame(core::reason why) override;
    void take_update(coordinator& from, const wire::fleet_update_t& update);
    void take_document(const wire::document_page_t& page);
    void take_engines(const wire::engine_update_t& update);
    void attach(const std::string& address);
    void ask_document();
    void answer_readiness(const std::shared_ptr<http::responder>& responder);
    void answer_resolve(const http::server_request& request,
                        const std::shared_ptr<http::responder>& responder);
    [[nodiscard]] std::vector<std::string> gateway_addresses() const;
    [[nodiscard]] std::string leader_address() const;
    void report_soon();
    void report_later();
    [[nodiscard]] std::size_t gateway_count() const;
    void report_at(core::time_point due);
    void report();

    // Requests (gateway_exchanges.cpp).
    void begin(std::uint64_t id, http::server_request request,
               std::shared_ptr<http::responder> responder);
    void left(std::uint64_t id);
    void route_request(exchange& item);
    void route_waiting();
    void dispatch(exchange& item);
    void send(exchange& item, const gateway::pool_choice& choice);
    void park(exchange& item);
    void unpark();
    void arm_deadline(exchange& item, core::duration after);
    void time_out(std::uint64_t id);
    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, http::client_end how) override;
    void begin_stream(exchange& item);
    void pass_piece(exchange& item, const std::string& bytes);
    void attempt_ended(exchange& item, gateway::attempt_outcome end, core::reason why);
    void stream_ended(exchange& item, http::client_end how);
    void pass_on(exchange& item);
    void give_up(exchange& item, core::reason why);
    void cut(exchange& item, core::reason why);
    void finish(exchange& item, std::uint16_t status, core::reason why,
                std::optional<core::duration> retry_after);
    void prompt_read(exchange& item);
    void close_attempt(exchange& item);
    void forget(exchange& item);
    exchange* exchange_of(std::uint64_t call);
    [[nodiscard]] core::duration time_left(const exchange& item) const;
    void count(core::reason why);
    void note_served(const exchange& item, std::uint16_t status);

    config::gateway_settings m_settings;
    std::string m_settings_path;
    core::boottime_clock m_clock;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stop_timer;
    boost::asio::steady_timer m_report_timer;
    std::shared_ptr<net::mesh> m_mesh;
    listener m_caller_listener;
    listener m_readiness_listener;
    listener m_directory_listener;
    http::server m_callers;
    http::server m_readiness;
    http::server m_directory;
    http::client m_client;
    observe::metrics m_metrics;
    metrics_endpoint m_metrics_endpoint;
    std::uint64_t m_incarnation;
    bool m_draining = false;
    bool m_accepting = true;
    core::time_point m_drain_begun{};

    std::map<std::string, coordinator> m_coordinators; ///< By inner address.
    std::vector<wire::gateway_info_t> m_last_gateways;
    fleet::roster m_roster;
    std::optional<gateway::deployment> m_deployment;
    gateway::document_follower m_document;
    gateway::route_table m_routes;
    gateway::upstream_pool m_pool;
    std::map<std::string, gateway::retry_budget> m_budgets;
    std::uint64_t m_engine_term = 0;

    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::map<std::uint64_t, std::uint64_t> m_calls; ///< Exchange by call.
    std::set<std::uint64_t> m_parked;
    std::set<std::uint64_t> m_unrouted; ///< Came before the first document.
    std::map<gateway::adapter_name, core::time_point> m_crowded;
    std::set<gateway::adapter_name> m_told_wishes;
    std::uint64_t m_next_call = 1;
    std::optional<core::time_point> m_report_due;
    core::time_point m_reported{};
};

} // namespace siskindrift::apps
