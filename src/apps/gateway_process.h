// Gateway process: forwards callers' requests to upstreams and tells callers which gateways to use.
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
#include "siskindrift/adapters/unserved_adapters.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/fleet/software_history.h"
#include "siskindrift/fleet/stream_origins.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/gateway/document_follower.h"
#include "siskindrift/gateway/event_splitter.h"
#include "siskindrift/gateway/forward_policy.h"
#include "siskindrift/gateway/helper_pool.h"
#include "siskindrift/gateway/origin_lookup.h"
#include "siskindrift/gateway/prompt_guard.h"
#include "siskindrift/gateway/prompt_mix.h"
#include "siskindrift/gateway/relay_codec.h"
#include "siskindrift/gateway/retry_ledger.h"
#include "siskindrift/gateway/retry_share.h"
#include "siskindrift/gateway/route_table.h"
#include "siskindrift/gateway/stop_schedule.h"
#include "siskindrift/gateway/upstream_limits.h"
#include "siskindrift/gateway/upstream_pool.h"
#include "siskindrift/http/client.h"
#include "siskindrift/http/server.h"
#include "siskindrift/membership/message_age.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// A gateway process. All of its work runs on one thread.
class gateway_process final : public net::mesh_handler, public http::client_handler {
public:
    /// @param settings validated settings.
    /// @param settings_path file that is read again on SIGHUP.
    gateway_process(config::gateway_settings settings, std::string settings_path);
    ~gateway_process() override;

    /// Serves until SIGTERM or SIGINT and the drain that follows.
    /// @return exit status of the process: 1 if an address can't be used, otherwise 0.
    int run();

private:
    /// Passes the events of one HTTP server to functions.
    class listener final : public http::server_handler {
    public:
        using request_function = std::function<void(std::uint64_t, http::server_request,
                                                    std::shared_ptr<http::responder>)>;
        using disconnect_function = std::function<void(std::uint64_t)>;
        listener(observe::metrics& metrics, request_function handle_request,
                 disconnect_function handle_disconnect)
            : m_metrics(metrics), m_handle_request(std::move(handle_request)),
              m_handle_disconnect(std::move(handle_disconnect))
        {
        }
        void on_request(std::uint64_t exchange, http::server_request request,
                        std::shared_ptr<http::responder> responder) override
        {
            m_handle_request(exchange, std::move(request), std::move(responder));
        }
        void on_caller_disconnected(std::uint64_t exchange) override
        {
            m_handle_disconnect(exchange);
        }
        void on_refused(core::reason reason) override;

    private:
        observe::metrics& m_metrics;
        request_function m_handle_request;
        disconnect_function m_handle_disconnect;
    };

    /// Latest state received from one coordinator.
    struct coordinator_state {
        bool connected = false;
        std::uint64_t leader_term = 0; ///< Term in which it leads, or 0.
        gateway::leader_time time;     ///< The latest that it told.
        std::vector<wire::gateway_info_t> gateways;
    };

    /// Engines that may end under one request, which may be the cause.
    static constexpr unsigned max_crashes = 2;
    /// An engine that has sent so many events of an answer has begun it for good.
    static constexpr std::uint64_t events_begun = 2;

    /// What one exchange keeps of a response.
    class exchange_memory final : public core::memory_holder {
    public:
        exchange_memory(gateway_process& owner, std::uint64_t id)
            : m_owner(owner), m_id(id), m_account(owner.m_memory, *this)
        {
        }
        void set(std::uint64_t bytes, bool end_known) { m_account.set(bytes, end_known); }
        void release_memory() override;

    private:
        gateway_process& m_owner;
        std::uint64_t m_id;
        core::memory_account m_account;
    };

