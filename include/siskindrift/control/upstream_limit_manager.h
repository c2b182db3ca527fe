// Divides the limits that upstreams name among the gateways.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/request_rate.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::control {

/// Parameters of an upstream limit manager.
struct upstream_limit_options {
    /// Permits that may be saved up while no gateway asks, and the time over which more of them
    /// accumulate.
    double burst = 2;
    core::duration burst_time = core::milliseconds{250};
    /// Permits for requests that are only expected cover at most this time of the limit.
    core::duration spare_time = core::milliseconds{100};
    /// Least time between two changes of the replicated limits.
    core::duration change_interval = core::milliseconds{100};
    /// Time after the begin of a term in which an upstream that isn't announced may still be there.
    core::duration announcement_wait = core::milliseconds{10'000};
    /// Longest time after which refused callers are told to return.
    core::duration max_retry_after = core::milliseconds{10'000};
    std::size_t max_limits = 1024;
    /// Requests that may be on their way without an answer: so many, and those of so much time of
    /// the limit. An upstream that stood still receives them all at once.
    double unanswered = 1;
    core::duration unanswered_time = core::milliseconds{1000};
    /// Time until one more is permitted when there are so many; it doubles with each. Once the
    /// upstream answers again, each gateway gets one at once, for its own path may still be held.
    core::duration first_trial_pause = core::milliseconds{6000};
    core::duration max_trial_pause = core::milliseconds{12'000};
    /// Upstreams announce themselves more often; one that does so again may have stood still.
    core::duration announcement_gap = core::milliseconds{2500};
    /// Time after which a gateway asks again that is refused because too many are unanswered.
    core::duration unanswered_retry = core::milliseconds{500};
};

/// Who asks for permits.
struct permit_sender {
    std::string vm;             ///< Empty for a sender that doesn't tell what is unanswered.
    std::uint64_t asked_ms = 0; ///< Time of the query, by the sender's clock.
    core::time_point heard{};   ///< When the upstream announced itself last.
};

/// Keeps on the leader the limits that upstreams name, and gives out permits to send requests to
/// these upstreams. Performs no I/O.
///
/// All permits of an upstream come from one token bucket, which is empty at the begin of a term, so
/// all gateways together keep to the limit for any number of them. A permit is used within its
/// lifetime or not at all, and the lifetime begins when it is asked for. So a gateway that was cut
/// off or frozen can't use permits beside those that others got in its place. An upstream that
/// stands still, or whose link does, receives later what was sent to it meanwhile. So the permits
/// whose requests no gateway has seen answered are limited, too.
class upstream_limit_manager {
public:
    /// Returns the start time of the current run of an upstream, or none if it is not known.
    using run_lookup = std::function<std::optional<std::uint64_t>(const std::string& upstream)>;

    explicit upstream_limit_manager(upstream_limit_options options = {}) : m_options(options) {}

    /// Forgets what is not replicated. Gateways repeat what they observed last.
    void begin_term(core::time_point now);

    /// Records an answer that a gateway read. Answers may be told in any order: one counts if its
    /// request was sent after the answer that counts was read, or else if its limit is lower.
    /// @return whether it changed the limit.
    bool record_observation(const wire::limit_observation_t& observed,
                            const state::upstream_limits& limits, core::time_point now);

    /// Returns the change to propose, if any. None is returned before the last one was applied.
    /// @param run_of looks up the runs of upstreams; a limit ends with its run.
    [[nodiscard]] std::optional<wire::change_upstream_limits_t>
    next_change(const state::upstream_limits& limits, const run_lookup& run_of,
                core::time_point now);

    /// Gives out permits.
    /// @param wish what a gateway asks for, and tells of the permits that it got before.
    /// @param sender the gateway; without it nothing is counted as unanswered.
    [[nodiscard]] wire::send_permit_t grant(const wire::send_permit_wish_t& wish,
                                            const state::upstream_limits& limits,
                                            core::time_point now, const permit_sender& sender = {});
    /// Returns the permits of an upstream whose requests may not have arrived.
    [[nodiscard]] std::uint32_t unanswered(const std::string& upstream) const;

private:
    /// Latest observation of this term.
    struct observation {
        std::uint64_t born_ms = 0;
        std::optional<core::request_rate> rate; ///< None if no limit is named any more.
        core::time_point at{};
    };
    /// When a request may be sent although too many are unanswered.
    struct trial_schedule {
        core::time_point next{};
        core::time_point last{};
        core::duration pause{};
    };
    struct grant_record {
        std::uint64_t asked_ms;
        std::uint32_t permits;
        core::time_point at;
    };
    struct unanswered_sends {
        std::uint32_t told = 0; ///< As the gateway told last.
        core::time_point told_at{};
        std::uint64_t applied_ms = 0;
        std::uint32_t former = 0; ///< Left by a former process of the gateway.
        core::time_point former_at{};
        std::vector<grant_record> granted; ///< Since the grants that it has told of.
        trial_schedule trials;
    };
    struct bucket {
        double tokens = 0;
        core::time_point refilled{};
        core::time_point next_return{}; ///< When the last refused caller was told to return.
        std::uint64_t born_ms = 0;      ///< Run that the unanswered requests were sent to.
        std::map<std::string, unanswered_sends> senders; ///< By gateway.
        trial_schedule trials;
        core::time_point answered_at{};
        core::time_point heard{};
    };

    [[nodiscard]] std::optional<core::request_rate>
    rate_of(const std::string& upstream, const state::upstream_limits& limits) const;
    void refill(bucket& item, core::request_rate rate, core::time_point now) const;
    void record_unanswered(bucket& item, const wire::send_permit_wish_t& wish,
                           const permit_sender& sender, core::time_point now) const;
    [[nodiscard]] static std::uint32_t count_unanswered(const bucket& item);
    /// Returns how many more requests may be on their way.
    [[nodiscard]] std::uint32_t take_room(bucket& item, core::request_rate rate,
                                          const std::string& vm, core::time_point now) const;
    [[nodiscard]] bool take_trial(trial_schedule& trials, core::time_point now) const;

    upstream_limit_options m_options;
    core::time_point m_term_began{};
    core::time_point m_last_change{};
    std::map<std::string, observation> m_observed; ///< By upstream.
    std::map<std::string, bucket> m_buckets;       ///< By upstream.
    std::optional<std::uint64_t> m_proposed_on;    ///< Generation that the last change is based on.
};

} // namespace siskindrift::control
