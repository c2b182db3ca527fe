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
enum class attempt_fate : std::uint8_t {
    unseen,
    abandoned, ///< It has not started and never will.
    not_run,   ///< It was refused before it started.
    started,   ///< It runs or has run.
};

/// Remembers fates for longer than any copy of a dispatch can travel.
class tombstones {
public:
    explicit tombstones(core::duration life) : m_life(life) {}

    /// Sets the fate. `started` is never replaced.
    void set(const attempt_key& key, attempt_fate fate, core::time_point now);
    [[nodiscard]] attempt_fate of(const attempt_key& key) const;
    void forget_old(core::time_point now);

private:
    core::duration m_life;
    std::map<attempt_key, attempt_fate> m_fates;
    std::deque<std::pair<core::time_point, attempt_key>> m_order;
};

} // namespace siskindrift::requests
