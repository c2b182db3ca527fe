#include "siskindrift/gateway/route_table.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(RouteTable)
{
    deployment document;

    void add(const std::string& name, const std::string& host, const std::string& prefix)
    {
        route item;
        item.name = name;
        item.host = host;
        item.prefix = prefix;
        item.services = {{"one", 90}, {"two", 10}};
        document.routes.push_back(item);
    }

    void setup() override
    {
        add("short", "h", "/a/");
        add("long", "h", "/a/b/");
        add("other", "i", "/a/");
    }

    std::string found(const std::string& host, const std::string& target)
    {
        const route_table table{document};
        const auto* item = table.find(host, target);
        return item == nullptr ? "none" : item->name;
    }
};

TEST(RouteTable, PrefersTheLongestPrefix)
{
    STRCMP_EQUAL("long", found("h", "/a/b/c").c_str());
    STRCMP_EQUAL("short", found("h", "/a/c").c_str());
}

TEST(RouteTable, SeparatesHostsAndIgnoresThePort)
{
    STRCMP_EQUAL("other", found("i:80", "/a/b/c").c_str());
    STRCMP_EQUAL("none", found("j", "/a/b").c_str());
}

TEST(RouteTable, MatchesOnlyThePath)
{
    STRCMP_EQUAL("none", found("h", "/x?y=/a/").c_str());
    STRCMP_EQUAL("none", found("h", "/a").c_str());
}

TEST(RouteTable, SplitsByWeightAndIsStableForARequestId)
{
    int second_service = 0;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        const auto id = std::to_string(i);
        const auto& chosen = route_table::choose_service(document.routes[0], id);
        STRCMP_EQUAL(chosen.c_str(), route_table::choose_service(document.routes[0], id).c_str());
        second_service += chosen == "two" ? 1 : 0;
    }
    CHECK_TRUE_TEXT(second_service > 140 && second_service < 260,
                    std::to_string(second_service).c_str());
}
