// Attempts that will never start here, and attempts that were seen before.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "siskindrift/core/clock.h"

namespace siskindrift::requests {

/// Names one attempt of one request.
using attempt_key = std::pair<std::string, std::uint32_t>;

/// What became of an attempt at its owner.
enum class attempt_state : std::uint8_t {
    unknown,
    abandoned, ///< It has not started and never will.
    not_run,   ///< It was refused before it started.
    started,   ///< It runs or has run.
};

/// Remembers states for longer than any copy of a dispatch can travel.
class tombstones {
public:
    explicit tombstones(core::duration ttl) : m_ttl(ttl) {}

    /// Sets the state. `started` is never replaced.
    void set(const attempt_key& key, attempt_state state, core::time_point now);
    [[nodiscard]] attempt_state state_of(const attempt_key& key) const;
    void remove_expired(core::time_point now);

private:
    core::duration m_ttl;
    std::map<attempt_key, attempt_state> m_states;
    std::deque<std::pair<core::time_point, attempt_key>> m_order;
};

} // namespace siskindrift::requests
