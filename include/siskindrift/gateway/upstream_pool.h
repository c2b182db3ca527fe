// Load balancing: chooses the upstream that a request is sent to.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/fleet/version_history.h"
#include "siskindrift/gateway/loss_guard.h"
#include "siskindrift/gateway/request_metadata.h"
#include "siskindrift/gateway/upstream_limits.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// A base model and one of its adapters; the adapter is empty for the base model itself.
using adapter_name = std::pair<std::string, std::string>;

/// Parameters of an upstream pool.
struct pool_options {
    /// Time after its last failure for which an upstream stays ejected; then it is tried again.
    /// Ejected upstreams are used only if there is no other.
    core::duration ejection_time = core::milliseconds{2000};
    /// Consecutive failures before an upstream is ejected; a single one may be chance.
    unsigned failures_before_ejection = 2;
    /// Moving average of the failure rate above which an upstream is ejected.
    double ejection_failure_rate = 0.35;
    /// Consecutive attempts that could not connect before an upstream counts as unreachable.
    unsigned failed_connects_before_unreachable = 2;
    /// Time without any byte from an engine that has several requests, after which it gets only
    /// single requests as a trial. Engines send the events of all running requests at least this
    /// often.
    core::duration engine_silence_limit = core::milliseconds{1000};
    /// Number of requests whose silence shows that the engine is silent, not a single request.
    std::uint32_t min_silent_requests = 2;
    /// Interval at which a single request tries an unreachable upstream again.
    core::duration unreachable_trial_interval = core::milliseconds{500};
    /// Interval between two connections that are opened to see whether an upstream is reachable.
    core::duration probe_interval = core::milliseconds{500};
    /// Time without any byte from several upstreams that have requests, after which the path from
    /// this gateway is suspected.
    core::duration path_silence_limit = core::milliseconds{600};
    /// Time without a byte from an unreachable upstream after which its requests are given up. A
    /// sound upstream may be silent for a second or so.
    core::duration give_up_silence = core::milliseconds{2000};
    /// Maximum number of upstreams that are probed at once.
    std::size_t max_probes = 16;
    /// Time for which an old version of an adapter is used after a newer one was named. Covers
    /// the load of the new version from the store and the report of it, with a margin.
    core::duration old_version_grace = core::milliseconds{1500};
    /// Latest estimated start of a request on an old version, in ms after the new one became
    /// current. The estimate includes the wait at the engine. Applies in addition to
    /// `old_version_grace`, which limits the time of sending.
    double old_version_latest_start_ms = 2500;
    /// Prefill rate of engines of the deployed size, in prompt tokens per ms.
    double prefill_tokens_per_ms = 38;
    /// Estimated queueing delay in ms above which another copy of an adapter is requested. With
    /// the prefill of the request itself it exceeds what chat callers accept.
    double crowded_delay_ms = 550;
    /// Delay of a first token by a full batch, in ms.
    double full_batch_delay_ms = 400;
    /// Delay that a failed request costs its caller, in ms; weighted by the failure rate.
    double failure_cost_ms = 1000;
    /// Pause after a rejection by an engine. Its queue moves on in that time.
    core::duration rejection_pause = core::milliseconds{50};
    /// Share of its requests that a gateway leaves at an engine after a rejection.
    double rejection_decrease = 0.7;
    /// Time after the last rejection for which a gateway limits its requests at an engine.
    core::duration window_lifetime = core::milliseconds{2000};
    /// Number of gateways from which on each compares two random engines instead of all: their
    /// views are then older than the prefill of a prompt takes.
    std::size_t two_choices_gateways = 20;
    /// Losses of upstreams without an engine.
    loss_guard_options losses;
    /// Failures in a row up to which each doubles the time for which the failure rate of an
    /// upstream without an engine counts. That time begins with `ejection_time`.
    unsigned max_counted_failures = 4;
};

/// The software version at which a stream has begun, and must go on.
struct software_pin {
    std::string version;       ///< Empty if the upstream that began it named none.
    std::string upstream;      ///< That upstream, if it is known.
    std::uint64_t born_ms = 0; ///< Start of its run.