    /// A request of a caller and the state of its forwarding.
    struct exchange {
        std::uint64_t id = 0;
        http::server_request request; ///< Without its body.
        std::shared_ptr<const std::string> body;
        std::shared_ptr<http::responder> responder;
        gateway::request_metadata metadata;
        std::string digest; ///< By which the request is recognized when it comes again.
        gateway::request_parts parts;
        gateway::route route;
        std::string service;
        /// Empty model if the service has no engines or the request names no model.
        gateway::adapter_name adapter;
        core::time_point arrived_at{};
        core::time_point deadline{};
        core::time_point budget_end{}; ///< `deadline` before a stop of this process cut it short.
        std::optional<core::time_point> first_sent_at;
        std::optional<core::time_point> first_byte_at; ///< When the response to the caller began.
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t timer_generation = 0; ///< Counts how often `timer` was set.
        std::set<std::string> tried_upstreams;
        unsigned attempts_sent = 0;
        unsigned crashes = 0;      ///< Engines that ended as they began to answer it.
        bool on_trial = false;     ///< Is sent although it has a blocked part.
        unsigned may_have_run = 0; ///< Attempts whose upstream may have run the request.
        bool waiting = false;      ///< For an upstream or an adapter.
        gateway::shortage lacks = gateway::shortage::none; ///< At the last choice of an upstream.
        std::string permit_upstream; ///< Upstream for which it waits for a permit; empty for none.
        std::uint64_t origin_query = 0; ///< Lookup of the stream's origin it waits for, or 0.
        /// Set once the caller has an event of the stream, also by an earlier request.
        std::optional<gateway::software_pin> pin;
        unsigned sends = 0;   ///< Counts up with every send, also one that failed to connect.
        bool relayed = false; ///< Another gateway passed the request on to this one.
        unsigned attempts_counted = 0;      ///< Attempts that are no retries of this gateway's own.
        unsigned may_have_run_before = 0;   ///< `may_have_run` when it was passed on.
        std::vector<std::string> unreached; ///< Holders that this gateway doesn't reach.
        std::set<std::string> tried_helpers;     ///< Gateways that it was passed on to.
        std::set<std::string> reached_upstreams; ///< Those of `tried_upstreams` it was sent to.
        core::reason failure_reason = core::reason::none;
        // Current attempt at an upstream.
        std::uint64_t call_id = 0;       ///< 0 if no attempt is open.
        std::uint64_t events_before = 0; ///< Events of earlier attempts.
        bool answer_recorded =
            false;                ///< The prompt guard knows that the attempt is being answered.
        std::string helper;       ///< Gateway that the attempt goes through, or empty.
        bool helper_sent = false; ///< The helper has sent the request to an upstream.
        std::optional<core::verdict> relay_verdict; ///< Of an answer of the helper's own.
        core::reason relay_reason = core::reason::none;
        std::string relay_upstream; ///< Upstream that the helper chose, for logs.
        std::string upstream_id;    ///< Empty if a helper chooses it.
        std::string upstream_address;
        std::uint64_t upstream_born_ms = 0; ///< Start of the upstream's run.
        std::string software_version;       ///< Of the upstream, empty if it is unknown.
        core::time_point sent_at{};
        core::time_point opened_at{}; ///< The attempt's connection was opened then or later.
        core::time_point
            activity_recorded_at{}; ///< When the retry ledger last heard of its answer.
        bool uses_permit = false;   ///< Is sent under the upstream's limit.
        std::uint32_t unprocessed_prompt_tokens =
            0; ///< Prompt tokens the upstream has yet to process.
        std::optional<http::client_head> response_head;
        gateway::response_metadata response_metadata;
        std::string response_body;
        std::optional<exchange_memory> memory;
        http::call_end call_end; ///< Of the last attempt that has ended.
        // Streaming response.
        bool stream_begun = false;
        std::uint16_t begun_status = 0; ///< Of the answer that began the stream.
        bool begun_as_events = false;   ///< That answer named the media type of events.
        bool event_stream = false;      ///< The current response consists of server-sent events.
        bool forwarding = false;        ///< The current response is forwarded as it arrives.
        gateway::event_splitter events;
        /// Last event that the caller has received, also in an earlier request; empty if none.
        std::string last_event_id;
    };

