#include "siskindrift/state/control_state.h"

#include <rapidcheck.h>
#include <set>

#include "siskindrift/wire/frame.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::state;

namespace {

constexpr std::uint64_t day_ms = 24ULL * 3600 * 1000;

// Applies commands to a state as consecutive log entries.
class log_writer {
public:
    explicit log_writer(control_state& state) : m_state(state) {}

    template <class Body>
    wire::control_reply_t put(Body body, std::uint64_t stamp_ms = 1000)
    {
        const auto bytes = wire::encode_table(wire::make_control_request(std::move(body)));
        wire::log_entry_t entry;
        entry.index = ++m_index;
        entry.term = 1;
        entry.kind = wire::entry_kind::command;
        entry.stamp_ms = stamp_ms;
        entry.data.assign(bytes.begin(), bytes.end());
        return m_state.apply(entry);
    }

private:
    control_state& m_state;
    std::uint64_t m_index = 0;
};

wire::apply_change_t change(const std::string& id, std::uint64_t expected, const std::string& key,
                            const std::string& value)
{
    wire::apply_change_t command;
    command.change_id = id;
    command.operator_name = "operator of " + id;
    command.expected_revision = expected;
    wire::config_operation_t operation;
    operation.key = key;
    operation.value = value;
    operation.remove = value.empty();
    wire::append(command.operations, operation);
    return command;
}

wire::take_claim_t make_claim(const std::string& key, const std::string& request,
                              std::uint64_t key_time_ms, std::uint64_t body = 1)
{
    wire::take_claim_t command;
    command.team = "team";
    command.key = key;
    command.key_time_ms = key_time_ms;
    command.body_hash = body;
    command.request_id = request;
    return command;
}

wire::claim_state claim_state_of(const wire::control_reply_t& reply)
{
    return reply.body.Asclaim_result()->state;
}

} // namespace

TEST_GROUP(ControlState)
{
    control_state state;
    log_writer log{state};
};

TEST(ControlState, AnswersAResentChangeAsTheFirstTime)
{
    const auto first = log.put(change("a", 0, "k", "1"));
    log.put(change("b", 1, "k", "2"));
    const auto again = log.put(change("a", 0, "k", "1"));
    UNSIGNED_LONGS_EQUAL(first.body.Aschange_result()->revision,
                         again.body.Aschange_result()->revision);
    CHECK_TRUE(again.outcome == wire::control_outcome::ok);
    STRCMP_EQUAL("2", state.config().at("k").c_str());
}

TEST(ControlState, AnswersAResentChangeAsTheFirstTimeAfterASnapshot)
{
    log.put(change("a", 0, "k", "1"));
    control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    log_writer again{restored};
    CHECK_TRUE(again.put(change("a", 0, "k", "1")).outcome == wire::control_outcome::ok);
    UNSIGNED_LONGS_EQUAL(1, restored.revision());
}

TEST(ControlState, NamesTheWinnerOfARaceToTheLoser)
{
    log.put(change("winner", 0, "k", "1"));
    const auto lost = log.put(change("loser", 0, "k", "2"));
    CHECK_TRUE(lost.outcome == wire::control_outcome::conflict);
    STRCMP_EQUAL("winner", lost.body.Aschange_result()->winner_change_id.c_str());
    STRCMP_EQUAL("operator of winner", lost.body.Aschange_result()->winner_operator.c_str());
}

TEST(ControlState, GrantsAKeyToOneRequestOnly)
{
    CHECK_TRUE(claim_state_of(log.put(make_claim("key", "r1", 1000))) ==
               wire::claim_state::granted);
    CHECK_TRUE(claim_state_of(log.put(make_claim("key", "r2", 1000))) ==
               wire::claim_state::running);
    CHECK_TRUE(claim_state_of(log.put(make_claim("key", "r1", 1000))) ==
               wire::claim_state::granted);
}

TEST(ControlState, ReturnsTheOutcomeOfAFinishedCallToAResend)
{
    log.put(make_claim("key", "r1", 1000));
    wire::finish_claim_t finish;
    finish.team = "team";
    finish.key = "key";
    finish.request_id = "r1";
    finish.ran = true;
    finish.status = 201;
    finish.response = "filed";
    log.put(finish);
    const auto reply = log.put(make_claim("key", "r2", 1000));
    CHECK_TRUE(claim_state_of(reply) == wire::claim_state::finished);
    STRCMP_EQUAL("filed", reply.body.Asclaim_result()->response.c_str());
    UNSIGNED_LONGS_EQUAL(201, reply.body.Asclaim_result()->status);
}

TEST(ControlState, DoesNotReplayACallWhoseResponseIsTooLargeToKeep)
{
    log.put(make_claim("key", "r1", 1000));
    wire::finish_claim_t finish;
    finish.team = "team";
    finish.key = "key";
    finish.request_id = "r1";
    finish.ran = true;
    finish.status = 200;
    finish.response = std::string(state_limits{}.max_claim_response_bytes + 1, 'x');
    log.put(finish);
    const auto reply = log.put(make_claim("key", "r2", 1000));
    CHECK_TRUE(claim_state_of(reply) == wire::claim_state::finished);
    CHECK_FALSE(reply.body.Asclaim_result()->ran);
}