    /// Returns whether @p candidate may go on with the stream.
    [[nodiscard]] bool allows(const wire::fleet_upstream_t& candidate) const
    {
        // Upstreams that name no version may differ, except one run from itself.
        return version.empty() ? candidate.id == upstream && candidate.born_ms == born_ms
                               : candidate.software_version == version;
    }
};

/// What a request lacks that can't be sent now.
enum class shortage : std::uint8_t {
    none,
    upstream,       ///< The service has no usable upstream.
    copy,           ///< No usable upstream holds the adapter.
    reachable_copy, ///< The upstreams that hold it refuse connections or are silent.
    current_copy,   ///< They hold an old version only.
    untried_copy,   ///< Each of them has rejected or failed the request.
    room,           ///< They have used up their limits or want a pause.
};

/// Returns the name of @p what as it appears in logs and metrics.
[[nodiscard]] std::string_view to_string(shortage what);

/// Result of choosing an upstream.
struct pool_choice {
    enum class kind : std::uint8_t {
        send,               ///< Send the request to `upstream`.
        adapter_not_loaded, ///< No untried engine holds a usable version of the adapter.
        needs_permit,       ///< Ask the leader for a permit to send the request to `upstream`.
        limited,            ///< All usable upstreams have used up their limits.
        none,               ///< The service has no usable upstream left to try.
    };
    kind result = kind::none;
    std::string upstream;
    std::string address;
    std::optional<std::uint64_t> adapter_version; ///< Of the chosen copy, if known.
    bool crowded = false; ///< Another copy of the adapter would reduce the delay.
    /// An upstream that can run the request is not reachable from here, and none that is can run it
    /// now. Another gateway may reach it.
    bool unreachable = false;
    /// Those that hold the adapter and are not reachable, if `unreachable`.
    std::vector<std::string> unreached;
    core::duration retry_after{};    ///< When a caller should return, if `limited`.
    bool waits_for_place = false;    ///< A place may be free at any moment, if `limited`.
    shortage lacks = shortage::none; ///< If there is no upstream to send to.
};

/// Which upstreams a request is rather sent to.
struct send_preference {
    std::set<std::string> avoided;   ///< Chosen only if there is no other.
    std::set<std::string> preferred; ///< Chosen from those with equal load.
};

/// Tracks the load, the adapters and the failures of the upstreams, including the requests that
/// this gateway sent to them, and chooses upstreams by them. Performs no I/O.
///
/// Handles uneven load, adapters that few engines hold, and upstreams that fail requests while
/// their health check succeeds.
class upstream_pool {
public:
    /// @param roster upstreams to choose from; must outlive the pool.
    /// @param limits limits of the upstreams; must outlive the pool.
    upstream_pool(const fleet::roster& roster, const upstream_limits& limits, std::uint64_t seed,
                  pool_options options = {})
        : m_roster(roster), m_limits(limits), m_random(seed), m_options(options)
    {
    }

    /// Sets the number of gateways that choose by the same engine views.
    void set_gateway_count(std::size_t count) { m_gateway_count = count; }
    /// Applies the load of an engine, summed over all gateways, and the adapters that it holds.
    void update_engine(const wire::engine_view_t& view);
    /// Records that a version of an adapter was named, in any order.
    /// @param named_at when it was acknowledged, or no value if that may be long ago.
    void set_current_version(const adapter_name& name, std::uint64_t version,
                             std::optional<core::time_point> named_at);

    /// Chooses an upstream of @p service that is not among @p tried.
    /// @param wanted adapter that the upstream must hold; an empty model for services without
    /// engines.
    /// @param permitted upstream for which the request has waited for a permit, or empty. It is
    /// chosen if there is one, because another request may not come before the permit expires.
    /// @param pin set for a stream that has begun: only upstreams that it allows are chosen.
    /// @param repeatable whether the request may be executed more than once.
    /// @param preference which upstreams are chosen before others.
    [[nodiscard]] pool_choice choose(const std::string& service, const adapter_name& wanted,
                                     const std::set<std::string>& tried, core::time_point now,
                                     const std::string& permitted = {},
                                     const std::optional<software_pin>& pin = {},
                                     bool repeatable = true,
                                     const send_preference& preference = {});

