#include "siskindrift/gateway/relay_codec.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(RelayCodec){};

TEST(RelayCodec, CarriesTheStateOfARequestWhateverBytesItHas)
{
    relay_request sent;
    sent.attempts_sent = 2;
    sent.may_have_run = 1;
    sent.tried_upstreams = {"i-1", "i,2\r\n"};
    sent.counted = true;
    sent.pin = software_pin{"v1,\r\nX: y", "i-1", 77};
    const auto received = decode_relay_request(encode_relay_request(sent));
    LONGS_EQUAL(2, received->attempts_sent);
    LONGS_EQUAL(1, received->may_have_run);
    CHECK_TRUE(received->counted);
    CHECK_TRUE(sent.tried_upstreams == received->tried_upstreams);
    STRCMP_EQUAL(sent.pin->version.c_str(), received->pin->version.c_str());
    STRCMP_EQUAL("i-1", received->pin->upstream.c_str());
    LONGS_EQUAL(77, static_cast<long>(received->pin->born_ms));
    for (const auto& [name, value] : encode_relay_request(sent)) {
        CHECK_TRUE(value.find('\r') == std::string::npos);
    }
}

TEST(RelayCodec, CarriesTheVerdictOfAGatewaysOwnAnswerOnly)
{
    relay_answer sent;
    sent.attempts_sent = 3;
    sent.may_have_run = 1;
    sent.software_version = "v2";
    sent.upstream = "i-7";
    sent.born_ms = 1'900'000'000'000;
    CHECK_FALSE(decode_relay_answer(encode_relay_answer(sent))->own_verdict.has_value());
    sent.own_verdict = core::verdict::not_run;
    sent.reason = core::reason::upstream_unreachable;
    const auto received = decode_relay_answer(encode_relay_answer(sent));
    CHECK_TRUE(core::verdict::not_run == *received->own_verdict);
    CHECK_TRUE(core::reason::upstream_unreachable == received->reason);
    LONGS_EQUAL(3, received->attempts_sent);
    STRCMP_EQUAL("v2", received->software_version.c_str());
    STRCMP_EQUAL("i-7", received->upstream.c_str());
    CHECK_TRUE(1'900'000'000'000 == received->born_ms);
}

TEST(RelayCodec, TakesAnUnreadableVerdictForOneThatPromisesNothing)
{
    relay_answer sent;
    sent.own_verdict = core::verdict::not_run;
    auto headers = encode_relay_answer(sent);
    for (auto& [name, value] : headers) {
        value = name == "Siskindrift-Relay-Verdict" ? "200" : value;
    }
    CHECK_TRUE(core::verdict::may_have_run == *decode_relay_answer(headers)->own_verdict);
}

TEST(RelayCodec, TakesNoRequestWithoutItsStateForOneOfAGateway)
{
    CHECK_FALSE(decode_relay_request({{"Siskindrift-Relay-Sent", "1"}}).has_value());
    CHECK_FALSE(decode_relay_request(
                    {{"Siskindrift-Relay-Sent", "x"}, {"Siskindrift-Relay-May-Have-Run", "0"}})
                    .has_value());
}

TEST(RelayCodec, RemovesWhatACallerOrAnUpstreamPretends)
{
    http::header_list headers{{"siskindrift-relay-verdict", "1"}, {"Host", "h"}};
    remove_relay_headers(headers);
    LONGS_EQUAL(1, static_cast<long>(headers.size()));
    STRCMP_EQUAL("Host", headers[0].first.c_str());
}
