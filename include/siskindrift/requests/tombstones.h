// States of attempts at their owner, kept to recognise duplicate and late messages.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "siskindrift/core/clock.h"

namespace siskindrift::requests {

/// Request id and attempt number.
using attempt_key = std::pair<std::string, std::uint32_t>;

/// State of an attempt at its owner.
enum class attempt_state : std::uint8_t {
    unknown,   ///< No message about it has arrived, or it has expired.
    abandoned, ///< It had not started and never will.
    not_run,   ///< It was refused before it started.
    started,   ///< It is running or has run.
};

/// Keeps the states of attempts. The retention time must exceed the longest delay of a duplicate
/// dispatch, or the duplicate would start the attempt again.
class tombstones {
public:
    explicit tombstones(core::duration ttl) : m_ttl(ttl) {}

    /// Sets the state of attempt @p key at time @p now. `started` is never replaced.
    void set(const attempt_key& key, attempt_state state, core::time_point now);
    /// Returns the state of attempt @p key.
    [[nodiscard]] attempt_state state_of(const attempt_key& key) const;
    /// Removes entries that were added longer ago than the retention time.
    void remove_expired(core::time_point now);

private:
    core::duration m_ttl;
    std::map<attempt_key, attempt_state> m_states;
    std::deque<std::pair<core::time_point, attempt_key>> m_order;
};

} // namespace siskindrift::requests
