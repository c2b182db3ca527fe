// The coordinator: one control replica, the announcements of upstreams, the placement of adapters.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics_endpoint.h"
#include "platform/calls.h"
#include "replica_storage.h"
#include "siskindrift/adapters/placer.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/control/control_core.h"
#include "siskindrift/control/membership_manager.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/fleet/update_pacer.h"
#include "siskindrift/http/server.h"
#include "siskindrift/http/whole_calls.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// Runs one coordinator on one worker. Whatever arrives while a sync runs shares the next one.
class coordinator_process final : public net::mesh_handler, public http::server_handler {
public:
    coordinator_process(config::coordinator_settings settings, std::string settings_path);
    ~coordinator_process() override = default;

    /// Serves until stopped. Returns the process's exit status.
    int run();

private:
    // What a gateway's link of 10 Mbit/s carries in 50 ms.
    static constexpr std::size_t most_queued_bytes = 64 * 1024;

    struct attached_gateway {
        wire::gateway_attach_t word;
    };

    // The replica (coordinator_process.cpp).
    bool open_storage();
    void start();
    void await_signal();
    void reload();
    void begin_stop();
    void wake();
    void arm_timer();
    void cycle();
    bool run_replica();
    bool run_replica_once();
    void keep_membership();
    void join();
    void note_leadership();
    void send(const std::vector<consensus::outgoing_message>& messages);
    void answer(const control::client_reply& reply);
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_link(const std::string& address, bool up) override;
    void on_closed(net::connection_id which) override;
    void on_bad_frame(core::reason why) override;
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_left(std::uint64_t exchange) override;
    void on_refused(core::reason why) override;
    void put_document(const http::server_request& request,
                      const std::shared_ptr<http::responder>& responder);
    void name_version(const http::server_request& request,
                      const std::shared_ptr<http::responder>& responder);
    void propose(wire::control_request_t command, const http::server_request& request,
                 const std::shared_ptr<http::responder>& responder);
    [[nodiscard]] bool leading() const;

    // The fleet (coordinator_fleet.cpp).
    void announce(const platform::incoming_call& call, const http::server_request& request,
                  const std::shared_ptr<http::responder>& responder);
    void withdraw(const platform::incoming_call& call,
                  const std::shared_ptr<http::responder>& responder);
    void note_upstream(const std::string& id);
    void take_peer_update(const wire::fleet_update_t& update);
    void take_document();
    void attach(net::connection_id from, const wire::gateway_attach_t& word);
    void tell_document(net::connection_id to);
    void flush();
    void fill_common(wire::fleet_update_t& update) const;
    [[nodiscard]] wire::fleet_update_t full_update() const;
    void tell_engines();
    void tell_engines(const wire::engine_update_t& changes);
    [[nodiscard]] wire::engine_update_t all_engines() const;
    void show_state(observe::metrics& to) const;
    [[nodiscard]] std::vector<net::connection_id> gateway_connections() const;
    void place_adapters();
    void ask_reports();
    void log_placement();
    void give(const adapters::order& order);
    [[nodiscard]] std::vector<std::string> peers() const;

    config::coordinator_settings m_settings;
    std::string m_settings_path;
    core::boottime_clock m_clock;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<net::mesh> m_mesh;
    http::server m_server;
    http::whole_calls m_calls;
    observe::metrics m_metrics;
    metrics_endpoint m_metrics_endpoint;
    std::unique_ptr<replica_storage> m_folder;
    std::unique_ptr<control::control_core> m_core;
    control::membership_manager m_keeper;
    std::map<std::uint64_t, std::shared_ptr<http::responder>> m_waiting; ///< By client id.
    std::uint64_t m_next_client = 1;
    bool m_woken = false;
    bool m_stopping = false;
    int m_status = 0;
    core::time_point m_stop_at{};
    core::time_point m_join_due{};
    core::time_point m_led_at{};      ///< When this replica last heard of a leader.
    std::uint64_t m_placing_term = 0; ///< Term in which orders are given, or 0.
    std::uint64_t m_placed_term = 0;  ///< The last such term.

    fleet::roster m_roster;
    fleet::update_pacer m_pacer{most_queued_bytes};
    std::set<std::string> m_own_words; ///< Upstreams that announced themselves here.
    adapters::placer m_placer;
    std::map<net::connection_id, attached_gateway> m_gateways;
    std::uint64_t m_document_version = 0;
    std::map<state::adapter_name, std::uint64_t> m_told_versions;
    bool m_gateways_changed = false;
    bool m_news = false; ///< Something must be told at once.
    bool m_place_wanted = false;
    core::time_point m_flush_due{};
    core::time_point m_usable_due{};
    core::time_point m_loads_due{};
    core::time_point m_copies_due{};
    core::time_point m_plan_due{};
    core::time_point m_summary_due{};
};

} // namespace siskindrift::apps
