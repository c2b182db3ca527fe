// Keeps all gateways together to the places of upstreams that fail when they reject too much.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// Parameters of the places at a gateway.
struct upstream_places_options {
    /// Time until the leader is asked again after it didn't answer. It doubles with each question
    /// that wasn't answered in time, up to `max_answer_timeout`.
    core::duration answer_timeout = core::milliseconds{50};
    core::duration max_answer_timeout = core::milliseconds{400};
    /// Pause after the leader had no place.
    core::duration refusal_pause = core::milliseconds{30};
    /// Time within which freed places are told to the leader together.
    core::duration release_delay = core::milliseconds{20};
    /// Interval at which the places in use are told to the leader.
    core::duration renewal_interval = core::milliseconds{1000};
    /// How long places that aren't in use may be taken, from the question for them.
    core::duration lifetime = core::milliseconds{500};
};

/// An answer of an upstream, as evidence of whether it fails by rejections.
struct place_answer {
    std::string service;
    std::string upstream;
    std::uint64_t born_ms = 0; ///< Start of the upstream's run.
    std::uint32_t slots = 0;   ///< Requests that it executes at once.
    bool limited = false;      ///< The answer names a limit of rejections.
    core::time_point sent{};   ///< When its request was sent.
};

/// Counts the requests of this gateway at upstreams, and holds the places that it may use at those
/// that name a limit of rejections. The leader divides the places. Performs no I/O.
///
/// An upstream that never has more requests than places has none to reject.
class upstream_places {
public:
    explicit upstream_places(upstream_places_options options = {}) : m_options(options) {}

    /// Records an answer. @return whether it begins or ends the division of places.
    bool record_answer(const place_answer& answer, core::time_point now);
    /// Records that the places of a run of @p upstream are divided, unless an answer of this run
    /// has said otherwise.
    void set_limited(const std::string& service, const std::string& upstream, std::uint64_t born_ms,
                     std::uint32_t slots, core::time_point now);
    /// Returns the services whose upstreams fail by rejections, also those that start anew.
    [[nodiscard]] const std::map<std::string, core::time_point>& limited_services() const
    {
        return m_services;
    }
    /// Records that a request was sent to @p upstream.
    void begin(const std::string& upstream) { ++m_upstreams[upstream].in_use; }
    /// Records that a request to @p upstream has ended.
    void end(const std::string& upstream);
    /// Sets whether a leader is known, and the number of gateways that share the places if not.
    void set_leader(bool known, std::size_t gateways);

    /// Returns whether the places of a run of @p upstream are divided.
    [[nodiscard]] bool is_limited(const std::string& upstream, std::uint64_t born_ms) const;
    /// Returns whether a request may be sent to a run of @p upstream without asking for a place.
    [[nodiscard]] bool has_place(const std::string& upstream, std::uint64_t born_ms,
                                 core::time_point now) const;
    /// Returns whether the leader had no place for this gateway just now.
    [[nodiscard]] bool is_full(const std::string& upstream, core::time_point now) const;

    /// Records that one more request waits for a place.
    void add_wish(const std::string& upstream) { ++m_upstreams[upstream].wanted; }
    /// Returns what to tell the leader now.
    [[nodiscard]] std::vector<wire::place_wish_t> take_wishes(core::time_point now);
    /// Returns whether `take_wishes` has to be called again soon.
    [[nodiscard]] bool has_news() const;
    /// Makes `take_wishes` tell everything again, to a leader that is new.
    void report_again();
    /// Applies what the leader grants.
    /// @param asked when the question was sent.
    void apply(const wire::place_grant_t& grant, core::time_point asked, core::time_point now);

private:
    struct place_state {
        bool limited = false;
        std::uint64_t born_ms = 0;
        std::uint32_t slots = 0;
        core::time_point limited_at{};
        std::uint32_t in_use = 0;
        std::uint32_t places = 0; ///< That may be in use.
        core::time_point valid_until{};
        std::uint32_t wanted = 0;
        bool released = false; ///< Places were freed since the last report.
        std::optional<core::time_point> asked_at;
        core::duration answer_timeout{}; ///< Of the question that is open; 0 before the first.
        core::time_point told_at{};
        core::time_point full_until{};
    };

    upstream_places_options m_options;
    std::map<std::string, place_state> m_upstreams;
    /// When an answer last began the division, by service.
    std::map<std::string, core::time_point> m_services;
    bool m_leader_known = false;
    std::size_t m_gateways = 1;
};

} // namespace siskindrift::gateway
