#include "ctl_commands.h"

#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>

#include "siskindrift/config/catalog.h"
#include "siskindrift/config/questionnaire.h"
#include "siskindrift/config/schemas.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/idempotency_key.h"
#include "siskindrift/log/replica_store.h"

namespace siskindrift::apps {
namespace {

namespace json = boost::json;
using words = std::vector<std::string>;

struct session {
    const ctl_options& options;
    control_connection control;
};

exit_status fail(const std::string& text, exit_status status = exit_status::failed)
{
    std::cerr << text << "\n";
    return status;
}

std::string new_change_id()
{
    std::random_device device;
    const auto word = [&] { return static_cast<std::uint64_t>(device()) << 32 | device(); };
    return core::make_key(core::runtime_clock{}.wall_ms(), word(), word());
}

std::optional<json::value> read_document(const std::string& path)
{
    core::last_reason why;
    const auto text = config::read_file(path, why);
    auto document = text ? config::parse_json(*text, why) : std::nullopt;
    if (!document) {
        std::cerr << path << ": " << why.text() << "\n";
    }
    return document;
}

std::optional<wire::status_page_t> read_status(session& at)
{
    core::last_reason why;
    std::optional<wire::status_page_t> best;
    for (const auto& address : at.control.addresses()) {
        const auto reply =
            at.control.put_to(address, wire::make_control_request(wire::query_status_t{}), why);
        const auto* page = reply ? reply->body.Asstatus_page() : nullptr;
        if (page != nullptr && (!best || page->leader == page->replica ||
                                (best->leader != best->replica && page->term > best->term))) {
            best = *page;
        }
    }
    if (!best) {
        std::cerr << "no control replica answered: " << why.text() << "\n";
    }
    return best;
}

std::optional<wire::config_page_t> read_configuration(session& at)
{
    core::last_reason why;
    const auto reply = at.control.put(wire::make_control_request(wire::read_config_t{}), why);
    const auto* page = reply ? reply->body.Asconfig_page() : nullptr;
    if (page == nullptr) {
        std::cerr << "the configuration can't be read: " << why.text() << "\n";
        return std::nullopt;
    }
    return *page;
}

config::config_map map_of(const wire::config_page_t& page)
{
    config::config_map map;
    for (const auto& operation : page.operations) {
        map[operation->key] = operation->value;
    }
    return map;
}

exit_status report_change(const wire::control_reply_t& reply, const ctl_options& options)
{
    const auto* result = reply.body.Aschange_result();
    const auto revision = result == nullptr ? 0 : result->revision;
    const bool accepted = reply.outcome == wire::control_outcome::ok;
    const bool conflict = reply.outcome == wire::control_outcome::conflict;
    if (options.json) {
        std::cout << json::value{{"accepted", accepted},
                                 {"conflict", conflict},
                                 {"revision", revision},
                                 {"winner_change_id", result ? result->winner_change_id : ""},
                                 {"winner_operator", result ? result->winner_operator : ""},
                                 {"detail", reply.detail}}
                  << "\n";
    }
    else if (accepted) {
        std::cout << "accepted as revision " << revision << "\n";
    }
    else if (conflict) {
        std::cout << "conflict: the configuration is at revision " << revision << "; change "
                  << result->winner_change_id << " by " << result->winner_operator
                  << " came first\n";
    }
    else {
        std::cout << "refused: " << reply.detail << "\n";
    }
    return accepted ? exit_status::done : conflict ? exit_status::conflict : exit_status::failed;
}

exit_status apply(session& at, std::vector<wire::config_operation_t> operations,
                  std::uint64_t expected_revision)
{
    wire::apply_change_t change;
    change.change_id = at.options.change_id.empty() ? new_change_id() : at.options.change_id;
    change.operator_name = at.options.operator_name;
    change.expected_revision = expected_revision;
    for (auto& operation : operations) {
        wire::append(change.operations, std::move(operation));
    }
    core::last_reason why;
    const auto reply = at.control.put(wire::make_control_request(std::move(change)), why);
    if (!reply) {
        return fail("not known whether the change was accepted: " + why.text() +
                    "; repeat it with the same --change-id");
    }
    return report_change(*reply, at.options);
}

wire::config_operation_t put_operation(const std::string& key, const json::value& value)
{
    wire::config_operation_t operation;
    operation.key = key;
    operation.value = json::serialize(value);
    return operation;
}

// --- questionnaire ---

exit_status questionnaire_generate(const std::string& path, const ctl_options& options)
{
    const auto answers = read_document(path);
    if (!answers) {
        return exit_status::usage;
    }
    const auto faults = config::check_questionnaire(*answers);
    if (!faults.empty()) {
        return fail(config::describe(faults), exit_status::usage);
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
    const auto answers = read_document(path);
    if (!answers) {
        return exit_status::usage;
    }
    const auto faults = config::check_questionnaire(*answers);
    if (!faults.empty()) {
        return fail(config::describe(faults), exit_status::usage);
    }
    const auto page = read_configuration(at);
    if (!page) {
        return exit_status::failed;
    }
    auto operations = config::generate_configuration(*answers);
    operations.push_back(deployment_entry(map_of(*page), *answers));
    return apply(at, std::move(operations), page->revision);
}

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
        core::last_reason why;
        if (rest.size() < 3 || !config::parse_json(rest[2], why)) {
            return fail("a JSON object with the entry's fields is needed: " + why.text(),
                        exit_status::usage);
        }
        operation.value = rest[2];
    }
    return apply(at, {operation}, page->revision);
}

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
    core::last_reason why;
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

// --- status ---

json::value status_json(const wire::status_page_t& page)
{
    json::array members;
    for (std::size_t i = 0; i < page.members.size(); ++i) {
        const auto& info = *page.members[i];
        members.push_back({{"replica", info.id},
                           {"vm", info.vm},
                           {"address", info.address},
                           {"voter", info.voter},
                           {"match", page.match_indexes[i]},
                           {"leader", info.id == page.leader}});
    }
    json::array vms;
    for (const auto& vm : page.vms) {
        vms.push_back({{"vm", vm->vm},
                       {"incarnation", vm->incarnation},
                       {"caller_address", vm->caller_address},
                       {"failure_domain", vm->failure_domain},
                       {"draining", vm->draining},
                       {"revision", vm->config_revision}});
    }
    json::array owners;
    for (const auto& owned : page.ownerships) {
        owners.push_back(
            {{"upstream", owned->upstream}, {"vm", owned->vm}, {"fencing", owned->fencing}});
    }
    return {{"revision", page.revision},
            {"term", page.term},
            {"commit", page.commit},
            {"applied", page.applied},
            {"digest", page.digest},
            {"claims", page.claims},
            {"replica", page.replica},
            {"leader", page.leader},
            {"damaged", page.damaged},
            {"members", members},
            {"vms", vms},
            {"owners", owners}};
}

void print_status(const wire::status_page_t& page)
{
    std::cout << "revision " << page.revision << ", term " << page.term << ", committed "
              << page.commit << ", claims " << page.claims << "\n\nreplicas\n";
    for (std::size_t i = 0; i < page.members.size(); ++i) {
        const auto& info = *page.members[i];
        std::cout << "  " << std::left << std::setw(10) << info.vm << std::setw(22) << info.address
                  << (info.voter ? "voter  " : "learner") << " match " << page.match_indexes[i]
                  << (info.id == page.leader ? "  leader" : "") << "\n";
    }
    std::cout << "\nvms\n";
    for (const auto& vm : page.vms) {
        std::cout << "  " << std::left << std::setw(10) << vm->vm << std::setw(22)
                  << vm->caller_address << std::setw(16) << vm->failure_domain << "revision "
                  << vm->config_revision << (vm->draining ? "  draining" : "") << "\n";
    }
    std::cout << "\nupstreams\n";
    for (const auto& owned : page.ownerships) {
        std::cout << "  " << std::left << std::setw(20) << owned->upstream << "owner "
                  << std::setw(10) << (owned->vm.empty() ? "none" : owned->vm) << "fencing "
                  << owned->fencing << "\n";
    }
}

exit_status run_status(session& at, const words&)
{
    const auto page = read_status(at);
    if (!page) {
        return exit_status::failed;
    }
    if (at.options.json) {
        std::cout << json::serialize(status_json(*page)) << "\n";
    }
    else {
        print_status(*page);
    }
    return exit_status::done;
}

exit_status run_explain(session& at, const words& rest)
{
    if (rest.size() != 1) {
        return fail("usage: explain REQUEST-ID", exit_status::usage);
    }
    const auto page = read_status(at);
    if (!page) {
        return exit_status::failed;
    }
    wire::explain_query_t query;
    query.request_id = rest[0];
    bool found = false;
    for (const auto& vm : page->vms) {
        core::last_reason why;
        const auto answer = ask(vm->inner_address, wire::make_envelope(query), why);
        const auto* reply = answer ? answer->body.Asexplain_reply() : nullptr;
        if (reply == nullptr || reply->lines.empty()) {
            continue;
        }
        found = true;
        for (const auto& line : reply->lines) {
            std::cout << vm->vm << ": " << line << "\n";
        }
    }
    return found ? exit_status::done : fail("no VM remembers this request");
}

// A VM ends after its work; an upstream gets no new work until it is put back.
exit_status run_drain(session& at, const words& rest)
{
    const auto page = rest.size() == 1 ? read_status(at) : std::nullopt;
    if (!page) {
        return fail("usage: drain VM|UPSTREAM", exit_status::usage);
    }
    for (const auto& vm : page->vms) {
        if (vm->vm != rest[0]) {
            continue;
        }
        wire::drain_order_t order;
        order.token = at.options.token;
        core::last_reason why;
        const auto answer = ask(vm->inner_address, wire::make_envelope(order), why);
        const auto* reply = answer ? answer->body.Asexplain_reply() : nullptr;
        if (reply == nullptr || reply->lines.empty()) {
            return fail(reply == nullptr ? why.text() : "wrong operator token");
        }
        std::cout << rest[0] << " drains and then stops\n";
        return exit_status::done;
    }
    const auto config = read_configuration(at);
    if (!config) {
        return exit_status::failed;
    }
    const auto map = map_of(*config);
    const auto known = map.find("upstream/" + rest[0]);
    auto entry = known == map.end() ? json::object{{"fencing", "ignored"}}
                                    : json::parse(known->second).as_object();
    entry["drain"] = true;
    return apply(at, {put_operation("upstream/" + rest[0], entry)}, config->revision);
}

// --- control replicas ---

std::optional<wire::status_page_t> status_of(session& at, const std::string& address,
                                             core::last_reason& why)
{
    const auto reply =
        at.control.put_to(address, wire::make_control_request(wire::query_status_t{}), why);
    const auto* page = reply ? reply->body.Asstatus_page() : nullptr;
    return page == nullptr ? std::nullopt : std::optional{*page};
}

exit_status control_form(session& at, const words& rest)
{
    wire::form_cluster_t order;
    order.vm = rest[1];
    order.address = rest[2];
    core::last_reason why;
    const auto reply = at.control.put_to(rest[2], wire::make_control_request(order), why);
    if (!reply || reply->outcome != wire::control_outcome::ok) {
        return fail(reply ? reply->detail : why.text());
    }
    std::cout << "formed\n";
    return exit_status::done;
}

bool change_member(session& at, const wire::change_member_t& order, core::last_reason& why)
{
    const auto reply = at.control.put(wire::make_control_request(order), why);
    if (reply && reply->outcome != wire::control_outcome::ok) {
        why.set(reply->detail);
    }
    return reply && reply->outcome == wire::control_outcome::ok;
}

exit_status control_add(session& at, const std::string& vm, const std::string& address)
{
    core::last_reason why;
    const auto page = status_of(at, address, why);
    if (!page) {
        return fail(why.text());
    }
    if (page->cluster != 0) {
        return fail("the replica at " + address + " belongs to a cluster already");
    }
    wire::change_member_t order;
    order.id = page->replica;
    order.vm = vm;
    order.address = address;
    order.add = true;
    if (!change_member(at, order, why)) {
        return fail("can't add the learner: " + why.text());
    }
    order.voter = true; // refused, and tried again, until the learner has caught up
    if (!change_member(at, order, why)) {
        return fail("can't promote the learner: " + why.text());
    }
    std::cout << "replica " << order.id << " votes\n";
    return exit_status::done;
}

exit_status control_remove(session& at, std::uint64_t replica)
{
    wire::change_member_t order;
    order.id = replica;
    core::last_reason why;
    if (!change_member(at, order, why)) {
        return fail("can't remove the replica: " + why.text());
    }
    std::cout << "replica " << replica << " removed\n";
    return exit_status::done;
}

// The new replica votes before the lost one is removed, so that one more loss is survived
// at every step that has a quorum.
exit_status control_replace(session& at, const std::string& vm, const std::string& address)
{
    const auto page = read_status(at);
    if (!page) {
        return exit_status::failed;
    }
    std::uint64_t old = 0;
    for (const auto& info : page->members) {
        old = info->vm == vm && info->address == address ? info->id : old;
    }
    const auto added = control_add(at, vm, address);
    if (added != exit_status::done || old == 0) {
        return added;
    }
    return control_remove(at, old);
}

exit_status run_control(session& at, const words& rest)
{
    if (rest.size() == 3 && rest[0] == "form") {
        return control_form(at, rest);
    }
    if (rest.size() == 3 && rest[0] == "add") {
        return control_add(at, rest[1], rest[2]);
    }
    if (rest.size() == 3 && rest[0] == "replace") {
        return control_replace(at, rest[1], rest[2]);
    }
    if (rest.size() == 2 && rest[0] == "remove") {
        return control_remove(at, std::strtoull(rest[1].c_str(), nullptr, 10));
    }
    return fail("usage: control form VM ADDRESS | add VM ADDRESS | replace VM ADDRESS | "
                "remove REPLICA-ID",
                exit_status::usage);
}

exit_status run_log(session&, const words& rest)
{
    if (rest.size() != 2 || rest[0] != "inspect") {
        return fail("usage: log inspect DIR", exit_status::usage);
    }
    log::recovery_report report;
    const auto state = log::read_replica(rest[1], report);
    std::cout << "records " << report.records << "\nterm " << state.hard.term << "\nvoted for "
              << state.hard.voted_for << "\nsnapshot at "
              << (state.base ? state.base->last_index : 0) << "\nentries " << state.entries.size()
              << "\ntorn tail " << report.cut_bytes << " bytes\ndamage "
              << (report.damage.empty() ? "none" : report.damage) << "\n";
    return report.damage.empty() ? exit_status::done : exit_status::failed;
}

using command = std::function<exit_status(session&, const words&)>;

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> table{
        {"questionnaire", run_questionnaire},
        {"team", [](session& at, const words& rest) { return run_entries(at, "team/", rest); }},
        {"adapter",
         [](session& at, const words& rest) { return run_entries(at, "adapter/", rest); }},
        {"service",
         [](session& at, const words& rest) { return run_entries(at, "service/", rest); }},
        {"upstream",
         [](session& at, const words& rest) { return run_entries(at, "upstream/", rest); }},
        {"version", run_version},
        {"config", run_config},
        {"status", run_status},
        {"explain", run_explain},
        {"drain", run_drain},
        {"control", run_control},
        {"log", run_log}};
    return table;
}

} // namespace

std::string command_help()
{
    return R"(Commands
  questionnaire init | schema | check FILE | generate FILE | apply FILE
  team|adapter|service|upstream list | show NAME | create NAME JSON | change NAME JSON | retire NAME
  version list ADAPTER | create ADAPTER@VERSION | retire ADAPTER@VERSION
  config show | history | diff SINCE-REVISION | put FILE [EXPECTED-REVISION]
  status
  explain REQUEST-ID
  drain VM | UPSTREAM
  control form VM ADDRESS | add VM ADDRESS | replace VM ADDRESS | remove REPLICA-ID
  log inspect DIR

Exit status: 0 done, 1 refused or unreachable, 2 wrong command line or input, 3 conflict
)";
}

exit_status run_command(const std::vector<std::string>& given, const ctl_options& options)
{
    const auto found = given.empty() ? commands().end() : commands().find(given.front());
    if (found == commands().end()) {
        return fail(command_help(), exit_status::usage);
    }
    session at{options, control_connection{options.control, options.token}};
    return found->second(at, words{given.begin() + 1, given.end()});
}

} // namespace siskindrift::apps
