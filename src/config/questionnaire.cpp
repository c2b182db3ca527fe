#include "siskindrift/config/questionnaire.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "siskindrift/config/catalog.h"
#include "siskindrift/config/schemas.h"

namespace siskindrift::config {
namespace {

namespace json = boost::json;

constexpr double stall_weight_for_stalls = 0.8;
constexpr double stall_weight_for_batches = 0.2;
constexpr double ms_per_second = 1000.0;

wire::config_operation_t put_operation(std::string key, const json::value& value)
{
    wire::config_operation_t operation;
    operation.key = std::move(key);
    operation.value = json::serialize(value);
    return operation;
}

std::vector<schema_fault> duplicate_names(const json::array& names)
{
    std::vector<schema_fault> faults;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const std::string name{names[i].as_string()};
        if (!seen.insert(name).second) {
            faults.push_back(
                {"/adapters/names/" + std::to_string(i), name, "each adapter may be named once"});
        }
    }
    return faults;
}

json::value team_entry(const json::object& answers)
{
    json::array hashes;
    const auto& callers = answers.at("callers").as_object();
    for (const auto& key : callers.at("api_keys").as_array()) {
        hashes.emplace_back(sha256_hex(std::string_view{key.as_string()}));
    }
    const auto& priorities = answers.at("priorities").as_object();
    const auto& limits = answers.at("limits").as_object();
    const auto concurrent = limits.at("max_concurrent").to_number<std::uint32_t>();
    const auto* queued = limits.if_contains("max_queued");
    const auto* share = priorities.if_contains("share");
    const auto longest = limits.at("longest_answer_seconds").to_number<double>() * ms_per_second;
    return {{"key_hashes", hashes},
            {"requests_per_second", callers.at("peak_requests_per_second").to_number<double>()},
            {"max_concurrent", concurrent},
            {"max_queued", queued ? queued->to_number<std::uint32_t>() : 2 * concurrent},
            {"default_priority", priorities.at("default").to_number<std::uint32_t>()},
            {"highest_priority", priorities.at("highest").to_number<std::uint32_t>()},
            {"share", share ? share->to_number<double>() : 1.0},
            {"matters_more", answers.at("team").as_object().at("matters_more")},
            {"longest_answer_ms", static_cast<std::uint32_t>(longest)}};
}

} // namespace

std::vector<schema_fault> check_questionnaire(const json::value& answers)
{
    auto faults = validate_schema(questionnaire_schema, answers);
    if (!faults.empty()) {
        return faults;
    }
    const auto& root = answers.as_object();
    faults = duplicate_names(root.at("adapters").as_object().at("names").as_array());
    const auto& priorities = root.at("priorities").as_object();
    const auto default_priority = priorities.at("default").to_number<int>();
    const auto highest = priorities.at("highest").to_number<int>();
    if (default_priority > highest) {
        faults.push_back({"/priorities/default", std::to_string(default_priority),
                          "must not exceed /priorities/highest, " + std::to_string(highest)});
    }
    return faults;
}

std::vector<wire::config_operation_t> generate_configuration(const json::value& answers)
{
    const auto& root = answers.as_object();
    const auto& team = root.at("team").as_object();
    const std::string name{team.at("name").as_string()};
    std::vector<wire::config_operation_t> operations;
    operations.push_back(put_operation("team/" + name, team_entry(root)));
    const auto& adapters = root.at("adapters").as_object();
    const auto* first = adapters.if_contains("first_version");
    const json::value version = first ? *first : json::value{"1"};
    for (const auto& adapter : adapters.at("names").as_array()) {
        operations.push_back(put_operation("adapter/" + std::string{adapter.as_string()},
                                           {{"team", name},
                                            {"base_model", adapters.at("base_model")},
                                            {"versions", json::array{version}}}));
    }
    if (const auto* services = root.if_contains("services")) {
        for (const auto& service : services->as_array()) {
            const auto& item = service.as_object();
            operations.push_back(put_operation(
                "service/" + std::string{item.at("name").as_string()},
                {{"teams", json::array{name}}, {"repeatable", item.at("repeatable")}}));
        }
    }
    return operations;
}

double stall_weight(const json::value& answers)
{
    const auto& preference = answers.at("team").at("matters_more").as_string();
    return preference == "load_stalls" ? stall_weight_for_stalls : stall_weight_for_batches;
}

std::string sample_questionnaire()
{
    return R"({
  "team": {"name": "my-team", "matters_more": "load_stalls"},
  "callers": {"api_keys": ["replace-this-with-a-secret-key"], "peak_requests_per_second": 50},
  "adapters": {"base_model": "base-1", "names": ["first-adapter"], "first_version": "1"},
  "services": [{"name": "filing", "repeatable": false}],
  "priorities": {"default": 5, "highest": 9},
  "limits": {"max_concurrent": 200, "max_queued": 400, "longest_answer_seconds": 60}
}
)";
}

} // namespace siskindrift::config
