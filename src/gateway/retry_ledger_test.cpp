#include "siskindrift/gateway/retry_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(RetryLedger)
{
    const upstream_run frozen{"frozen", 1};
    const upstream_run sound{"sound", 1};
    core::manual_clock clock;
    retry_ledger ledger{{0, 20, core::milliseconds{10'000}}};
    std::uint64_t requests = 0;

    request_key begin()
    {
        return request_key{++requests};
    }

    void send(request_key request, const upstream_run& run)
    {
        ledger.record_sent(request, run, clock.now());
    }

    /// Sends a request to a run that rejects it.
    request_key send_rejected()
    {
        const auto request = begin();
        send(request, sound);
        ledger.record_answer(request, clock.now());
        return request;
    }

    bool retry(request_key request, const upstream_run& run)
    {
        if (!ledger.try_retry(request, run, clock.now(), 1)) {
            return false;
        }
        send(request, run);
        return true;
    }

    void give_up(request_key request)
    {
        ledger.record_unanswered(request, send_end::given_up, clock.now());
        ledger.record_end(request, false);
    }

    /// Retries a request at the frozen run in vain.
    request_key lose_retry()
    {
        const auto request = send_rejected();
        CHECK_TRUE(retry(request, frozen));
        clock.advance(core::milliseconds{1500});
        give_up(request);
        return request;
    }

    double counted()
    {
        return ledger.usage(clock.now(), 1).retries;
    }
};

TEST(RetryLedger, CountsARetryThatWasGivenUpUntilItsUpstreamAnswersALaterSend)
{
    lose_retry();
    clock.advance(core::milliseconds{30'000});
    DOUBLES_EQUAL(1, counted(), 0);
    const auto later = begin();
    send(later, frozen);
    ledger.record_answer(later, clock.now());
    clock.advance(core::milliseconds{10'500});
    DOUBLES_EQUAL(1, counted(), 0);
    clock.advance(core::milliseconds{1000});
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, IsNotToldByAnAnswerToAnEarlierSend)
{
    const auto earlier = begin();
    send(earlier, frozen);
    clock.advance(core::milliseconds{10});
    lose_retry();
    ledger.record_answer(earlier, clock.now());
    clock.advance(core::milliseconds{12'000});
    DOUBLES_EQUAL(1, counted(), 0);
}

TEST(RetryLedger, CountsAFirstSendThatMayComeAfterItsRetry)
{
    const auto request = begin();
    send(request, frozen);
    clock.advance(core::milliseconds{2000});
    ledger.record_unanswered(request, send_end::given_up, clock.now());
    CHECK_TRUE(retry(request, sound));
    ledger.record_answer(request, clock.now());
    ledger.record_end(request, false);
    clock.advance(core::milliseconds{30'000});
    DOUBLES_EQUAL(1, counted(), 0);
    ledger.record_run_end(frozen, clock.now());
    clock.advance(core::milliseconds{11'500});
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, CountsNoRequestThatWasSentOnce)
{
    const auto request = begin();
    send(request, frozen);
    clock.advance(core::milliseconds{2000});
    give_up(request);
    DOUBLES_EQUAL(0, counted(), 0);
    LONGS_EQUAL(0, ledger.unanswered());
}

TEST(RetryLedger, GivesBackARetryThatWasNotSent)
{
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, frozen));
    ledger.record_not_sent(request);
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, KeepsTheRetriesForUpstreamsThatAnswerBesideAnOverdueOne)
{
    lose_retry();
    int lost = 0;
    for (; lost < 100; ++lost) {
        const auto request = send_rejected();
        if (!retry(request, frozen)) {
            ledger.record_end(request, false);
            break;
        }
        give_up(request);
    }
    LONGS_EQUAL(0, lost);
    int answered = 0;
    for (; answered < 100; ++answered) {
        const auto request = send_rejected();
        if (!retry(request, sound)) {
            break;
        }
        ledger.record_answer(request, clock.now());
    }
    LONGS_EQUAL(19, answered);
}

TEST(RetryLedger, SendsNoMoreThatMayComeLastThanIsAllowedWithoutRequests)
{
    for (int i = 0; i < 1000; ++i) {
        ledger.record_request(clock.now());
        clock.advance(core::milliseconds{30});
    }
    int sent = 0;
    for (; sent < 100; ++sent) {
        const auto request = begin();
        send(request, {"frozen " + std::to_string(sent), 1});
        ledger.record_unanswered(request, send_end::given_up, clock.now());
        if (!retry(request, sound)) {
            break;
        }
        ledger.record_answer(request, clock.now());
    }
    LONGS_EQUAL(20, sent);
}

TEST(RetryLedger, TakesAConnectionThatASilentUpstreamResetsForNoSignThatItReads)
{
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, frozen));
    clock.advance(core::milliseconds{600});
    CHECK_TRUE(ledger.record_unanswered(request, send_end::peer_closed, clock.now()));
    clock.advance(core::milliseconds{12'000});
    DOUBLES_EQUAL(1, counted(), 0);
}

TEST(RetryLedger, SettlesWhatAnUpstreamResetsAtOnce)
{
    for (int i = 0; i < 100; ++i) {
        const auto request = send_rejected();
        CHECK_TRUE(retry(request, frozen));
        clock.advance(core::milliseconds{20});
        CHECK_FALSE(ledger.record_unanswered(request, send_end::peer_closed, clock.now()));
        clock.advance(core::milliseconds{1500});
        CHECK_FALSE(ledger.is_silent(frozen, clock.now()));
    }
    clock.advance(core::milliseconds{12'000});
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, NamesAnUpstreamOverdueUntilItSendsAByte)
{
    const auto request = begin();
    send(request, frozen);
    clock.advance(core::milliseconds{600});
    LONGS_EQUAL(1, ledger.overdue_upstreams(clock.now()).size());
    ledger.record_activity(frozen, clock.now());
    LONGS_EQUAL(0, ledger.overdue_upstreams(clock.now()).size());
}

TEST(RetryLedger, NamesAnUpstreamOverdueByTheTimeThatOthersTake)
{
    for (const int ms : {10, 700}) {
        for (int i = 0; i < 200; ++i) {
            const auto request = begin();
            send(request, sound);
            clock.advance(core::milliseconds{ms});
            ledger.record_answer(request, clock.now());
            ledger.record_end(request, false);
        }
        const auto request = begin();
        send(request, frozen);
        clock.advance(core::milliseconds{150});
        CHECK_EQUAL(ms == 10, ledger.is_overdue(frozen, clock.now()));
        clock.advance(core::milliseconds{ms * 3});
        CHECK_TRUE(ledger.is_overdue(frozen, clock.now()));
        ledger.record_answer(request, clock.now());
        ledger.record_end(request, false);
    }
}

TEST(RetryLedger, CountsARequestThatAnotherGatewaySendsToo)
{
    const auto request = begin();
    send(request, frozen);
    clock.advance(core::milliseconds{2000});
    ledger.record_unanswered(request, send_end::given_up, clock.now());
    ledger.record_end(request, true);
    DOUBLES_EQUAL(1, counted(), 0);
}

TEST(RetryLedger, ForgetsASendThatNothingEverShowed)
{
    lose_retry();
    clock.advance(core::milliseconds{61'000});
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, sound));
    clock.advance(core::milliseconds{12'000});
    DOUBLES_EQUAL(1, counted(), 0); // the open one
}

TEST(RetryLedger, CountsARetryWhoseCallerLeftEarlyUntilItsUpstreamAnswersALaterSend)
{
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, frozen));
    clock.advance(core::milliseconds{10});
    give_up(request);
    clock.advance(core::milliseconds{20'000});
    LONGS_EQUAL(1, ledger.unanswered());
    DOUBLES_EQUAL(1, counted(), 0);
    const auto later = begin();
    send(later, frozen);
    ledger.record_answer(later, clock.now());
    LONGS_EQUAL(0, ledger.unanswered());
}

TEST(RetryLedger, SettlesAnOpenRetryWhoseUpstreamAnsweredALaterSend)
{
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, sound));
    for (int i = 0; i < 5; ++i) {
        clock.advance(core::milliseconds{300});
        send_rejected();
    }
    clock.advance(core::milliseconds{10'500});
    DOUBLES_EQUAL(0, counted(), 0);
    ledger.record_answer(request, clock.now());
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, SettlesARetryWhoseEarlierSendsWereMadeByAnotherGateway)
{
    const auto request = begin();
    CHECK_TRUE(retry(request, sound));
    ledger.record_answer(request, clock.now());
    ledger.record_end(request, true);
    DOUBLES_EQUAL(1, counted(), 0);
    clock.advance(core::milliseconds{11'500});
    DOUBLES_EQUAL(0, counted(), 0);
}

TEST(RetryLedger, IsNotToldOfARequestThatAnotherGatewayPassedOnByItsAnswerToAnotherOne)
{
    const auto request = send_rejected();
    CHECK_TRUE(retry(request, relay_run("helper", 1)));
    clock.advance(core::milliseconds{1500});
    give_up(request);
    const auto later = begin();
    send(later, relay_run("helper", 2));
    ledger.record_answer(later, clock.now());
    clock.advance(core::milliseconds{20'000});
    DOUBLES_EQUAL(1, counted(), 0);
}
