#include "ctl_session.h"

#include <fstream>
#include <iomanip>
#include <iostream>

#include "siskindrift/config/questionnaire.h"
#include "siskindrift/config/schemas.h"
#include "siskindrift/config/settings.h"

namespace siskindrift::apps {

namespace json = boost::json;

namespace {

// --- questionnaire ---

// Returns the answers in a file; prints what is wrong with them.
std::optional<json::value> read_answers(const std::string& path)
{
    auto answers = read_document(path);
    if (!answers) {
        return std::nullopt;
    }
    const auto faults = config::check_questionnaire(*answers);
    if (!faults.empty()) {
        fail(config::describe(faults));
        return std::nullopt;
    }
    return answers;
}

exit_status questionnaire_generate(const std::string& path, const ctl_options& options)
{
    const auto answers = read_answers(path);
    if (!answers) {
        return exit_status::usage;
    }
    json::array list;
    for (const auto& operation : config::generate_configuration(*answers)) {
        list.push_back({{"key", operation.key}, {"value", json::parse(operation.value)}});
    }
    (void)options;
    std::cout << json::serialize(list) << "\n";
    return exit_status::done;
}

exit_status questionnaire_check(const std::string& path, const ctl_options& options)
{
    const auto answers = read_document(path);
    if (!answers) {
        return exit_status::usage;
    }
    const auto faults = config::check_questionnaire(*answers);
    if (options.json) {
        json::array list;
        for (const auto& fault : faults) {
            list.push_back(
                {{"pointer", fault.pointer}, {"found", fault.found}, {"allowed", fault.allowed}});
        }
        std::cout << json::serialize(list) << "\n";
    }
    else {
        std::cout << (faults.empty() ? "no faults\n" : config::describe(faults));
    }
    return faults.empty() ? exit_status::done : exit_status::usage;
}

// The deployment's weight moves to what its teams ask for, by their number.
wire::config_operation_t deployment_entry(const config::config_map& current,
                                          const json::value& answers)
{
    json::object deployment;
    if (const auto known = current.find("deployment"); known != current.end()) {
        deployment = json::parse(known->second).as_object();
    }
    double weight = config::stall_weight(answers);
    double teams = 1.0;
    const auto own = "team/" + std::string{answers.at("team").at("name").as_string()};
    for (const auto& [key, value] : current) {
        if (!key.starts_with("team/") || key == own) {
            continue;
        }
        weight += config::stall_weight(json::value{{"team", json::parse(value)}});
        teams += 1.0;
    }
    deployment["stall_weight"] = weight / teams;
    return put_operation("deployment", deployment);
}

exit_status questionnaire_apply(session& at, const std::string& path)
{
    const auto answers = read_answers(path);
    if (!answers) {
        return exit_status::usage;
    }
    const auto page = read_configuration(at);
    if (!page) {
        return exit_status::failed;
    }
    auto operations = config::generate_configuration(*answers);
    operations.push_back(deployment_entry(map_of(*page), *answers));
    return apply(at, std::move(operations), page->revision);
}

} // namespace

exit_status run_questionnaire(session& at, const words& rest)
{
    if (rest.size() == 1 && rest[0] == "init") {
        std::cout << config::sample_questionnaire();
        return exit_status::done;
    }
    if (rest.size() == 1 && rest[0] == "schema") {
        std::cout << config::questionnaire_schema;
        return exit_status::done;
    }
    if (rest.size() == 2 && rest[0] == "check") {
        return questionnaire_check(rest[1], at.options);
    }
    if (rest.size() == 2 && rest[0] == "generate") {
        return questionnaire_generate(rest[1], at.options);
    }
    if (rest.size() == 2 && rest[0] == "apply") {
        return questionnaire_apply(at, rest[1]);
    }
    return fail("usage: questionnaire init|schema|check FILE|generate FILE|apply FILE",
                exit_status::usage);
}

namespace {

// --- teams, adapters, versions ---

void print_entries(const config::config_map& map, const std::string& prefix, bool as_json)
{
    json::array list;
    for (const auto& [key, value] : map) {
        if (!key.starts_with(prefix)) {
            continue;
        }
        const auto name = key.substr(prefix.size());
        if (as_json) {
            list.push_back({{"name", name}, {"value", json::parse(value)}});
        }
        else {
            std::cout << std::left << std::setw(32) << name << " " << value << "\n";
        }
    }
    if (as_json) {
        std::cout << json::serialize(list) << "\n";
    }
}

exit_status list_or_show(session& at, const std::string& prefix, const words& rest)
{
    const auto page = read_configuration(at);
    if (!page) {
        return exit_status::failed;
    }
    const auto map = map_of(*page);
    if (rest[0] == "list") {
        print_entries(map, prefix, at.options.json);
        return exit_status::done;
    }
    const auto found = map.find(prefix + rest[1]);
    if (found == map.end()) {
        return fail("no such entry: " + prefix + rest[1]);
    }
    std::cout << found->second << "\n";
    return exit_status::done;
}

exit_status change_entry(session& at, const std::string& prefix, const words& rest)
{
    const auto page = read_configuration(at);
    if (!page) {
        return exit_status::failed;
    }
    const auto key = prefix + rest[1];
    const bool exists = map_of(*page).contains(key);
    if (exists != (rest[0] != "create")) {
        return fail(exists ? key + " exists already" : "no such entry: " + key);
    }
    wire::config_operation_t operation;
    operation.key = key;
    if (rest[0] == "retire") {
        operation.remove = true;
    }
    else {
        core::error_message why;
        if (rest.size() < 3 || !config::parse_json(rest[2], why)) {
            return fail("a JSON object with the entry's fields is needed: " + why.text(),
                        exit_status::usage);
        }
        operation.value = rest[2];
    }
    return apply(at, {operation}, page->revision);
}

} // namespace

exit_status run_entries(session& at, const std::string& prefix, const words& rest)
{
    if (rest.size() == 1 && rest[0] == "list") {
        return list_or_show(at, prefix, rest);
    }
    if (rest.size() == 2 && rest[0] == "show") {
        return list_or_show(at, prefix, rest);
    }
    const bool changes =
        rest.size() >= 2 && (rest[0] == "create" || rest[0] == "change" || rest[0] == "retire");
    if (changes) {
        return change_entry(at, prefix, rest);
    }
    return fail("usage: list | show NAME | create NAME JSON | change NAME JSON | retire NAME",
                exit_status::usage);
}

// Versions are part of their adapter's entry.
exit_status run_version(session& at, const words& rest)
{
    const auto page = read_configuration(at);
    const auto model = rest.size() == 2 ? config::split_model(rest[1]) : std::nullopt;
    if (!page) {
        return exit_status::failed;
    }
    const auto name = model ? model->first : rest.size() == 2 ? rest[1] : "";
    const auto map = map_of(*page);
    const auto found = map.find("adapter/" + name);
    if (found == map.end()) {
        return fail("usage: version list ADAPTER | create ADAPTER@VERSION | retire ADAPTER@VERSION",
                    exit_status::usage);
    }
    auto adapter = json::parse(found->second).as_object();
    auto& versions = adapter["versions"].as_array();
    if (rest[0] == "list" || rest[0] == "show") {
        std::cout << json::serialize(versions) << "\n";
        return exit_status::done;
    }
    if (!model || (rest[0] != "create" && rest[0] != "retire")) {
        return fail("name the version as ADAPTER@VERSION", exit_status::usage);
    }
    const json::value version{model->second};
    const auto at_version = std::find(versions.begin(), versions.end(), version);
    if ((rest[0] == "create") == (at_version != versions.end())) {
        return fail(rest[0] == "create" ? "the version exists already" : "no such version");
    }
    if (rest[0] == "create") {
        versions.push_back(version);
    }
    else {
        versions.erase(at_version);
    }
    return apply(at, {put_operation(found->first, adapter)}, page->revision);
}

namespace {

// --- configuration ---

exit_status config_history(session& at)
{
    const auto page = read_status(at);
    if (!page) {
        return exit_status::failed;
    }
    json::array list;
    for (const auto& item : page->history) {
        json::array keys;
        for (const auto& key : item->keys) {
            keys.emplace_back(key);
        }
        if (at.options.json) {
            list.push_back({{"revision", item->revision},
                            {"change_id", item->change_id},
                            {"operator", item->operator_name},
                            {"keys", keys}});
        }
        else {
            std::cout << std::setw(8) << item->revision << "  " << item->change_id << "  "
                      << item->operator_name << "  " << item->keys.size() << " keys\n";
        }
    }
    if (at.options.json) {
        std::cout << json::serialize(list) << "\n";
    }
    return exit_status::done;
}

exit_status config_diff(session& at, const std::string& since)
{
    wire::read_config_t query;
    query.since_revision = std::strtoull(since.c_str(), nullptr, 10);
    core::error_message why;
    const auto reply = at.control.put(wire::make_control_request(query), why);
    const auto* page = reply ? reply->body.Asconfig_page() : nullptr;
    if (page == nullptr) {
        return fail(why.text());
    }
    for (const auto& operation : page->operations) {
        std::cout << (operation->remove ? "- " : "+ ") << operation->key << " " << operation->value
                  << "\n";
    }
    return exit_status::done;
}

exit_status config_put(session& at, const words& rest)
{
    const auto document = read_document(rest[1]);
    const auto* list = document ? document->if_array() : nullptr;
    if (list == nullptr) {
        return fail("the file must hold a list of {\"key\", \"value\"}", exit_status::usage);
    }
    std::vector<wire::config_operation_t> operations;
    for (const auto& item : *list) {
        const auto* object = item.if_object();
        const auto* key = object == nullptr ? nullptr : object->if_contains("key");
        const auto* value = object == nullptr ? nullptr : object->if_contains("value");
        if (key == nullptr || !key->is_string()) {
            return fail("an item has no key", exit_status::usage);
        }
        wire::config_operation_t operation;
        operation.key = key->as_string();
        operation.remove = value == nullptr;
        operation.value = value == nullptr ? "" : json::serialize(*value);
        operations.push_back(std::move(operation));
    }
    std::uint64_t revision = 0;
    if (rest.size() == 3) {
        revision = std::strtoull(rest[2].c_str(), nullptr, 10);
    }
    else {
        const auto page = read_configuration(at);
        if (!page) {
            return exit_status::failed;
        }
        revision = page->revision;
    }
    return apply(at, std::move(operations), revision);
}

} // namespace

exit_status run_config(session& at, const words& rest)
{
    if (rest.size() == 1 && rest[0] == "show") {
        const auto page = read_configuration(at);
        if (!page) {
            return exit_status::failed;
        }
        if (!at.options.json) {
            std::cout << "revision " << page->revision << "\n";
        }
        print_entries(map_of(*page), "", at.options.json);
        return exit_status::done;
    }
    if (rest.size() == 1 && rest[0] == "history") {
        return config_history(at);
    }
    if (rest.size() == 2 && rest[0] == "diff") {
        return config_diff(at, rest[1]);
    }
    if ((rest.size() == 2 || rest.size() == 3) && rest[0] == "put") {
        return config_put(at, rest);
    }
    return fail("usage: config show | history | diff SINCE-REVISION | put FILE [EXPECTED-REVISION]",
                exit_status::usage);
}

} // namespace siskindrift::apps
