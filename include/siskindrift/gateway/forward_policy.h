// Decides what follows when an attempt at an upstream ended.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/gateway/request_metadata.h"
#include "siskindrift/http/client.h"

namespace siskindrift::gateway {

/// How one attempt ended, before any byte of its answer reached the caller.
enum class attempt_outcome : std::uint8_t {
    not_sent,      ///< No connection; no byte left.
    not_executed,  ///< The upstream states that it did not run the request.
    answered,      ///< The upstream's own whole answer, a success or not.
    indeterminate, ///< No whole answer of the upstream came; the request may have run.
};

/// What is known of a request when one of its attempts ended.
struct forward_state {
    bool repeatable = false;
    unsigned may_have_run = 0;  ///< Upstreams that may have run it, the last one included.
    unsigned attempts_sent = 0; ///< Attempts that left, the last one included.
    unsigned max_attempts = 1;
    core::duration time_left{};
    std::uint16_t status = 0; ///< Of the answer, if any.
};

/// What to do next.
enum class next_step : std::uint8_t {
    retry,            ///< Send it to another upstream, if the budget allows.
    forward_response, ///< Hand the answer to the caller.
    refuse,           ///< It did not run: say so, and when to come back.
    fail,             ///< It may have run and there is no answer.
};

struct forward_options {
    core::duration retry_floor = core::milliseconds{30}; // less time than any upstream needs
    unsigned sends_limit = 4; // a request that four upstreams refused is refused
};

/// Returns the step after an attempt. Pure; answers failing, full and restarted upstreams.
[[nodiscard]] next_step decide_next_step(attempt_outcome end, const forward_state& state,
                                         const forward_options& options = {});

/// Returns what the head of an answer makes of its attempt.
[[nodiscard]] attempt_outcome classify_response(const response_metadata& facts,
                                                std::uint16_t status);

} // namespace siskindrift::gateway
