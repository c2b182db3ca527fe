// Divides the places of upstreams that fail when they reject too much among the gateways.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::control {

/// Parameters of a place manager.
struct place_manager_options {
    /// Time from the begin of a term until all gateways have told what they use.
    core::duration collection_time = core::milliseconds{600};
    /// How long the places of a gateway that tells nothing stay its own. Longer than three of its
    /// reports.
    core::duration lease = core::milliseconds{5000};
};

/// Keeps on the leader how many places of each upstream each gateway may use. Performs no I/O.
///
/// A gateway gets what it asks for while there are free places. If there is more work than places,
/// each gets an equal part of them at most, and gives up more as its requests end.
class place_manager {
public:
    explicit place_manager(place_manager_options options = {}) : m_options(options) {}

    /// Forgets what gateways use. They tell it again.
    void begin_term(core::time_point now);

    /// Decides how many places a gateway may use.
    /// @param slots places of the upstream.
    [[nodiscard]] wire::place_grant_t grant(const std::string& vm, const wire::place_wish_t& wish,
                                            std::uint32_t slots, core::time_point now);

    /// Returns the upstreams whose places are divided now.
    [[nodiscard]] std::vector<wire::divided_upstream_t> divided(core::time_point now) const;
    /// Returns whether there are more of these since the last call.
    [[nodiscard]] bool take_changed();

private:
    struct holder {
        std::uint32_t places = 0;
        std::uint32_t demand = 0; ///< Places in use and requests that wait.
        core::time_point told_at{};
    };
    struct upstream_state {
        std::uint64_t born_ms = 0;
        std::map<std::string, holder> holders; ///< By VM.
        core::time_point used_at{};
    };

    /// Returns the most places that one gateway gets when all are divided by demand.
    [[nodiscard]] static std::uint32_t fair_part(const upstream_state& state, std::uint32_t slots);

    place_manager_options m_options;
    core::time_point m_term_began{};
    std::map<std::string, upstream_state> m_upstreams;
    bool m_changed = false;
};

} // namespace siskindrift::control