TEST(ControlState, RefusesAKeyThatWasUsedWithAnotherBody)
{
    log.put(make_claim("key", "r1", 1000, 1));
    CHECK_TRUE(claim_state_of(log.put(make_claim("key", "r2", 1000, 2))) ==
               wire::claim_state::body_mismatch);
}

TEST(ControlState, RefusesAnExpiredKeyRatherThanForgetIt)
{
    log.put(make_claim("key", "r1", 1000), 1000);
    const auto reply = log.put(make_claim("key", "r2", 1000), 1000 + 3 * day_ms);
    CHECK_TRUE(claim_state_of(reply) == wire::claim_state::key_expired);
    UNSIGNED_LONGS_EQUAL(0, state.claim_count());
}

TEST(ControlState, ReleasesAKeyOnlyForItsHolder)
{
    log.put(make_claim("key", "r1", 1000));
    wire::finish_claim_t release;
    release.team = "team";
    release.key = "key";
    release.request_id = "r2";
    release.release = true;
    CHECK_TRUE(log.put(release).outcome == wire::control_outcome::refused);
    release.request_id = "r1";
    log.put(release);
    CHECK_TRUE(claim_state_of(log.put(make_claim("key", "r3", 1000))) ==
               wire::claim_state::granted);
}

TEST(ControlState, RefusesANewIncarnationWhileTheOldSessionLasts)
{
    wire::register_vm_t vm;
    vm.vm = "vm-1";
    vm.incarnation = 1;
    CHECK_TRUE(log.put(vm).outcome == wire::control_outcome::ok);
    vm.incarnation = 2;
    CHECK_TRUE(log.put(vm).outcome == wire::control_outcome::refused);
    wire::expire_vm_t expire;
    expire.vm = "vm-1";
    expire.incarnation = 1;
    log.put(expire);
    CHECK_TRUE(log.put(vm).outcome == wire::control_outcome::ok);
}

TEST(ControlState, GivesEachOwnerALargerFencingNumber)
{
    wire::register_vm_t vm;
    vm.vm = "vm-1";
    vm.incarnation = 1;
    log.put(vm);
    wire::acquire_upstream_t command;
    command.upstream = "engine";
    command.vm = "vm-1";
    command.incarnation = 1;
    const auto first = log.put(command).body.Asownership_grant()->fencing;
    wire::release_upstream_t release;
    release.upstream = "engine";
    release.vm = "vm-1";
    release.incarnation = 1;
    release.fencing = first;
    log.put(release);
    CHECK_TRUE(log.put(command).body.Asownership_grant()->fencing > first);
}

TEST(ControlState, RefusesAnImageThatDoesNotVerify)
{
    log.put(change("a", 0, "k", "1"));
    CHECK_FALSE(state.restore("garbage"));
    UNSIGNED_LONGS_EQUAL(1, state.revision());
}

// Compares the state with a reference model on random streams of changes, and with a second state
// that is saved and restored in the middle of the stream.
TEST(ControlState, AgreesWithAMapAndAListOnAnyStreamOfChanges)
{
    const bool agreed = rc::check("changes agree with a reference model", [] {
        control_state tested;
        control_state replayed;
        log_writer first{tested};
        log_writer second{replayed};
        std::map<std::string, std::string> model_config;
        std::set<std::string> seen;
        std::uint64_t model_revision = 0;
        const auto count = *rc::gen::inRange(1, 60);
        for (int i = 0; i < count; ++i) {
            const auto id = "change-" + std::to_string(*rc::gen::inRange(0, 40));
            const auto key = "key-" + std::to_string(*rc::gen::inRange(0, 5));
            const auto expected = static_cast<std::uint64_t>(*rc::gen::inRange<int>(
                static_cast<int>(model_revision) - 1, static_cast<int>(model_revision) + 2));
            const auto value = *rc::gen::element<std::string>("", "x", "y");
            const auto reply = first.put(change(id, expected, key, value));
            if (i % 10 == 5) {
                RC_ASSERT(replayed.restore(replayed.save()));
            }
            second.put(change(id, expected, key, value));
            if (seen.insert(id).second && expected == model_revision) {
                ++model_revision;
                value.empty() ? static_cast<void>(model_config.erase(key))
                              : static_cast<void>(model_config[key] = value);
                RC_ASSERT(reply.outcome == wire::control_outcome::ok);
            }
        }
        RC_ASSERT(tested.revision() == model_revision);
        RC_ASSERT(tested.config() == model_config);
        RC_ASSERT(tested.save() == replayed.save());
    });
    CHECK_TRUE(agreed);
}

