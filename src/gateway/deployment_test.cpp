#include "siskindrift/gateway/deployment.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(Deployment)
{
    deployment document;

    void setup() override
    {
        document.services["desk"] = service{"desk", "/health", 10, std::nullopt};
        document.routes.push_back(make_route("r1", "/a/"));
    }

    static route make_route(const std::string& name, const std::string& prefix)
    {
        route item;
        item.name = name;
        item.host = "h";
        item.prefix = prefix;
        item.timeout = core::milliseconds{1000};
        item.services = {{"desk", 1}};
        return item;
    }

    std::string error()
    {
        return validation_error(document).value_or("none");
    }

    void expect_error(const std::string& part)
    {
        CHECK_TRUE_TEXT(error().find(part) != std::string::npos, error().c_str());
    }
};

TEST(Deployment, IsValidWhenEveryRouteHasAKnownService)
{
    STRCMP_EQUAL("none", error().c_str());
}

TEST(Deployment, ReportsTheRouteWithAnUnknownService)
{
    document.routes[0].services = {{"nowhere", 1}};
    expect_error("\"r1\": service \"nowhere\" does not exist");
}

TEST(Deployment, RejectsTwoRoutesWithTheSameHostAndPrefix)
{
    document.routes.push_back(make_route("r2", "/a/"));
    expect_error("two routes");
}

TEST(Deployment, RejectsWeightsThatAddUpToZero)
{
    document.routes[0].services = {{"desk", 0}, {"desk", 0}};
    expect_error("add up to 0");
}

TEST(Deployment, RejectsAZeroTimeout)
{
    document.routes[0].timeout = {};
    expect_error("timeout is 0");
}
