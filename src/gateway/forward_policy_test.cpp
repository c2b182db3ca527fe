#include "siskindrift/gateway/forward_policy.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(ForwardPolicy)
{
    forward_state state;

    void setup() override
    {
        state.attempts_sent = 1;
        state.time_left = core::milliseconds{500};
        state.max_attempts = 2;
    }

    void expect(next_step expected, attempt_outcome outcome)
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(decide_next_step(outcome, state)));
    }
};

TEST(ForwardPolicy, RetriesAnUnexecutedRequestOfAnyKind)
{
    expect(next_step::retry, attempt_outcome::not_executed);
    expect(next_step::retry, attempt_outcome::not_sent);
}

TEST(ForwardPolicy, NeverRetriesAnUnsafeRequestThatMayHaveRun)
{
    state.may_have_run = 1;
    expect(next_step::fail, attempt_outcome::indeterminate);
    state.status = 500;
    expect(next_step::forward_response, attempt_outcome::answered);
}

TEST(ForwardPolicy, NeverRetriesAnUnsafeRequestBecauseALaterUpstreamDidNotExecuteIt)
{
    state.attempts_sent = 2;
    // The first upstream may have executed it; the second states that it did not.
    state.may_have_run = 1;
    expect(next_step::fail, attempt_outcome::not_executed);
}

TEST(ForwardPolicy, RetriesARepeatableRequestUpToMaxAttempts)
{
    state.repeatable = true;
    state.may_have_run = 1;
    expect(next_step::retry, attempt_outcome::indeterminate);
    state.may_have_run = 2;
    expect(next_step::fail, attempt_outcome::indeterminate);
}

TEST(ForwardPolicy, RetriesASafeRequestAfterAServerError)
{
    state.repeatable = true;
    state.may_have_run = 1;
    state.status = 500;
    expect(next_step::retry, attempt_outcome::answered);
    state.status = 404;
    expect(next_step::forward_response, attempt_outcome::answered);
}

TEST(ForwardPolicy, RefusesAnUnexecutedRequestWithoutTimeForARetry)
{
    state.time_left = core::milliseconds{5};
    expect(next_step::refuse, attempt_outcome::not_executed);
}

TEST(ForwardPolicy, TreatsAnUnsealedOrEncodedSuccessAsIndeterminate)
{
    response_metadata response;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::indeterminate),
                static_cast<int>(classify_response(response, 200)));
    response.sealed = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::answered),
                static_cast<int>(classify_response(response, 200)));
    response.content_encoded = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::indeterminate),
                static_cast<int>(classify_response(response, 200)));
}

TEST(ForwardPolicy, DoesNotInferNonExecutionFromTheStatus)
{
    response_metadata response;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::answered),
                static_cast<int>(classify_response(response, 503)));
    response.not_executed = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::not_executed),
                static_cast<int>(classify_response(response, 503)));
}
