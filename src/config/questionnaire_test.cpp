#include "siskindrift/config/questionnaire.h"

#include <boost/json.hpp>

#include "siskindrift/config/catalog.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::config;

namespace {

boost::json::value sample()
{
    return boost::json::parse(sample_questionnaire());
}

} // namespace

TEST_GROUP(Questionnaire){};

TEST(Questionnaire, AcceptsItsOwnSample)
{
    STRCMP_EQUAL("", describe(check_questionnaire(sample())).c_str());
}

TEST(Questionnaire, ReportsAllFaultsWithTheirPointers)
{
    auto answers = sample();
    answers.as_object()["team"].as_object()["name"] = "Not A Name";
    answers.as_object()["priorities"].as_object()["default"] = 99;
    answers.as_object()["surprise"] = true;
    const auto text = describe(check_questionnaire(answers));
    CHECK_TRUE_TEXT(text.find("/team/name") != std::string::npos, text.c_str());
    CHECK_TRUE_TEXT(text.find("/priorities/default") != std::string::npos, text.c_str());
    CHECK_TRUE_TEXT(text.find("surprise") != std::string::npos, text.c_str());
    CHECK_TRUE_TEXT(text.find("Not A Name") != std::string::npos, text.c_str());
}

TEST(Questionnaire, ReportsContradictoryPriorities)
{
    auto answers = sample();
    answers.as_object()["priorities"].as_object()["highest"] = 2;
    const auto faults = check_questionnaire(answers);
    UNSIGNED_LONGS_EQUAL(1, faults.size());
    STRCMP_EQUAL("/priorities/default", faults.front().pointer.c_str());
}

TEST(Questionnaire, GeneratesValidEntries)
{
    for (const auto& operation : generate_configuration(sample())) {
        const auto fault = check_entry(operation.key, operation.value);
        CHECK_FALSE_TEXT(fault.has_value(), fault.value_or("").c_str());
    }
}

TEST(Questionnaire, NeverStoresAnApiKeyInTheConfiguration)
{
    for (const auto& operation : generate_configuration(sample())) {
        CHECK_TRUE(operation.value.find("replace-this-with-a-secret-key") == std::string::npos);
    }
}

TEST(Questionnaire, DerivesTheStallWeightFromThePreferenceOfTheTeam)
{
    auto answers = sample();
    const auto stalls = stall_weight(answers);
    answers.as_object()["team"].as_object()["matters_more"] = "batch_efficiency";
    CHECK_TRUE(stalls > stall_weight(answers));
}
