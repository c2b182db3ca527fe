// Decides whether a request is retried after an attempt to forward it.
#pragma once

#include <cstdint>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/gateway/request_metadata.h"
#include "siskindrift/http/client.h"

namespace siskindrift::gateway {

/// Outcome of one attempt, before any byte of its response was sent to the caller.
enum class attempt_outcome : std::uint8_t {
    not_sent,      ///< No connection was established and no byte was sent.
    not_executed,  ///< The upstream states that it did not execute the request.
    answered,      ///< A complete response of the upstream itself, successful or not.
    indeterminate, ///< No complete response of the upstream; the request may have been executed.
};

/// State of a request at the end of one of its attempts.
struct forward_state {
    bool repeatable = false;    ///< The request may be executed more than once.
    unsigned may_have_run = 0;  ///< Upstreams that may have executed it, including the last one.
    unsigned attempts_sent = 0; ///< Attempts that were sent, including the last one.
    unsigned max_attempts = 1;  ///< Limit on `may_have_run` for a repeatable request.
    core::duration time_left{}; ///< Until the caller's deadline.
    std::uint16_t status = 0;   ///< HTTP status of the response, or 0 if there is none.
};

/// What to do with a request after an attempt.
enum class next_step : std::uint8_t {
    retry,            ///< Send it to another upstream if the retry budget allows it.
    forward_response, ///< Forward the upstream's response to the caller.
    refuse,           ///< Not executed: tell the caller so and when to retry.
    fail,             ///< Possibly executed, but there is no response to forward.
};

/// Limits on retries.
struct forward_options {
    /// Minimum time left for a retry; no upstream responds faster.
    core::duration min_retry_time = core::milliseconds{30};
    /// Maximum number of attempts sent; a request that four upstreams refused is refused.
    unsigned max_sends = 4;
};

/// Returns the next step after an attempt with @p outcome. The upstream may have
/// failed, been overloaded or been restarted. Performs no I/O.
[[nodiscard]] next_step decide_next_step(attempt_outcome outcome, const forward_state& state,
                                         const forward_options& options = {});

/// Classifies an attempt by the headers and the HTTP status of its response.
[[nodiscard]] attempt_outcome classify_response(const response_metadata& response,
                                                std::uint16_t status);

} // namespace siskindrift::gateway
