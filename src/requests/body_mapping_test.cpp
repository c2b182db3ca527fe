#include <boost/json.hpp>

#include "siskindrift/requests/request.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::requests;

namespace {

raw_request completion(const std::string& body)
{
    raw_request raw;
    raw.method = "POST";
    raw.target = "/v1/completions";
    raw.body = body;
    return raw;
}

core::reason rejection_reason(const raw_request& raw)
{
    refusal why;
    CHECK_FALSE(parse_request(raw, why).has_value());
    CHECK_TRUE(why.outcome.verdict == core::verdict::not_run);
    return why.outcome.reason;
}

} // namespace

TEST_GROUP(BodyMapping){};

TEST(BodyMapping, ParsesCompletionRequest)
{
    refusal why;
    const auto request =
        parse_request(completion(R"({"model":"a@1","prompt":"x","stream":true})"), why);
    CHECK_TRUE_TEXT(request.has_value(), why.message.c_str());
    STRCMP_EQUAL("a@1", request->adapter.value().c_str());
    CHECK_TRUE(request->stream);
    CHECK_TRUE(request->idempotent);
}

TEST(BodyMapping, RejectsInvalidBodies)
{
    for (const auto* body :
         {"", "{", "[]", "1", R"({"prompt":"x"})", R"({"model":"a","prompt":"x"})",
          R"({"model":"a@1"})", R"({"model":"a@1","prompt":7})",
          R"({"model":"a@1","prompt":"x","max_tokens":0})",
          R"({"model":"a@1","prompt":"x","max_tokens":1e300})",
          R"({"model":"a@1","prompt":"x","stream":"yes"})", "{\"model\":\"\xff\"}"}) {
        CHECK_TRUE_TEXT(rejection_reason(completion(body)) == core::reason::bad_request, body);
    }
}

TEST(BodyMapping, RejectsDeepNesting)
{
    CHECK_TRUE(rejection_reason(completion(std::string(10'000, '['))) == core::reason::bad_request);
}

TEST(BodyMapping, RejectsInvalidHeaders)
{
    auto raw = completion(R"({"model":"a@1","prompt":"x"})");
    raw.deadline_ms = "-5";
    CHECK_TRUE(rejection_reason(raw) == core::reason::bad_request);
    raw.deadline_ms = "";
    raw.priority = "11";
    CHECK_TRUE(rejection_reason(raw) == core::reason::bad_request);
    raw.priority = "";
    raw.idempotent = "maybe";
    CHECK_TRUE(rejection_reason(raw) == core::reason::bad_request);
}

TEST(BodyMapping, ParsesServiceNameAndPath)
{
    raw_request raw;
    raw.target = "/v1/services/filing/labels/7";
    refusal why;
    const auto request = parse_request(raw, why);
    STRCMP_EQUAL("filing", request->service.c_str());
    STRCMP_EQUAL("/labels/7", request->path.c_str());
    raw.target = "/v1/services/filing";
    CHECK_TRUE(rejection_reason(raw) == core::reason::unknown_route);
}

TEST(BodyMapping, ResumesAfterTheDeliveredText)
{
    const auto body =
        resume_body(R"({"model":"a@1","prompt":"x","max_tokens":10})", false, " t1 t2", 2);
    const auto object = boost::json::parse(body).as_object();
    STRCMP_EQUAL("x t1 t2", object.at("prompt").as_string().c_str());
    LONGS_EQUAL(8, object.at("max_tokens").to_number<int>());
}

TEST(BodyMapping, SplitsEventsAtAnyChunkBoundary)
{
    const std::string stream = "data: one\n\nevent: x\ndata: two\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        sse_data_splitter splitter;
        auto events = splitter.feed(std::string_view{stream}.substr(0, cut));
        for (auto& event : splitter.feed(std::string_view{stream}.substr(cut))) {
            events.push_back(event);
        }
        UNSIGNED_LONGS_EQUAL(3, events.size());
        STRCMP_EQUAL("two", events[1].c_str());
    }
}

TEST(BodyMapping, MapsOutcomesToHttpStatus)
{
    using core::reason;
    using core::verdict;
    LONGS_EQUAL(429, http_status_of({verdict::not_run, reason::team_rate_limit}));
    LONGS_EQUAL(503, http_status_of({verdict::not_run, reason::no_upstream}));
    LONGS_EQUAL(502, http_status_of({verdict::may_have_run, reason::upstream_lost}));
    LONGS_EQUAL(504, http_status_of({verdict::may_have_run, reason::deadline_passed}));
    LONGS_EQUAL(409, http_status_of({verdict::not_run, reason::key_reused_with_other_body}));
    LONGS_EQUAL(404, http_status_of({verdict::not_run, reason::unknown_model}));
}

TEST(BodyMapping, ReadsTheTextBackFromAResponseBody)
{
    caller_request request;
    for (const auto kind : {route::completions, route::chat}) {
        request.kind = kind;
        STRCMP_EQUAL("a \"text\"\n",
                     response_text(response_body(request, "a \"text\"\n", 3)).value().c_str());
    }
    CHECK_FALSE(response_text("").has_value());
    CHECK_FALSE(response_text(R"({"choices":[]})").has_value());
}
