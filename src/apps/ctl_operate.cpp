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

exit_status run_status(ctl_session& session, const argument_list&)
{
    const auto page = read_status(session);
    if (!page) {
        return exit_status::failed;
    }
    if (session.options.json) {
        std::cout << json::serialize(status_json(*page)) << "\n";
    }
    else {
        print_status(*page);
    }
    return exit_status::done;
}

exit_status run_explain(ctl_session& session, const argument_list& arguments)
{
    if (arguments.size() != 1) {
        return fail("usage: explain REQUEST-ID", exit_status::usage);
    }
    const auto page = read_status(session);
    if (!page) {
        return exit_status::failed;
    }
    wire::explain_query_t query;
    query.request_id = arguments[0];
    bool found = false;
    for (const auto& vm : page->vms) {
        core::error_message error;
        const auto response = send_request(vm->inner_address, wire::make_envelope(query), error);
        const auto* reply = response ? response->body.Asexplain_reply() : nullptr;
        if (reply == nullptr || reply->lines.empty()) {
            continue;
        }
        found = true;
        for (const auto& line : reply->lines) {
            std::cout << vm->vm << ": " << line << "\n";
        }
    }
    return found ? exit_status::done : fail("no VM has a trace of this request");
}

// A drained VM finishes its open requests and stops. A drained upstream gets no new requests until
// "drain" is removed from its configuration entry.
exit_status run_drain(ctl_session& session, const argument_list& arguments)
{
    const auto page = arguments.size() == 1 ? read_status(session) : std::nullopt;
    if (!page) {
        return fail("usage: drain VM|UPSTREAM", exit_status::usage);
    }
    for (const auto& vm : page->vms) {
        if (vm->vm != arguments[0]) {
            continue;
        }
        wire::drain_order_t order;
        order.token = session.options.token;
        core::error_message error;
        const auto response = send_request(vm->inner_address, wire::make_envelope(order), error);
        const auto* reply = response ? response->body.Asexplain_reply() : nullptr;
        if (reply == nullptr || reply->lines.empty()) {
            return fail(reply == nullptr ? error.text() : "wrong operator token");
        }
        std::cout << arguments[0] << " is draining and will then stop\n";
        return exit_status::done;
    }
    const auto config = read_configuration(session);
    if (!config) {
        return exit_status::failed;
    }
    const auto map = to_config_map(*config);
    const auto known = map.find("upstream/" + arguments[0]);
    auto entry = known == map.end() ? json::object{{"fencing", "ignored"}}
                                    : json::parse(known->second).as_object();
    entry["drain"] = true;
    return apply_change(session, {make_set_operation("upstream/" + arguments[0], entry)},
                        config->revision);
}

namespace {

// --- control replicas ---

std::optional<wire::status_page_t> query_status(ctl_session& session, const std::string& address,
                                                core::error_message& error)
{
    const auto reply =
        session.control.send_to(address, wire::make_control_request(wire::query_status_t{}), error);
    const auto* page = reply ? reply->body.Asstatus_page() : nullptr;
    return page == nullptr ? std::nullopt : std::optional{*page};
}

exit_status control_form(ctl_session& session, const argument_list& arguments)
{
    wire::form_cluster_t request;
    request.vm = arguments[1];
    request.address = arguments[2];
    core::error_message error;
    const auto reply =
        session.control.send_to(arguments[2], wire::make_control_request(request), error);
    if (!reply || reply->outcome != wire::control_outcome::ok) {
        return fail(reply ? reply->detail : error.text());
    }
    std::cout << "cluster formed\n";
    return exit_status::done;
}

bool change_member(ctl_session& session, const wire::change_member_t& request,
                   core::error_message& error)
{
    const auto reply = session.control.send_to_leader(wire::make_control_request(request), error);
    if (reply && reply->outcome != wire::control_outcome::ok) {
        error.set(reply->detail);
    }
    return reply && reply->outcome == wire::control_outcome::ok;
}

exit_status control_add(ctl_session& session, const std::string& vm, const std::string& address)
{
    core::error_message error;
    const auto page = query_status(session, address, error);
    if (!page) {
        return fail(error.text());
    }
    if (page->cluster != 0) {
        return fail("the replica at " + address + " already belongs to a cluster");
    }
    wire::change_member_t request;
    request.id = page->replica;
    request.vm = vm;
    request.address = address;
    request.add = true;
    if (!change_member(session, request, error)) {
        return fail("cannot add the learner: " + error.text());
    }
    request.voter = true; // refused, and retried, until the learner has caught up
    if (!change_member(session, request, error)) {
        return fail("cannot promote the learner: " + error.text());
    }
    std::cout << "replica " << request.id << " is a voter\n";
    return exit_status::done;
}

exit_status control_remove(ctl_session& session, std::uint64_t replica)
{
    wire::change_member_t request;
    request.id = replica;
    core::error_message error;
    if (!change_member(session, request, error)) {
        return fail("cannot remove the replica: " + error.text());
    }
    std::cout << "replica " << replica << " removed\n";
    return exit_status::done;
}

// Promotes the new replica to voter before the lost one is removed, so that the cluster survives
// one more loss at every step that has a quorum.
exit_status control_replace(ctl_session& session, const std::string& vm, const std::string& address)
{
    const auto page = read_status(session);
    if (!page) {
        return exit_status::failed;
    }
    std::uint64_t replaced_id = 0;
    for (const auto& info : page->members) {
        replaced_id = info->vm == vm && info->address == address ? info->id : replaced_id;
    }
    const auto added = control_add(session, vm, address);
    if (added != exit_status::done || replaced_id == 0) {
        return added;
    }
    return control_remove(session, replaced_id);
}

} // namespace

exit_status run_control(ctl_session& session, const argument_list& arguments)
{
    if (arguments.size() == 3 && arguments[0] == "form") {
        return control_form(session, arguments);
    }
    if (arguments.size() == 3 && arguments[0] == "add") {
        return control_add(session, arguments[1], arguments[2]);
    }
    if (arguments.size() == 3 && arguments[0] == "replace") {
        return control_replace(session, arguments[1], arguments[2]);
    }
    if (arguments.size() == 2 && arguments[0] == "remove") {
        return control_remove(session, std::strtoull(arguments[1].c_str(), nullptr, 10));
    }
    return fail("usage: control form VM ADDRESS | add VM ADDRESS | replace VM ADDRESS | "
                "remove REPLICA-ID",
                exit_status::usage);
}

} // namespace siskindrift::apps
