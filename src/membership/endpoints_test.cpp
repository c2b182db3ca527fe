#include "siskindrift/membership/endpoints.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::membership;

namespace {

std::map<std::string, wire::vm_info_t> seven_vms()
{
    std::map<std::string, wire::vm_info_t> vms;
    for (int i = 0; i < 7; ++i) {
        wire::vm_info_t vm;
        vm.vm = "vm-" + std::to_string(i);
        vm.caller_address = vm.vm + ":80";
        vm.failure_domain = i % 2 == 0 ? "near" : "far";
        vms[vm.vm] = vm;
    }
    return vms;
}

} // namespace

TEST_GROUP(Endpoints){};

TEST(Endpoints, ListsTheCallersFailureDomainFirst)
{
    auto vms = seven_vms();
    const auto list = ranked_endpoints(vms, "caller", "far");
    UNSIGNED_LONGS_EQUAL(7, list.size());
    for (std::size_t i = 0; i < 3; ++i) {
        STRCMP_EQUAL("far", vms[list[i].substr(0, 4)].failure_domain.c_str());
    }
}

TEST(Endpoints, OmitsDrainingVms)
{
    auto vms = seven_vms();
    vms["vm-3"].draining = true;
    for (const auto& address : ranked_endpoints(vms, "caller", "far")) {
        CHECK_FALSE(address == "vm-3:80");
    }
}

TEST(Endpoints, IsStableForACallerAndSpreadsCallers)
{
    const auto vms = seven_vms();
    CHECK_TRUE(ranked_endpoints(vms, "a", "") == ranked_endpoints(vms, "a", ""));
    std::set<std::string> first;
    for (int caller = 0; caller < 200; ++caller) {
        first.insert(ranked_endpoints(vms, std::to_string(caller), "").front());
    }
    UNSIGNED_LONGS_EQUAL(7, first.size());
}
