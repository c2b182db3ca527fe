#include "siskindrift/gateway/request_digest.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(RequestDigest)
{
    http::server_request request;

    void setup() override
    {
        request.method = "POST";
        request.target = "/safe/x?y=1";
        request.headers = {{"Host", "h"}, {"Authorization", "Bearer t"}, {"X-Id", "1"}};
        request.body = std::string(100'000, 'a');
    }
};

TEST(RequestDigest, IsTheSameForARequestThatComesAgainUnderAnotherId)
{
    const auto digest = request_digest(request);
    LONGS_EQUAL(32, digest.size());
    request.headers.back().second = "2";
    STRCMP_EQUAL(digest.c_str(), request_digest(request).c_str());
}

TEST(RequestDigest, DiffersWithMethodHostPathCredentialsAndEachByteOfTheBody)
{
    const auto digest = request_digest(request);
    const auto differs = [&](auto change) {
        auto other = request;
        change(other);
        CHECK_TRUE(digest != request_digest(other));
    };
    differs([](auto& other) { other.method = "PUT"; });
    differs([](auto& other) { other.headers[0].second = "i"; });
    differs([](auto& other) { other.target = "/safe/x?y=2"; });
    differs([](auto& other) { other.headers[1].second = "Bearer u"; });
    differs([](auto& other) { other.body[50'000] = 'b'; });
    differs([](auto& other) { other.body.clear(); });
}