    // Process life cycle and state received from coordinators (gateway_process.cpp).
    bool listen();
    void update_gauges(observe::metrics& metrics) const;
    void wait_for_signal();
    void reload_settings();
    void connect_seeds();
    void begin_drain();
    [[nodiscard]] bool accepts_requests() const;
    void poll_drain();
    void end_open_exchanges();
    void apply_stop_to_exchanges();
    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_connection_state(const std::string& address, bool connected) override;
    void on_bad_frame(core::reason reason) override;
    void on_connection_refused(core::reason reason) override;
    void on_queued(std::string_view kind, std::size_t bytes) override;
    void apply_fleet_update(coordinator_state& sender, const wire::fleet_update_t& update);
    void apply_versions(const wire::fleet_update_t& update, core::time_point now);
    void apply_document(const wire::document_page_t& page);
    void apply_engine_update(const wire::engine_update_t& update);
    void send_attach(const std::string& address);
    void request_document();
    void respond_readiness(const std::shared_ptr<http::responder>& responder);
    void respond_resolve(const http::server_request& request,
                         const std::shared_ptr<http::responder>& responder);
    [[nodiscard]] std::vector<std::string> gateway_addresses() const;
    [[nodiscard]] std::string leader_address() const;
    void schedule_report();
    void schedule_load_report();
    [[nodiscard]] std::size_t gateway_count() const;
    void schedule_report_at(core::time_point due);
    void send_report();
    void send_share_query();
    void schedule_share_query();

    // Request forwarding (gateway_exchanges.cpp).
    void handle_request(std::uint64_t id, http::server_request request,
                        std::shared_ptr<http::responder> responder);
    void handle_disconnect(std::uint64_t id);
    void begin_exchange(std::uint64_t id, std::unique_ptr<exchange> new_exchange,
                        http::server_request request, std::shared_ptr<http::responder> responder);
    void route_request(exchange& item);
    void begin_attempt(exchange& item);
    [[nodiscard]] http::client_call make_call(const exchange& item,
                                              const platform::forwarding_fields& added) const;
    void route_deferred_requests();
    void dispatch(exchange& item);
    void send_attempt(exchange& item, const gateway::pool_choice& choice);
    void wait_for_upstream(exchange& item);
    [[nodiscard]] static core::time_point wait_end(const exchange& item);
    bool refuse_unplaceable(exchange& item);
    void dispatch_waiting();
    void dispatch_loaded(const wire::engine_update_t& update);
    void arm_timer(exchange& item, core::duration after);
    void handle_timeout(std::uint64_t id);
    void give_up(exchange& item, core::reason reason);
    void limit_to_stop(exchange& item) const;
    bool refuse_unsendable(exchange& item);
    void record_unended_answer(const exchange& item);
    void on_head(std::uint64_t call, const http::client_head& head) override;
    void on_data(std::uint64_t call, const std::string& bytes) override;
    void on_end(std::uint64_t call, const http::call_end& call_end) override;
    void end_call(exchange& item, http::call_result result, std::string error);
    [[nodiscard]] static bool may_go_on_with(const exchange& item, const http::client_head& head);
    [[nodiscard]] static gateway::attempt_outcome classify(const exchange& item);
    void begin_stream(exchange& item);
    void forward_stream_data(exchange& item, const std::string& bytes);
    static void update_memory(exchange& item);
    void release_memory(std::uint64_t id);
    void handle_attempt_end(exchange& item, gateway::attempt_outcome end, core::reason reason);
    void record_attempt_outcome(const exchange& item, gateway::attempt_outcome end);
    void record_rejection(const exchange& item);
    void record_loss(const exchange& item);
    [[nodiscard]] static bool ended_complete(const exchange& item);
    void handle_stream_end(exchange& item);
    void forward_response(exchange& item);
    void fail_request(exchange& item, core::reason reason);
    void abort_stream(exchange& item, core::reason reason);
    void respond_with_error(exchange& item, std::uint16_t status, core::reason reason,
                            std::optional<core::duration> retry_after);
    void record_prompt_processed(exchange& item);
    void cancel_attempt(exchange& item);
    void remove_exchange(exchange& item);
    exchange* find_exchange(std::uint64_t call);
    [[nodiscard]] core::duration time_left(const exchange& item) const;
    void count_reason(core::reason reason);

