#include "siskindrift/control/software_version_manager.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

TEST_GROUP(SoftwareVersionManager)
{
    core::manual_clock clock;
    fleet::software_history history;
    software_version_manager manager;
    state::service_versions replicated;

    void setup() override
    {
        clock.advance(core::milliseconds{500'000});
        history.on_contact(clock.now() - core::milliseconds{60'000}, clock.now());
    }

    // Applies the next change. Returns how many versions it adds and removes, as "+1-0".
    std::string change()
    {
        clock.advance(core::milliseconds{100});
        const auto proposed = manager.next_change(replicated, history, clock.now());
        if (!proposed) {
            return "+0-0";
        }
        for (const auto& item : proposed->add) {
            replicated.emplace(item->service, item->version);
        }
        for (const auto& item : proposed->remove) {
            replicated.erase({item->service, item->version});
        }
        return "+" + std::to_string(proposed->add.size()) + "-" +
               std::to_string(proposed->remove.size());
    }

    wire::stream_origin_answer_t answer() const
    {
        wire::stream_origin_answer_t made;
        complete_origin_answer(made, "llm", replicated);
        return made;
    }
};

TEST(SoftwareVersionManager, AddsAVersionOnceAndRemovesItWhenNoStreamOfItCanLast)
{
    history.record("llm", "v1", clock.now());
    STRCMP_EQUAL("+1-0", change().c_str());
    STRCMP_EQUAL("+0-0", change().c_str());
    clock.advance(core::milliseconds{121'000});
    history.record("llm", "v2", clock.now());
    STRCMP_EQUAL("+1-1", change().c_str());
    const state::service_versions left{{"llm", "v2"}};
    CHECK_TRUE(left == replicated);
}

TEST(SoftwareVersionManager, RemovesNothingBeforeItHasListenedLongEnough)
{
    replicated.emplace("llm", "v1");
    history.record("llm", "v2", clock.now());
    STRCMP_EQUAL("+1-0", change().c_str());
    clock.advance(core::milliseconds{50'000});
    STRCMP_EQUAL("+0-0", change().c_str());
}

TEST(SoftwareVersionManager, AnswersFromTheReplicatedStateWhereItsOwnHistoryIsTooShort)
{
    CHECK_TRUE(wire::version_count::unsure == answer().count);
    replicated.emplace("desk", "v7");
    replicated.emplace("llm", "v1");
    CHECK_TRUE(wire::version_count::one == answer().count);
    STRCMP_EQUAL("v1", answer().only_version.c_str());
    replicated.emplace("llm", "v2");
    CHECK_TRUE(wire::version_count::several == answer().count);
}

TEST(SoftwareVersionManager, StaysUnsureWhereUpstreamsNameNoVersion)
{
    replicated.emplace("llm", "");
    CHECK_TRUE(wire::version_count::unsure == answer().count);
}
