#include "ctl_session.h"

#include <iomanip>
#include <iostream>

namespace siskindrift::apps {

namespace json = boost::json;

namespace {

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

} // namespace

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
        core::error_message why;
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
        core::error_message why;
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

namespace {

// --- control replicas ---

std::optional<wire::status_page_t> status_of(session& at, const std::string& address,
                                             core::error_message& why)
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
    core::error_message why;
    const auto reply = at.control.put_to(rest[2], wire::make_control_request(order), why);
    if (!reply || reply->outcome != wire::control_outcome::ok) {
        return fail(reply ? reply->detail : why.text());
    }
    std::cout << "formed\n";
    return exit_status::done;
}

bool change_member(session& at, const wire::change_member_t& order, core::error_message& why)
{
    const auto reply = at.control.put(wire::make_control_request(order), why);
    if (reply && reply->outcome != wire::control_outcome::ok) {
        why.set(reply->detail);
    }
    return reply && reply->outcome == wire::control_outcome::ok;
}

exit_status control_add(session& at, const std::string& vm, const std::string& address)
{
    core::error_message why;
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
    core::error_message why;
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

} // namespace

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

} // namespace siskindrift::apps
