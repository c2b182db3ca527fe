// Keeps a gateway to the limits that upstreams name for all gateways together.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/request_rate.h"
#include "siskindrift/fleet/send_permits.h"
#include "siskindrift/gateway/upstream_places.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// Parameters of the limits at a gateway.
struct upstream_limits_options {
    /// How long a request waits for the leader's answer before it goes elsewhere.
    core::duration answer_timeout = core::milliseconds{50};
    /// Time until the leader is asked again after it didn't answer.
    core::duration silence_pause = core::milliseconds{500};
    /// Time after which an observation is told to the leader again, or was overruled.
    core::duration observation_interval = core::milliseconds{1000};
    /// Permits that are used up within this time are asked for in larger batches.
    core::duration batch_time = core::milliseconds{200};
    std::uint32_t max_batch = 64;
    /// When a caller should return who is refused because all places are in use.
    core::duration full_retry_after = core::milliseconds{300};
    std::size_t max_limits = 1024;
};

/// Whether a request may be sent to an upstream now.
struct send_admission {
    enum class kind : std::uint8_t {
        allowed,      ///< There is no limit, or a permit is at hand.
        needs_permit, ///< The leader may have a permit.
        refused,      ///< The limit is used up until `retry_after` has passed.
    };
    kind result = kind::allowed;
    core::duration retry_after{}; ///< When a caller that is refused should return.
    bool waits_for_place = false; ///< All places are in use; one may be free at any moment.
};

/// An answer of an upstream, as evidence of its limit.
struct limit_answer {
    std::string upstream;
    std::uint64_t born_ms = 0;              ///< Start of the upstream's run.
    std::optional<core::request_rate> rate; ///< None if the answer names no limit.
    core::time_point sent{};                ///< When its request was sent.
};

/// Knows the limits of the upstreams, and holds the permits to send requests to these. The leader
/// gives out the permits; without it nothing is sent to an upstream with a limit. Performs no I/O.
class upstream_limits {
public:
    /// @param vm name of this gateway.
    explicit upstream_limits(std::string vm, upstream_limits_options options = {})
        : m_vm(std::move(vm)), m_options(options)
    {
    }

    /// Replaces the limits that all gateways know, unless @p update is older than what is known.
    /// @return whether they changed.
    bool apply_limits(const wire::fleet_update_t& update, core::time_point now);
    /// Records an answer that names a limit or may end one. Applies here at once; the leader is
    /// told with the next query.
    /// @return whether it changed the limit that is known here.
    bool record_answer(const limit_answer& answer, core::time_point now);
    /// Returns the limit of a run of an upstream, if there is one.
    [[nodiscard]] std::optional<core::request_rate> limit_of(const std::string& upstream,
                                                             std::uint64_t born_ms) const;

    /// Returns whether a request may be sent to a run of an upstream.
    [[nodiscard]] send_admission admission(const std::string& upstream, std::uint64_t born_ms,
                                           core::time_point now) const;
    /// Uses up a permit, if the upstream has a limit. The request counts as unanswered.
    void consume(const std::string& upstream, core::time_point now);
    /// Records that the upstream answered a request, so that it has received all that was sent to
    /// it before.
    /// @param sent when the request was sent.
    /// @return whether the leader should be told.
    bool record_received(const std::string& upstream, core::time_point sent);
    /// Takes back a permit of a request that was not sent.
    void restore(const std::string& upstream);

    /// Records that one more request waits for a permit.
    void add_wish(const std::string& upstream) { ++m_permits[upstream].wanted; }
    /// Requests of this gateway at the upstreams, and the places that it may use there.
    [[nodiscard]] upstream_places& places() { return m_places; }
    [[nodiscard]] const upstream_places& places() const { return m_places; }

    /// Returns the query to send to the leader, if any is due.
    [[nodiscard]] std::optional<wire::send_permit_query_t> take_query(core::time_point now);
    /// Records that there is no leader to ask, so that nothing is sent to the upstream for a while.
    void record_no_leader(const std::string& upstream, core::time_point now);
    /// Applies the leader's answer to a query.
    void apply_grant(const wire::send_permit_grant_t& grant, core::time_point now);
    /// Records that the leader didn't answer in time, or that no leader is known.
    void record_silence(const std::string& upstream, core::time_point now);
    /// Tells a new leader what was observed here.
    void report_again();

    [[nodiscard]] core::duration answer_timeout() const { return m_options.answer_timeout; }
    [[nodiscard]] std::size_t size() const { return m_limits.size(); }
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
    [[nodiscard]] send_admission rate_admission(const std::string& upstream, std::uint64_t born_ms,
                                                core::time_point now) const;
    struct known_limit {
        std::uint64_t born_ms = 0;
        std::optional<core::request_rate> rate;
        core::time_point at{}; ///< Since when it is known.
    };
    struct own_observation {
        limit_answer answer;
        core::time_point at{};
        core::time_point told{}; ///< When the leader was told last.
    };
    struct permits {
        std::uint32_t held = 0;
        core::time_point valid_until{};
        std::uint32_t wanted = 0; ///< Requests that wait.
        std::uint32_t batch = 0;  ///< Permits to ask for in advance.
        core::time_point granted_at{};
        std::optional<core::time_point> asked_at; ///< Of the query that is not answered yet.
        core::time_point refused_until{};
        core::time_point retry_at{}; ///< When a refused caller should return.
        /// When requests were sent that the upstream may not have received yet.
        std::vector<core::time_point> unanswered;
        std::uint64_t applied_ms = 0; ///< When the latest grant was asked for.
        bool settled = false;         ///< Fewer are unanswered than the leader knows.
        bool answered = false;        ///< The upstream has answered one since the last query.
    };

    [[nodiscard]] const known_limit* find(const std::string& upstream) const;
    /// Makes the next request to @p upstream ask the leader again.
    void forget_refusal(const std::string& upstream);
    void append_observations(wire::send_permit_query_t& query, core::time_point now);

    upstream_places m_places;
    std::string m_vm;
    upstream_limits_options m_options;
    std::uint64_t m_generation = 0;
    std::map<std::string, known_limit> m_limits;       ///< As told by coordinators.
    std::map<std::string, own_observation> m_observed; ///< Where they differ from `m_limits`.
    std::map<std::string, permits> m_permits;
    bool m_report_again = false;
};

} // namespace siskindrift::gateway
