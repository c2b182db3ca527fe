// What a gateway tells the leader of requests that wait for an adapter.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// A request that waits for an engine to load its adapter.
struct waiting_request {
    core::time_point arrived{};
    core::time_point deadline{};
    core::duration objective{}; ///< Target for the time until its first token.
    std::uint32_t prompt_tokens = 0;
};

/// Adds @p request to the wish for its adapter. It counts as late once it can hardly be answered
/// within its objective any more.
void add_waiting(wire::adapter_wish_t& wish, const waiting_request& request, core::time_point now);

} // namespace siskindrift::gateway
