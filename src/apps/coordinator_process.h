// Coordinator process: a control replica, upstream announcements and adapter placement.
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
#include "siskindrift/control/loss_detector.h"
#include "siskindrift/control/membership_manager.h"
#include "siskindrift/control/place_manager.h"
#include "siskindrift/control/prompt_judge.h"
#include "siskindrift/control/retry_share_manager.h"
#include "siskindrift/control/software_version_manager.h"
#include "siskindrift/control/upstream_limit_manager.h"
#include "siskindrift/core/pause_monitor.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/fleet/software_history.h"
#include "siskindrift/fleet/stream_origins.h"
#include "siskindrift/fleet/update_pacer.h"
#include "siskindrift/fleet/version_history.h"
#include "siskindrift/http/buffered_client.h"
#include "siskindrift/http/server.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// A coordinator process. All of its work runs on one thread. Events that arrive while a disk sync
/// runs are handled together in the next cycle and share its sync.
class coordinator_process final : public net::mesh_handler, public http::server_handler {
public:
    /// @param settings validated settings.
    /// @param settings_path file that is read again on SIGHUP.
    coordinator_process(config::coordinator_settings settings, std::string settings_path);
    ~coordinator_process() override = default;

    /// Serves until SIGTERM, SIGINT or a storage failure.
    /// @return exit status of the process: 1 if an address can't be used or the disk failed,
    /// otherwise 0.
    int run();

private:
    // Bytes that a gateway's link of 10 Mbit/s carries in 50 ms.
    static constexpr std::size_t max_queued_bytes = 64 * 1024;

    struct attached_gateway {
        wire::gateway_attach_t attach_message;
    };

    // Process life cycle, control replica and HTTP interface (coordinator_process.cpp).
    bool open_storage();
    void start();
    void wait_for_signal();
    void reload_settings();
    void begin_shutdown();
    void schedule_cycle();
    void arm_timer();
    void run_cycle();
    bool run_replica();
    bool run_replica_round();
    void update_membership();
    void request_membership();
    void handle_join_request(wire::join_request_t request);
    void ask_silent_members();
    void answer_identity_query(const wire::identity_query_t& query);
    void handle_identity_reply(const wire::identity_reply_t& reply);
    void record_cluster_leader(const wire::envelope_t& message);
    void update_leadership();
    void send_messages(const std::vector<consensus::outgoing_message>& messages);
    /// Answers all calls that wait for a quorum with 503, because the disk is full.
    void refuse_open_calls();
    void send_reply(const control::client_reply& reply);
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_connection_state(const std::string& address, bool up) override;
    void on_closed(net::connection_id connection) override;
    void on_bad_frame(core::reason reason) override;
    void on_connection_refused(core::reason reason) override;
    void on_queued(std::string_view kind, std::size_t bytes) override;
    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_caller_disconnected(std::uint64_t exchange) override;
    void on_refused(core::reason reason) override;
    void handle_put_document(const http::server_request& request,
                             const std::shared_ptr<http::responder>& responder);
    void handle_put_version(const http::server_request& request,
                            const std::shared_ptr<http::responder>& responder);
    void propose(wire::control_request_t command, const http::server_request& request,
                 const std::shared_ptr<http::responder>& responder);
    [[nodiscard]] bool is_leading() const;

    // Upstreams, gateways and adapter placement (coordinator_fleet.cpp).
    void handle_announcement(const platform::incoming_call& call,
                             const http::server_request& request,
                             const std::shared_ptr<http::responder>& responder);
    void handle_withdrawal(const platform::incoming_call& call,
                           const std::shared_ptr<http::responder>& responder);
    void update_placer(const std::string& id);
    void record_software(const std::string& id);
    void update_software_versions();
    void record_stream_origins(const wire::stream_origins_t& told);
    void answer_origin_query(net::connection_id from, const wire::stream_origin_query_t& query);
    void apply_peer_update(const wire::fleet_update_t& update);
    void apply_document();
    void apply_versions();
    void apply_departures();
    [[nodiscard]] const state::departure* find_departure(const std::string& id,
                                                         std::uint64_t born_ms) const;
    [[nodiscard]] bool respect_departure(wire::fleet_upstream_t& announcement) const;
    void confirm_departure(const std::string& id, std::uint64_t born_ms, bool gone,
                           const std::shared_ptr<http::responder>& responder);
    void handle_forwarded_departure(net::connection_id from,
                                    const wire::control_request_t& request);
    void handle_departure_reply(const wire::control_reply_t& reply);
    void refuse_overdue_departures();
    [[nodiscard]] bool too_few_voters() const;
    void append_versions(const state::adapter_name& name, wire::fleet_update_t& update) const;
    void handle_attach(net::connection_id from, const wire::gateway_attach_t& message);
    void send_document(net::connection_id connection);
    void flush_updates();
    void send_upstreams(const std::string& peer);
    void send_to_peers(wire::fleet_update_t update, const std::set<std::string>& local);
    void fill_common_fields(wire::fleet_update_t& update) const;
    [[nodiscard]] wire::fleet_update_t make_full_update() const;
    void publish_engine_changes();
    void send_engine_changes(const wire::engine_update_t& changes);
    [[nodiscard]] wire::engine_update_t make_full_engine_update() const;
    void handle_retry_share_query(net::connection_id from, const wire::retry_share_query_t& query);
    void update_retry_shares();
    void handle_prompt_evidence(const wire::prompt_evidence_t& evidence);
    void publish_suspects();
    void update_judged_gateways();
    void check_engine(const control::suspected_crash& crash);
    void update_blocked_parts();
    void append_blocked_parts(wire::fleet_update_t& update) const;
    void handle_permit_query(net::connection_id from, const wire::send_permit_query_t& query);
    void update_upstream_limits();
    void append_upstream_limits(wire::fleet_update_t& update) const;
    void append_divided(wire::fleet_update_t& update) const;
    [[nodiscard]] bool holds_lease() const;
    [[nodiscard]] bool is_current();
    void update_gauges(observe::metrics& metrics) const;
    [[nodiscard]] std::vector<net::connection_id> gateway_connections() const;
    void place_adapters();
    [[nodiscard]] std::string next_call_id();
    void request_reports();
    void log_limit_changes();
    void log_placement();
    void log_sent_bytes();
    void send_order(const adapters::order& order);
    [[nodiscard]] std::vector<std::string> peer_addresses() const;

