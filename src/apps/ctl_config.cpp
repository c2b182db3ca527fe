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

// Returns the answers in a file, or prints an error and returns none.
std::optional<json::value> read_answers(const std::string& path)
{
    auto answers = read_document(path);
    if (!answers) {
        return std::nullopt;
    }
    const auto errors = config::check_questionnaire(*answers);
    if (!errors.empty()) {
        fail(config::describe(errors));
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
    const auto errors = config::check_questionnaire(*answers);
    if (options.json) {
        json::array list;
        for (const auto& error : errors) {
            list.push_back(
                {{"pointer", error.pointer}, {"found", error.found}, {"allowed", error.allowed}});
        }
        std::cout << json::serialize(list) << "\n";
    }
    else {
        std::cout << (errors.empty() ? "no errors\n" : config::describe(errors));
    }
    return errors.empty() ? exit_status::done : exit_status::usage;
}

// Sets the deployment's stall weight to the mean of the weights that its teams ask for.
wire::config_operation_t deployment_entry(const config::config_map& current,
                                          const json::value& answers)
{
    json::object deployment;
    if (const auto entry = current.find("deployment"); entry != current.end()) {
        deployment = json::parse(entry->second).as_object();
    }
    double weight = config::stall_weight(answers);
    double teams = 1.0;
    const auto own_key = "team/" + std::string{answers.at("team").at("name").as_string()};
    for (const auto& [key, value] : current) {
        if (!key.starts_with("team/") || key == own_key) {
            continue;
        }
        weight += config::stall_weight(json::value{{"team", json::parse(value)}});
        teams += 1.0;
    }
    deployment["stall_weight"] = weight / teams;
    return make_set_operation("deployment", deployment);
}

exit_status questionnaire_apply(ctl_session& session, const std::string& path)
{
    const auto answers = read_answers(path);
    if (!answers) {
        return exit_status::usage;
    }
    const auto page = read_configuration(session);
    if (!page) {
        return exit_status::failed;
    }
    auto operations = config::generate_configuration(*answers);
    operations.push_back(deployment_entry(to_config_map(*page), *answers));
    return apply_change(session, std::move(operations), page->revision);
}

} // namespace