TEST_GROUP(ControlStateDocument)
{
    control_state state;
    std::uint64_t index = 0;

    template <class Body>
    wire::control_outcome apply(Body body)
    {
        wire::log_entry_t entry;
        entry.kind = wire::entry_kind::command;
        entry.index = ++index;
        const auto bytes = wire::encode_table(wire::make_control_request(std::move(body)));
        entry.data.assign(bytes.begin(), bytes.end());
        return state.apply(entry).outcome;
    }

    wire::control_outcome put(std::uint64_t version, const std::string& content)
    {
        wire::put_document_t command;
        command.version = version;
        command.content = content;
        return apply(command);
    }

    wire::control_outcome name(std::uint64_t version)
    {
        wire::name_adapter_version_t command;
        command.model = "m";
        command.adapter = "a";
        command.version = version;
        return apply(command);
    }
};

TEST(ControlStateDocument, TheHighestVersionWins)
{
    put(5, "five");
    CHECK_TRUE(put(3, "three") == wire::control_outcome::ok);
    STRCMP_EQUAL("five", state.current_document().content.c_str());
}

TEST(ControlStateDocument, OtherContentUnderTheVersionHeldChangesNothing)
{
    put(5, "five");
    put(5, "other");
    STRCMP_EQUAL("five", state.current_document().content.c_str());
}

TEST(ControlStateDocument, VersionsOfAdaptersOnlyGrow)
{
    name(4);
    name(2);
    LONGS_EQUAL(4, static_cast<long>(state.adapter_versions().at({"m", "a"})));
}

TEST(ControlStateDocument, SurvivesASnapshot)
{
    put(5, "five");
    name(4);
    control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    STRCMP_EQUAL("five", restored.current_document().content.c_str());
    LONGS_EQUAL(4, static_cast<long>(restored.adapter_versions().at({"m", "a"})));
}

TEST(ControlStateDocument, KeepsTheLimitsOfUpstreamsInASnapshot)
{
    wire::change_upstream_limits_t change;
    for (const auto* upstream : {"a", "b"}) {
        wire::upstream_limit_t item;
        item.upstream = upstream;
        item.born_ms = 7;
        item.per_s = 1.5;
        wire::append(change.set, std::move(item));
    }
    apply(change);
    change.set.clear();
    change.remove.push_back("b");
    apply(change);
    control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    const auto& limits = restored.current_upstream_limits();
    LONGS_EQUAL(2, limits.generation);
    LONGS_EQUAL(1, limits.entries.size());
    LONGS_EQUAL(7, limits.find("a")->born_ms);
    DOUBLES_EQUAL(1.5, limits.find("a")->rate.per_s, 0);
}

TEST(ControlStateDocument, KeepsTheSoftwareVersionsOfServicesInASnapshot)
{
    wire::change_software_versions_t change;
    for (const auto* version : {"v1", "v2"}) {
        wire::service_version_t item;
        item.service = "llm";
        item.version = version;
        wire::append(change.add, std::move(item));
    }
    apply(change);
    std::swap(change.add, change.remove);
    change.remove.pop_back();
    apply(change);
    control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    const service_versions left{{"llm", "v2"}};
    CHECK_TRUE(left == restored.software_versions());
}

// Guards against an upstream that comes back because a restart has forgotten its departure.
TEST_GROUP(ControlStateDeparture)
{
    control_state state;
    log_writer log{state};
};

TEST(ControlStateDeparture, KeepsDeparturesOverASnapshot)
{
    wire::record_departure_t command;
    command.upstream = "engine-1";
    command.born_ms = 500;
    log.put(command);
    command.gone = true;
    log.put(command);
    control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    const auto* left = restored.find_departure("engine-1", 500, 1000);
    CHECK_TRUE(left != nullptr && left->gone);
    CHECK_TRUE(restored.find_departure("engine-1", 400, 1000) == left);
    CHECK_TRUE(restored.find_departure("engine-1", 501, 1000) == nullptr); // a later run
}

TEST(ControlStateDeparture, KeepsTheDepartureOfTheLatestRun)
{
    wire::record_departure_t command;
    command.upstream = "engine-1";
    command.born_ms = 500;
    log.put(command);
    command.born_ms = 400;
    command.gone = true;
    log.put(command);
    UNSIGNED_LONGS_EQUAL(500, state.find_departure("engine-1", 0, 1000)->born_ms);
    CHECK_FALSE(state.find_departure("engine-1", 0, 1000)->gone);
}

TEST(ControlStateDeparture, ForgetsOldDepartures)
{
    wire::record_departure_t command;
    command.upstream = "engine-1";
    command.born_ms = 500;
    log.put(command, 1000);
    command.upstream = "engine-2";
    const auto later_ms = 1000 + state_limits{}.departure_lifetime_ms + 1;
    CHECK_TRUE(state.find_departure("engine-1", 0, later_ms) == nullptr);
    CHECK_TRUE(state.find_departure("engine-1", 0, later_ms - 1) != nullptr);
    log.put(command, later_ms);
    UNSIGNED_LONGS_EQUAL(1, state.departures().size());
}