    config::coordinator_settings m_settings;
    std::string m_settings_path;
    core::boottime_clock m_clock;
    core::memory_ledger m_memory; ///< Of requests, responses and messages.
    core::connection_ledger m_connections;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<net::mesh> m_mesh;
    http::server m_server;
    http::buffered_client m_calls;
    observe::metrics m_metrics;
    metrics_endpoint m_metrics_endpoint;
    std::unique_ptr<replica_storage> m_storage;
    core::time_point m_storage_retry_at{}; ///< While the disk is full.
    std::unique_ptr<control::control_core> m_core;
    control::membership_manager m_membership;
    control::loss_detector m_losses{core::random_nonzero()};
    control::retry_share_manager m_retry_shares;
    control::prompt_judge m_prompt_judge;
    control::upstream_limit_manager m_upstream_limits;
    control::software_version_manager m_software_versions;
    control::place_manager m_places;
    bool m_divided_changed = false; ///< Further upstreams whose places are divided aren't told yet.
    std::uint64_t m_published_blocks = 0; ///< Generation that the gateways were sent.
    std::uint64_t m_published_limits = 0; ///< Generation that the gateways were sent.
    std::uint64_t m_announced_shares = 0; ///< Generation that this leader announced last.
    /// Responders of proposed commands, keyed by client id.
    std::map<std::uint64_t, std::shared_ptr<http::responder>> m_pending_responders;
    /// Departures that a peer asked to record, keyed by client id.
    std::map<std::uint64_t, net::connection_id> m_pending_peers;
    struct forwarded_departure {
        std::string upstream;
        std::shared_ptr<http::responder> responder;
        core::time_point due{};
    };
    std::map<std::uint64_t, forwarded_departure> m_forwarded_departures; ///< By request id.
    std::uint64_t m_departures_applied = 0; ///< Index up to which the roster knows departures.
    std::uint64_t m_next_client = 1;
    std::uint64_t m_next_report = 1;
    bool m_cycle_scheduled = false; ///< A cycle is posted to `m_context`.
    bool m_stopping = false;
    int m_exit_status = 0;
    core::time_point m_stop_deadline{};
    core::time_point m_join_due{};
    bool m_asks_to_join = false;
    std::string m_cluster_leader;        ///< Address that was heard of before the replica joined.
    core::time_point m_leader_seen_at{}; ///< When a leader was last known.
    std::uint64_t m_placement_term = 0;  ///< Term in which this replica places adapters, or 0.
    std::uint64_t m_last_placement_term = 0; ///< Latest nonzero `m_placement_term`.

    fleet::roster m_roster;
    fleet::software_history m_software;
    core::pause_monitor m_pauses;
    fleet::stream_origins m_origins;
    fleet::update_pacer m_pacer{max_queued_bytes};
    std::set<std::string> m_local_upstreams; ///< Announced or withdrawn here since the last flush.
    adapters::placer m_placer;
    std::map<net::connection_id, attached_gateway> m_gateways;
    std::uint64_t m_document_version = 0;
    std::map<state::adapter_name, fleet::version_history> m_versions; ///< Of the replicated state.
    std::uint64_t m_versions_term = 0; ///< Term led when `m_versions` was last updated, or 0.
    /// Current adapter versions that were sent to the gateways.
    std::map<state::adapter_name, std::uint64_t> m_published_versions;
    bool m_gateways_urgent = false; ///< The list must not wait until `m_gateways_due`.
    core::time_point m_gateways_due{};
    bool m_gateways_changed = false;
    bool m_flush_requested = false; ///< The next cycle sends updates.
    bool m_plan_requested = false;  ///< Placement inputs changed since the last plan.
    core::time_point m_flush_due{};
    core::time_point m_usability_check_due{};
    core::time_point m_load_update_due{};
    core::time_point m_copy_update_due{};
    core::time_point m_plan_due{};
    /// Bytes of the messages queued since the last line about them, by kind.
    std::map<std::string, std::uint64_t, std::less<>> m_queued_bytes;
    core::time_point m_bytes_line_due{};
    core::time_point m_summary_due{};
};

} // namespace siskindrift::apps