    // Requests that go through other gateways, and paths to upstreams (gateway_relays.cpp).
    void handle_relay_disconnect(std::uint64_t server_id);
    void handle_relayed_request(std::uint64_t server_id, http::server_request request,
                                std::shared_ptr<http::responder> responder);
    bool send_relay(exchange& item);
    void apply_relay_head(exchange& item, http::client_head& head);
    void end_relay(exchange& item, bool failed);
    [[nodiscard]] http::header_list relay_headers(const exchange& item,
                                                  std::optional<core::reason> own_reason) const;
    [[nodiscard]] bool accepts_relays() const;
    void schedule_path_check();
    void check_paths();
    void give_up_lost_attempts();
    void update_reachability();

    // Software versions of streams (gateway_streams.cpp).
    [[nodiscard]] static bool takes_up_stream(const exchange& item);
    void find_stream_origin(exchange& item);
    void apply_origin_answer(const wire::stream_origin_answer_t& answer);
    void finish_origin_lookup(exchange& item);
    void apply_origin(exchange& item, const gateway::origin_decision& decision);
    void pin_begun_stream(exchange& item);
    void record_stream_origin(const exchange& item);
    void keep_stream_origin(const wire::stream_origin_t& origin, bool own);
    void tell_stream_origins(const std::vector<wire::stream_origin_t>& origins);
    void tell_all_stream_origins(const std::string& address);
    void record_software(const std::string& upstream);
    void update_registrars();
    [[nodiscard]] bool coordinator_connected() const;
    [[nodiscard]] core::duration stream_span(const std::string& service) const;
    [[nodiscard]] std::vector<std::string> origin_holders(const std::string& service) const;
    [[nodiscard]] std::vector<std::string> connected_coordinators() const;
    [[nodiscard]] std::size_t coordinator_count() const;
    [[nodiscard]] std::vector<std::string> used_registrars(const std::string& service) const;
    [[nodiscard]] std::vector<std::string> choose_registrars() const;

    // Retry budget and prompt guard (gateway_guards.cpp).
    [[nodiscard]] static gateway::upstream_run run_of(const exchange& item);
    [[nodiscard]] gateway::send_preference preference_for(const exchange& item);
    [[nodiscard]] bool try_retry(const exchange& item, const gateway::upstream_run& run);
    void record_unanswered_send(const exchange& item, gateway::send_end how);
    void record_answered_send(const exchange& item);
    void resolve_unanswered_sends();
    void watch_silent_upstreams();
    bool refuse_blocked(exchange& item);
    void refuse_newly_blocked();
    void record_answer(exchange& item, bool success);
    void record_crash(exchange& item);
    void send_prompt_evidence();
    void schedule_prompt_evidence(core::duration interval);
    void restore_trial(exchange& item);
    void record_limit(const exchange& item);
    void record_rejection_limit(const exchange& item);
    void record_departure(const exchange& item);
    void divide_places_of_new_runs();
    [[nodiscard]] bool wait_for_place(exchange& item);
    void free_place(const exchange& item);
    void schedule_place_report();
    void request_permit(exchange& item, const std::string& upstream);
    void send_permit_query();
    void apply_permits(const wire::send_permit_grant_t& grant);
    void stop_awaiting_permit(exchange& item);
    void refuse_limited(exchange& item, core::duration retry_after);
    [[nodiscard]] static std::string_view caller_framing(const exchange& item);
    void record_served(const exchange& item, std::uint16_t status);

    config::gateway_settings m_settings;
    std::string m_settings_path;
    core::boottime_clock m_clock;
    core::memory_ledger m_memory; ///< Of requests, responses and messages.
    core::connection_ledger m_connections;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stop_timer;
    boost::asio::steady_timer m_report_timer;
    boost::asio::steady_timer m_share_timer;
    boost::asio::steady_timer m_path_timer;
    boost::asio::steady_timer m_place_timer;
    boost::asio::steady_timer m_evidence_timer;
    std::shared_ptr<net::mesh> m_mesh;
    listener m_caller_listener;
    listener m_readiness_listener;
    listener m_directory_listener;
    http::server m_callers;
    http::server m_readiness;
    http::server m_directory;
    listener m_relay_listener;
    http::server m_relays; ///< For requests of other gateways.
    http::client m_client;
    observe::metrics m_metrics;
    metrics_endpoint m_metrics_endpoint;
    std::uint64_t m_incarnation; ///< Random; differs between runs of the process.
    bool m_draining = false;
    bool m_accepting = true;                      ///< Whether new connections are accepted.
    std::optional<gateway::stop_schedule> m_stop; ///< Set while draining.
    bool m_exchanges_ended = false;               ///< All that were open at the end of the stop.