    /// Records that a request was sent to @p upstream.
    /// @param tokens prompt tokens that the upstream has to process before the first token.
    void record_sent(const std::string& upstream, const adapter_name& name, core::time_point now,
                     std::uint32_t tokens = 0);
    /// Records that the upstream has processed the prompt of a request, or that the request ended.
    /// @param tokens as passed to `record_sent`.
    void record_prompt_processed(const std::string& upstream, std::uint32_t tokens);
    /// Records that a request sent to @p upstream has ended.
    void record_ended(const std::string& upstream, const adapter_name& name);
    /// Records that bytes of a response of @p upstream arrived.
    void record_activity(const std::string& upstream, core::time_point now)
    {
        record_activity(upstream, now, now);
    }
    /// Records that bytes of a response of @p upstream arrived.
    /// @param opened the connection was opened at this time or later. One that was opened before a
    /// failure doesn't show that new ones can be opened.
    void record_activity(const std::string& upstream, core::time_point now,
                         core::time_point opened);
    /// Records that no connection to @p upstream could be established.
    void record_connect_failure(const std::string& upstream, core::time_point now);
    /// Records that another gateway doesn't reach @p upstream either: it has rather ended than been
    /// cut off, and requests wait for another copy instead of travelling through other gateways.
    void record_unreached_elsewhere(const std::string& upstream, core::time_point now);
    /// Records the result of a connection that was opened to see whether @p upstream is reachable.
    void record_probe(const std::string& upstream, bool connected, core::time_point now);
    /// Returns the upstreams to probe now, with their addresses, and marks them as probed: those
    /// that failed to accept a connection, or all while the path from this gateway is suspected.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    take_upstreams_to_probe(core::time_point now);
    /// Returns whether `take_upstreams_to_probe` has to be called again soon.
    [[nodiscard]] bool needs_probes(core::time_point now) const;
    /// Returns whether no upstream is reachable from here, although some are announced.
    [[nodiscard]] bool has_lost_all(core::time_point now) const;
    /// Returns whether requests to @p upstream wait in vain: it is not reachable, and has been
    /// silent for longer than a sound upstream.
    [[nodiscard]] bool is_lost(const std::string& upstream, core::time_point now) const;
    /// Returns the upstreams that refuse the connections of this gateway.
    [[nodiscard]] std::vector<std::string> unreachable_upstreams(core::time_point now) const;
    /// Records whether an attempt failed because of the upstream.
    void record_outcome(const std::string& upstream, bool failed, core::time_point now);
    /// Records that the connection of a request to an upstream without an engine ended without a
    /// byte of a response.
    /// @param sent when the request was sent.
    /// @return the state of the upstream's losses if this one counts.
    std::optional<loss_guard> record_loss(const std::string& upstream, core::time_point sent,
                                          core::time_point now);
    /// Records that the upstream responded to a request.
    /// @param sent when the request was sent.
    /// @return whether the upstream was suspected to lose requests until then.
    bool record_response(const std::string& upstream, core::time_point sent);
    /// Records the load that the upstream reported in a response.
    void record_load(const std::string& upstream, const upstream_load& load);
    /// Records that an engine rejected a request for lack of room. The gateway then sends it fewer
    /// at a time: further ones would only be rejected too, and wait here for less.
    void record_rejection(const std::string& upstream, core::time_point now);
    /// Records that an engine admitted a request.
    void record_admission(const std::string& upstream);
    /// Records that the upstream wants no requests from this gateway until @p until.
    void record_pause(const std::string& upstream, core::time_point until, core::time_point now);
    /// Records that the upstream reported not to hold the adapter.
    void record_missing_adapter(const std::string& upstream, const adapter_name& name);

