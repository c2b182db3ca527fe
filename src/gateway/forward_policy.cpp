#include "siskindrift/gateway/forward_policy.h"

namespace siskindrift::gateway {
namespace {

constexpr std::uint16_t first_success_status = 200;
constexpr std::uint16_t first_redirect_status = 300;
constexpr std::uint16_t first_server_error_status = 500;

} // namespace

attempt_outcome classify_response(const response_metadata& response, std::uint16_t status)
{
    const bool success = status >= first_success_status && status < first_redirect_status;
    if (response.not_executed && !success) {
        return attempt_outcome::not_executed;
    }
    // A success without its seal, or with a re-encoded body, was not produced by the upstream.
    if (success && (!response.sealed || response.content_encoded)) {
        return attempt_outcome::indeterminate;
    }
    return attempt_outcome::answered;
}

next_step decide_next_step(attempt_outcome outcome, const forward_state& state,
                           const forward_options& options)
{
    const bool enough_time = state.time_left >= options.min_retry_time;
    const bool below_send_limit = state.attempts_sent < options.max_sends;
    const bool may_execute_again = state.repeatable && state.may_have_run < state.max_attempts;
    // A request that may have been executed must not be executed again unless it is repeatable.
    const bool can_retry =
        enough_time && below_send_limit && (state.may_have_run == 0 || may_execute_again);
    switch (outcome) {
    case attempt_outcome::answered:
        return state.status >= first_server_error_status && can_retry ? next_step::retry
                                                                      : next_step::forward_response;
    case attempt_outcome::not_sent:
    case attempt_outcome::not_executed:
    case attempt_outcome::indeterminate:
        break;
    }
    if (can_retry) {
        return next_step::retry;
    }
    return state.may_have_run == 0 ? next_step::refuse : next_step::fail;
}

} // namespace siskindrift::gateway
