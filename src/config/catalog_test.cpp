#include "siskindrift/config/catalog.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::config;

namespace {

wire::config_operation_t put(const std::string& key, const std::string& value)
{
    wire::config_operation_t operation;
    operation.key = key;
    operation.value = value;
    return operation;
}

} // namespace

TEST_GROUP(Catalog)
{
    catalog known;

    void setup() override
    {
        wire::config_page_t page;
        page.revision = 1;
        page.full = true;
        wire::append(page.operations,
                     put("team/a", R"({"key_hashes":[")" + sha256_hex("secret") + R"("]})"));
        wire::append(page.operations,
                     put("adapter/x", R"({"team":"a","base_model":"base","versions":["1","2"]})"));
        known.apply(page);
    }
};

TEST(Catalog, FindsATeamByTheHashOfItsKey)
{
    CHECK_TRUE(known.team_of_key(sha256_hex("secret")) == core::team_id{"a"});
    CHECK_FALSE(known.team_of_key(sha256_hex("guess")).has_value());
}

TEST(Catalog, AllowsOnlyVersionsThatExist)
{
    CHECK_TRUE(known.may_use(core::team_id{"a"}, core::adapter_version{"x@2"}));
    CHECK_FALSE(known.may_use(core::team_id{"a"}, core::adapter_version{"x@3"}));
    CHECK_FALSE(known.may_use(core::team_id{"a"}, core::adapter_version{"x"}));
}

TEST(Catalog, KeepsTeamsApart)
{
    CHECK_FALSE(known.may_use(core::team_id{"b"}, core::adapter_version{"x@1"}));
}

TEST(Catalog, AppliesChangesOnTopOfWhatItHas)
{
    wire::config_page_t page;
    page.revision = 2;
    wire::append(page.operations,
                 put("adapter/x", R"({"team":"a","base_model":"base","versions":["2"]})"));
    known.apply(page);
    CHECK_FALSE(known.may_use(core::team_id{"a"}, core::adapter_version{"x@1"}));
    CHECK_TRUE(known.team_of_key(sha256_hex("secret")).has_value());
    UNSIGNED_LONGS_EQUAL(2, known.revision().value());
}

TEST(Catalog, NamesWhatIsWrongWithAnEntry)
{
    CHECK_TRUE(
        check_entry("adapter/a@b", R"({"team":"a","base_model":"b","versions":[]})").has_value());
    CHECK_TRUE(check_entry("team/a", R"({"key_hashes":["short"]})").has_value());
    CHECK_TRUE(check_entry("deployment", R"({"policy":"other"})").has_value());
    CHECK_TRUE(check_entry("unheard-of/x", "{}").has_value());
    CHECK_TRUE(check_entry("upstream/x", R"({"fencing":"maybe"})").has_value());
    CHECK_FALSE(check_entry("upstream/x", R"({"fencing":"checked"})").has_value());
}

TEST(Catalog, GivesADrainedUpstreamNoNewWork)
{
    CHECK_FALSE(known.drained(core::upstream_id{"engine"}));
    wire::config_page_t page;
    page.revision = 2;
    wire::append(page.operations, put("upstream/engine", R"({"fencing":"checked","drain":true})"));
    known.apply(page);
    CHECK_TRUE(known.drained(core::upstream_id{"engine"}));
    CHECK_TRUE(known.checks_fencing(core::upstream_id{"engine"}));
}

TEST(Catalog, KnowsAnOperatorByTheHashOfTheToken)
{
    CHECK_TRUE(is_operator({sha256_hex("token")}, "token"));
    CHECK_FALSE(is_operator({sha256_hex("token")}, "guess"));
}