    /// Returns the number of running requests of this gateway by engine and adapter.
    [[nodiscard]] std::vector<wire::adapter_use_t> adapter_uses() const;
    /// Returns the prompt tokens that this gateway sent and that are not processed yet, by engine,
    /// for the report to the coordinator. `update_engine` subtracts them from the sum over all
    /// gateways, so that they are not counted twice.
    [[nodiscard]] std::vector<wire::engine_share_t> take_token_shares();
    /// Removes the state of upstreams that are no longer in the roster.
    void remove_departed();

private:
    struct upstream_stats {
        std::uint32_t in_flight = 0;       ///< Requests of this gateway.
        std::uint32_t other_requests = 0;  ///< Requests of other gateways, as last reported.
        std::uint64_t pending_tokens = 0;  ///< Unprocessed prompt tokens of this gateway.
        std::uint64_t reported_tokens = 0; ///< `pending_tokens` at the last report.
        std::uint64_t other_tokens = 0;    ///< Unprocessed prompt tokens of other gateways.
        double failure_rate = 0;           ///< Exponential moving average.
        unsigned consecutive_failures = 0;
        core::time_point last_failure{};
        std::map<adapter_name, std::uint32_t> requests_by_adapter;
        unsigned failed_connects = 0; ///< Since the last byte from the upstream.
        core::time_point last_connect_failure{};
        core::time_point unreached_elsewhere{}; ///< When another gateway last didn't reach it.
        core::time_point last_trial{}; ///< Last request sent although the upstream was failing.
        core::time_point last_probe{};
        double window = 0; ///< Requests of this gateway that the engine takes at once.
        core::time_point last_rejection{};
        core::time_point paused_until{}; ///< Until then the run wants no requests.
        core::time_point quiet_since{};  ///< Last byte, or the first request sent after a pause.
        loss_guard losses;               ///< Of an upstream without an engine.
        std::uint64_t born_ms = 0;       ///< Run of the upstream that these fields are about.
    };
    struct candidate {
        const fleet::roster_entry* entry;
        std::optional<std::uint64_t> version;
        double load;
        bool ejected;
        bool needs_permit;
        bool refuses;
        bool preferred;
    };
    struct engine_state {
        std::uint64_t born_ms = 0;  ///< Start time, which identifies one run of the engine.
        std::uint32_t requests = 0; ///< Running and queued, of all gateways.
        std::map<adapter_name, std::uint64_t> versions; ///< Adapters held; 0: version unknown.
    };

    [[nodiscard]] bool refuses_connections(const fleet::roster_entry& entry,
                                           const upstream_stats& stats, core::time_point now) const;
    [[nodiscard]] bool is_full(const fleet::roster_entry& entry, const upstream_stats& stats,
                               core::time_point now) const;
    void reset_if_restarted(const std::string& upstream, upstream_stats& stats,
                            core::time_point now);
    [[nodiscard]] bool path_suspected(core::time_point now) const;
    [[nodiscard]] bool is_silent(const fleet::roster_entry& entry, const upstream_stats& stats,
                                 core::time_point now) const;
    [[nodiscard]] bool is_ejected(const upstream_stats& stats, core::time_point now) const;
    [[nodiscard]] double load(const fleet::roster_entry& entry, const upstream_stats& stats,
                              bool engine, core::time_point now) const;
    [[nodiscard]] double failure_penalty(const upstream_stats& stats, core::time_point now) const;
    std::optional<core::duration> hold_back_suspected(std::vector<candidate>& candidates,
                                                      bool repeatable, bool others,
                                                      core::time_point now);
    [[nodiscard]] std::optional<std::uint64_t> held_version(const fleet::roster_entry& entry,
                                                            const adapter_name& wanted) const;
    [[nodiscard]] bool accepts_version(const adapter_name& name, std::uint64_t version,
                                       bool current_exists, double wait_ms,
                                       core::time_point now) const;

    const fleet::roster& m_roster;
    const upstream_limits& m_limits;
    core::random_source m_random;
    pool_options m_options;
    std::size_t m_gateway_count = 1;
    std::map<std::string, upstream_stats> m_stats;
    core::time_point m_last_activity{}; ///< Last byte from any upstream.
    std::map<std::string, engine_state> m_engines;
    std::map<adapter_name, fleet::version_history> m_versions; ///< Named, by adapter.
};

} // namespace siskindrift::gateway
