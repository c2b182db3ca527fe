#include "siskindrift/config/settings.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::config;

namespace {

const std::string valid = R"({"vm":"vm-1","failure_domain":"a","caller_address":"127.0.0.1:1000",
  "inner_address":"127.0.0.1:1001","control":["127.0.0.1:1002"],"config_bound_ms":4000})";

std::string with(const std::string& from, const std::string& to)
{
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string fault_of(const std::string& text)
{
    core::error_message why;
    CHECK_FALSE(read_entry_settings(text, why).has_value());
    return why.text();
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsWhatTheFileSays)
{
    core::error_message why;
    const auto settings = read_entry_settings(valid, why);
    CHECK_TRUE_TEXT(settings.has_value(), why.text().c_str());
    STRCMP_EQUAL("vm-1", settings->vm.c_str());
    LONGS_EQUAL(4000, core::to_ms(settings->config_bound));
}

TEST(Settings, RefusesUnknownKeys)
{
    CHECK_TRUE(fault_of(with("\"vm\":", "\"vmm\":1,\"vm\":")).find("vmm") != std::string::npos);
}

TEST(Settings, RefusesWrongUnitsAndNamesThePlace)
{
    CHECK_TRUE(fault_of(with("4000", "\"4s\"")).find("/config_bound_ms") != std::string::npos);
}

TEST(Settings, RefusesClashingAddresses)
{
    CHECK_TRUE(fault_of(with("127.0.0.1:1001", "127.0.0.1:1000")).find("/inner_address") !=
               std::string::npos);
}

TEST(Settings, RefusesInvalidJson)
{
    CHECK_TRUE(fault_of("{").find("invalid JSON") != std::string::npos);
}

// Guards against a process that doesn't know what its platform allows it.
TEST(Settings, ReadsTheMemoryAndTheDiskOfACoordinator)
{
    core::error_message why;
    const auto settings = read_coordinator_settings(
        R"({"vm":"c","failure_domain":"a","ip":"127.0.0.1","control_address":"127.0.0.1:1",
        "seeds":["127.0.0.1:1"],"inner_port":2,"data_folder":"d","memory_mb":256,"disk_mb":128})",
        why);
    CHECK_TRUE_TEXT(settings.has_value(), why.text().c_str());
    UNSIGNED_LONGS_EQUAL(256UL * 1024 * 1024, settings->memory_bytes);
    UNSIGNED_LONGS_EQUAL(128UL * 1024 * 1024, settings->disk_bytes);
}