exit_status run_questionnaire(ctl_session& session, const argument_list& arguments)
{
    if (arguments.size() == 1 && arguments[0] == "init") {
        std::cout << config::sample_questionnaire();
        return exit_status::done;
    }
    if (arguments.size() == 1 && arguments[0] == "schema") {
        std::cout << config::questionnaire_schema;
        return exit_status::done;
    }
    if (arguments.size() == 2 && arguments[0] == "check") {
        return questionnaire_check(arguments[1], session.options);
    }
    if (arguments.size() == 2 && arguments[0] == "generate") {
        return questionnaire_generate(arguments[1], session.options);
    }
    if (arguments.size() == 2 && arguments[0] == "apply") {
        return questionnaire_apply(session, arguments[1]);
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

exit_status list_or_show(ctl_session& session, const std::string& prefix,
                         const argument_list& arguments)
{
    const auto page = read_configuration(session);
    if (!page) {
        return exit_status::failed;
    }
    const auto map = to_config_map(*page);
    if (arguments[0] == "list") {
        print_entries(map, prefix, session.options.json);
        return exit_status::done;
    }
    const auto found = map.find(prefix + arguments[1]);
    if (found == map.end()) {
        return fail("no such entry: " + prefix + arguments[1]);
    }
    std::cout << found->second << "\n";
    return exit_status::done;
}

exit_status change_entry(ctl_session& session, const std::string& prefix,
                         const argument_list& arguments)
{
    const auto page = read_configuration(session);
    if (!page) {
        return exit_status::failed;
    }
    const auto key = prefix + arguments[1];
    const bool exists = to_config_map(*page).contains(key);
    if (exists != (arguments[0] != "create")) {
        return fail(exists ? key + " already exists" : "no such entry: " + key);
    }
    wire::config_operation_t operation;
    operation.key = key;
    if (arguments[0] == "retire") {
        operation.remove = true;
    }
    else {
        core::error_message error;
        if (arguments.size() < 3 || !config::parse_json(arguments[2], error)) {
            return fail("expected a JSON object with the fields of the entry: " + error.text(),
                        exit_status::usage);
        }
        operation.value = arguments[2];
    }
    return apply_change(session, {operation}, page->revision);
}

} // namespace

exit_status run_entries(ctl_session& session, const std::string& prefix,
                        const argument_list& arguments)
{
    if (arguments.size() == 1 && arguments[0] == "list") {
        return list_or_show(session, prefix, arguments);
    }
    if (arguments.size() == 2 && arguments[0] == "show") {
        return list_or_show(session, prefix, arguments);
    }
    const bool changes =
        arguments.size() >= 2 &&
        (arguments[0] == "create" || arguments[0] == "change" || arguments[0] == "retire");
    if (changes) {
        return change_entry(session, prefix, arguments);
    }
    return fail("usage: list | show NAME | create NAME JSON | change NAME JSON | retire NAME",
                exit_status::usage);
}

// The versions are stored in the entry of their adapter.
exit_status run_version(ctl_session& session, const argument_list& arguments)
{
    const auto page = read_configuration(session);
    const auto model = arguments.size() == 2 ? config::split_model(arguments[1]) : std::nullopt;
    if (!page) {
        return exit_status::failed;
    }
    const auto name = model ? model->first : arguments.size() == 2 ? arguments[1] : "";
    const auto map = to_config_map(*page);
    const auto found = map.find("adapter/" + name);
    if (found == map.end()) {
        return fail("usage: version list ADAPTER | create ADAPTER@VERSION | retire ADAPTER@VERSION",
                    exit_status::usage);
    }
    auto adapter = json::parse(found->second).as_object();
    auto& versions = adapter["versions"].as_array();
    if (arguments[0] == "list" || arguments[0] == "show") {
        std::cout << json::serialize(versions) << "\n";
        return exit_status::done;
    }
    if (!model || (arguments[0] != "create" && arguments[0] != "retire")) {
        return fail("the version must be given as ADAPTER@VERSION", exit_status::usage);
    }
    const json::value version{model->second};
    const auto position = std::find(versions.begin(), versions.end(), version);
    if ((arguments[0] == "create") == (position != versions.end())) {
        return fail(arguments[0] == "create" ? "the version already exists" : "no such version");
    }
    if (arguments[0] == "create") {
        versions.push_back(version);
    }
    else {
        versions.erase(position);
    }
    return apply_change(session, {make_set_operation(found->first, adapter)}, page->revision);
}

namespace {

// --- configuration ---

exit_status config_history(ctl_session& session)
{
    const auto page = read_status(session);
    if (!page) {
        return exit_status::failed;
    }
    json::array list;
    for (const auto& item : page->history) {
        json::array keys;
        for (const auto& key : item->keys) {
            keys.emplace_back(key);
        }
        if (session.options.json) {
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
    if (session.options.json) {
        std::cout << json::serialize(list) << "\n";
    }
    return exit_status::done;
}

exit_status config_diff(ctl_session& session, const std::string& since)
{
    wire::read_config_t query;
    query.since_revision = std::strtoull(since.c_str(), nullptr, 10);
    core::error_message error;
    const auto reply = session.control.send_to_leader(wire::make_control_request(query), error);
    const auto* page = reply ? reply->body.Asconfig_page() : nullptr;
    if (page == nullptr) {
        return fail(error.text());
    }
    for (const auto& operation : page->operations) {
        std::cout << (operation->remove ? "- " : "+ ") << operation->key << " " << operation->value
                  << "\n";
    }
    return exit_status::done;
}

exit_status config_put(ctl_session& session, const argument_list& arguments)
{
    const auto document = read_document(arguments[1]);
    const auto* list = document ? document->if_array() : nullptr;
    if (list == nullptr) {
        return fail("the file must contain a JSON array of {\"key\", \"value\"} objects",
                    exit_status::usage);
    }
    std::vector<wire::config_operation_t> operations;
    for (const auto& item : *list) {
        const auto* object = item.if_object();
        const auto* key = object == nullptr ? nullptr : object->if_contains("key");
        const auto* value = object == nullptr ? nullptr : object->if_contains("value");
        if (key == nullptr || !key->is_string()) {
            return fail("an item has no text \"key\"", exit_status::usage);
        }
        wire::config_operation_t operation;
        operation.key = key->as_string();
        operation.remove = value == nullptr;
        operation.value = value == nullptr ? "" : json::serialize(*value);
        operations.push_back(std::move(operation));
    }
    std::uint64_t revision = 0;
    if (arguments.size() == 3) {
        revision = std::strtoull(arguments[2].c_str(), nullptr, 10);
    }
    else {
        const auto page = read_configuration(session);
        if (!page) {
            return exit_status::failed;
        }
        revision = page->revision;
    }
    return apply_change(session, std::move(operations), revision);
}

} // namespace

exit_status run_config(ctl_session& session, const argument_list& arguments)
{
    if (arguments.size() == 1 && arguments[0] == "show") {
        const auto page = read_configuration(session);
        if (!page) {
            return exit_status::failed;
        }
        if (!session.options.json) {
            std::cout << "revision " << page->revision << "\n";
        }
        print_entries(to_config_map(*page), "", session.options.json);
        return exit_status::done;
    }
    if (arguments.size() == 1 && arguments[0] == "history") {
        return config_history(session);
    }
    if (arguments.size() == 2 && arguments[0] == "diff") {
        return config_diff(session, arguments[1]);
    }
    if ((arguments.size() == 2 || arguments.size() == 3) && arguments[0] == "put") {
        return config_put(session, arguments);
    }
    return fail("usage: config show | history | diff SINCE-REVISION | put FILE [EXPECTED-REVISION]",
                exit_status::usage);
}

} // namespace siskindrift::apps