    std::map<std::string, coordinator_state> m_coordinators; ///< Keyed by inner address.
    /// Latest list from any coordinator, kept for when none is connected.
    std::vector<wire::gateway_info_t> m_last_known_gateways;
    std::size_t m_control_members = 0; ///< Coordinators, as last told; 0: unknown.
    /// Those known when the last coordinator was lost.
    std::vector<wire::gateway_info_t> m_gateways_at_loss;
    core::time_point m_contact_regained_at{};
    fleet::roster m_roster;
    fleet::software_history m_software;
    fleet::stream_origins m_origins;
    std::map<std::uint64_t, gateway::origin_lookup> m_origin_lookups; ///< By query id.
    /// Even; the odd number after it is that of the query to gateways.
    std::uint64_t m_next_origin_query = 2;
    /// Exchanges whose stream nobody knows yet, and that ask again shortly.
    std::set<std::uint64_t> m_unsure_origins;
    /// Gateways that keep stream origins beside the coordinators; connected while they are needed.
    std::set<std::string> m_registrars;
    std::optional<gateway::deployment> m_deployment;
    gateway::document_follower m_document_follower;
    gateway::route_table m_routes;
    gateway::upstream_limits m_limits;
    gateway::upstream_pool m_pool;
    gateway::helper_pool m_helpers;
    bool m_upstreams_lost = false; ///< No upstream is reachable from here.
    bool m_path_check_scheduled = false;
    std::map<std::string, gateway::retry_ledger> m_retries;    ///< By service.
    std::map<std::string, gateway::prompt_mix> m_prompt_mixes; ///< By service.
    gateway::retry_share m_retry_share;
    core::time_point m_started_at = m_clock.now();
    /// Since when a coordinator has heard of the upstreams.
    core::time_point m_fleet_known_since = core::time_point::max();
    gateway::prompt_guard m_prompt_guard;
    membership::message_age_estimator m_message_ages; ///< Of updates, by coordinator.
    core::time_point m_fleet_heard_at{};              ///< Last news of upstreams and documents.
    core::time_point m_engines_heard_at{};            ///< Last news of what engines hold.
    std::optional<core::time_point> m_evidence_due;
    core::time_point m_evidence_sent_at{};
    std::uint64_t m_engine_term = 0; ///< Highest leader term among the engine updates.
    wire::store_capacity_t m_store;  ///< As the last leader has learnt it, for the next one.

    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::map<std::uint64_t, std::uint64_t> m_exchange_by_call; ///< Exchange id by call id.
    std::set<std::uint64_t> m_waiting; ///< Exchanges that wait for an upstream or an adapter.
    std::set<std::uint64_t> m_awaiting_permit;
    std::set<std::uint64_t> m_awaiting_place;
    bool m_place_report_scheduled = false;
    /// Exchanges that were received before the first deployment document.
    std::set<std::uint64_t> m_awaiting_document;
    /// An adapter and the software version of the engines that are to hold it; empty for any.
    using wish_key = std::pair<gateway::adapter_name, std::string>;
    [[nodiscard]] static wish_key wish_of(const exchange& item)
    {
        return {item.adapter, item.pin ? item.pin->version : std::string{}};
    }
    /// Adapters that need a further copy, and when the pool last said so.
    struct overload {
        core::time_point since{};
        std::deque<core::time_point> rejections; ///< Lately, by the engines that hold the adapter.
    };
    std::map<wish_key, overload> m_overloaded_adapters;
    /// Adapters that the last report to the leader asked for.
    std::set<wish_key> m_reported_wishes;
    /// Adapters that were requested here without being served, for a new leader.
    adapters::unserved_adapters m_unserved;
    bool m_tell_unserved = false; ///< The leader hasn't been told of them.
    std::uint64_t m_next_call = 1;
    std::optional<core::time_point> m_report_due;
    core::time_point m_last_report_at{};
    core::time_point m_last_dispatch_at{}; ///< Of all waiting requests.
};

} // namespace siskindrift::apps
