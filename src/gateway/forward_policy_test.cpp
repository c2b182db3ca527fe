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

    void expect(next_step wanted, attempt_outcome end)
    {
        LONGS_EQUAL(static_cast<int>(wanted), static_cast<int>(decide_next_step(end, state)));
    }
};

TEST(ForwardPolicy, SendsWhatWasNotExecutedElsewhereWhateverItsKind)
{
    expect(next_step::retry, attempt_outcome::not_executed);
    expect(next_step::retry, attempt_outcome::not_sent);
}

TEST(ForwardPolicy, NeverRepeatsAnUnsafeRequestThatMayHaveRun)
{
    state.may_have_run = 1;
    expect(next_step::fail, attempt_outcome::indeterminate);
    state.status = 500;
    expect(next_step::forward_response, attempt_outcome::answered);
}

TEST(ForwardPolicy, NeverRepeatsAnUnsafeRequestAfterALaterProofOfAnotherUpstream)
{
    state.attempts_sent = 2;
    state.may_have_run = 1; // the first may have, the second states that it did not
    expect(next_step::fail, attempt_outcome::not_executed);
}

TEST(ForwardPolicy, RepeatsARepeatableRequestUpToItsAttempts)
{
    state.repeatable = true;
    state.may_have_run = 1;
    expect(next_step::retry, attempt_outcome::indeterminate);
    state.may_have_run = 2;
    expect(next_step::fail, attempt_outcome::indeterminate);
}

TEST(ForwardPolicy, TriesASecondUpstreamAfterTheFirstFailedASafeRequest)
{
    state.repeatable = true;
    state.may_have_run = 1;
    state.status = 500;
    expect(next_step::retry, attempt_outcome::answered);
    state.status = 404;
    expect(next_step::forward_response, attempt_outcome::answered);
}

TEST(ForwardPolicy, RefusesWithoutTimeWhatNobodyRan)
{
    state.time_left = core::milliseconds{5};
    expect(next_step::refuse, attempt_outcome::not_executed);
}

TEST(ForwardPolicy, TakesASuccessWithoutItsSealForNoAnswer)
{
    response_metadata facts;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::indeterminate),
                static_cast<int>(classify_response(facts, 200)));
    facts.sealed = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::answered),
                static_cast<int>(classify_response(facts, 200)));
    facts.content_encoded = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::indeterminate),
                static_cast<int>(classify_response(facts, 200)));
}

TEST(ForwardPolicy, BelievesNoStatusWithoutTheWordThatItDidNotRun)
{
    response_metadata facts;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::answered),
                static_cast<int>(classify_response(facts, 503)));
    facts.not_executed = true;
    LONGS_EQUAL(static_cast<int>(attempt_outcome::not_executed),
                static_cast<int>(classify_response(facts, 503)));
}
