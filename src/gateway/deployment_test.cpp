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
        document.routes.push_back(make("r1", "/a/"));
    }

    static route make(const std::string& name, const std::string& prefix)
    {
        route item;
        item.name = name;
        item.host = "h";
        item.prefix = prefix;
        item.timeout = core::milliseconds{1000};
        item.services = {{"desk", 1}};
        return item;
    }

    std::string fault()
    {
        return validation_error(document).value_or("none");
    }

    void expect_fault(const std::string& part)
    {
        CHECK_TRUE_TEXT(fault().find(part) != std::string::npos, fault().c_str());
    }
};

TEST(Deployment, IsValidWhenEveryRouteLeadsSomewhere)
{
    STRCMP_EQUAL("none", fault().c_str());
}

TEST(Deployment, NamesTheRouteThatLeadsToAnUnknownService)
{
    document.routes[0].services = {{"nowhere", 1}};
    expect_fault("\"r1\": service \"nowhere\" does not exist");
}

TEST(Deployment, RefusesTwoRoutesInOnePlace)
{
    document.routes.push_back(make("r2", "/a/"));
    expect_fault("two routes");
}

TEST(Deployment, RefusesWeightsThatAddUpToNothing)
{
    document.routes[0].services = {{"desk", 0}, {"desk", 0}};
    expect_fault("add up to 0");
}

TEST(Deployment, RefusesATimeoutOfNothing)
{
    document.routes[0].timeout = {};
    expect_fault("timeout is 0");
}
