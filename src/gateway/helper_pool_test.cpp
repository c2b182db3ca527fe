#include "siskindrift/gateway/helper_pool.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(HelperPool)
{
    core::manual_clock clock;
    helper_pool pool{"own", "a", 1};
    std::vector<wire::gateway_info_t> gateways;

    void add(const std::string& vm, const std::string& domain)
    {
        wire::gateway_info_t info;
        info.vm = vm;
        info.failure_domain = domain;
        info.accepting = true;
        info.relay_address = vm + ":1";
        gateways.push_back(info);
        pool.set_gateways(gateways);
    }

    std::string choose(const std::set<std::string>& tried = {}, const std::string& service = "llm")
    {
        const auto chosen = pool.choose(service, tried, clock.now());
        return chosen ? chosen->vm : "";
    }
};

TEST(HelperPool, PrefersTheOwnFailureDomainAndSpreadsWhatItPassesOn)
{
    add("own", "a");
    add("near", "a");
    add("far", "b");
    STRCMP_EQUAL("near", choose().c_str());
    pool.record_sent("near");
    STRCMP_EQUAL("far", choose().c_str());
    pool.record_sent("far");
    STRCMP_EQUAL("near", choose().c_str());
    pool.record_ended("far");
    pool.record_sent("near");
    STRCMP_EQUAL("far", choose().c_str());
}

TEST(HelperPool, ChoosesNoGatewayThatCannotHelp)
{
    add("stopping", "a");
    gateways[0].accepting = false;
    add("cut", "a");
    gateways[1].upstreams_lost = true;
    add("old", "a");
    gateways[2].relay_address.clear();
    pool.set_gateways(gateways);
    STRCMP_EQUAL("", choose().c_str());
    add("good", "b");
    STRCMP_EQUAL("good", choose().c_str());
    STRCMP_EQUAL("", choose({"good"}).c_str());
}

TEST(HelperPool, AsksAGatewayThatFailedOrCannotReachAServiceOnlyLater)
{
    add("one", "a");
    pool.record_refusal("one", "llm", clock.now());
    STRCMP_EQUAL("", choose().c_str());
    STRCMP_EQUAL("one", choose({}, "desk").c_str());
    clock.advance(core::milliseconds{1000});
    STRCMP_EQUAL("one", choose().c_str());
    pool.record_failure("one", clock.now());
    STRCMP_EQUAL("", choose({}, "desk").c_str());
    clock.advance(core::milliseconds{2000});
    STRCMP_EQUAL("one", choose().c_str());
}

TEST(HelperPool, GivesARequestUpAfterAFewGateways)
{
    for (const auto* vm : {"b", "c", "d", "e"}) {
        add(vm, "a");
    }
    STRCMP_EQUAL("", choose({"b", "c", "d"}).c_str());
}
