#include "ctl_session.h"

#include <iostream>
#include <random>

#include "siskindrift/config/schema.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/idempotency_key.h"

namespace siskindrift::apps {

namespace json = boost::json;

namespace {

std::string new_change_id()
{
    std::random_device device;
    const auto word = [&] { return static_cast<std::uint64_t>(device()) << 32 | device(); };
    return core::make_idempotency_key(core::boottime_clock{}.wall_ms(), word(), word());
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

} // namespace

exit_status fail(const std::string& text, exit_status status)
{
    std::cerr << text << "\n";
    return status;
}

std::optional<json::value> read_document(const std::string& path)
{
    core::error_message why;
    const auto text = config::read_file(path, why);
    auto document = text ? config::parse_json(*text, why) : std::nullopt;
    if (!document) {
        std::cerr << path << ": " << why.text() << "\n";
    }
    return document;
}

std::optional<wire::status_page_t> read_status(session& at)
{
    core::error_message why;
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
    core::error_message why;
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
    core::error_message why;
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

} // namespace siskindrift::apps
