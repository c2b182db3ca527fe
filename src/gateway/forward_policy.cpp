#include "siskindrift/gateway/forward_policy.h"

namespace siskindrift::gateway {
namespace {

constexpr std::uint16_t first_success = 200;
constexpr std::uint16_t first_redirect = 300;
constexpr std::uint16_t first_server_error = 500;

} // namespace

attempt_outcome classify_response(const response_metadata& facts, std::uint16_t status)
{
    const bool success = status >= first_success && status < first_redirect;
    if (facts.not_executed && !success) {
        return attempt_outcome::not_executed;
    }
    // A success without its seal, or with a changed body, is not the upstream's answer.
    if (success && (!facts.sealed || facts.content_encoded)) {
        return attempt_outcome::indeterminate;
    }
    return attempt_outcome::answered;
}

next_step decide_next_step(attempt_outcome end, const forward_state& state,
                           const forward_options& options)
{
    const bool time = state.time_left >= options.retry_floor;
    const bool sends = state.attempts_sent < options.sends_limit;
    const bool another_run = state.repeatable && state.may_have_run < state.max_attempts;
    // A request that may have run must not run again unless it is repeatable.
    const bool may_repeat = time && sends && (state.may_have_run == 0 || another_run);
    switch (end) {
    case attempt_outcome::answered:
        return state.status >= first_server_error && may_repeat ? next_step::retry
                                                                : next_step::forward_response;
    case attempt_outcome::not_sent:
    case attempt_outcome::not_executed:
    case attempt_outcome::indeterminate:
        break;
    }
    if (may_repeat) {
        return next_step::retry;
    }
    return state.may_have_run == 0 ? next_step::refuse : next_step::fail;
}

} // namespace siskindrift::gateway
