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
    const auto random_word = [&] { return static_cast<std::uint64_t>(device()) << 32 | device(); };
    return core::make_idempotency_key(core::boottime_clock{}.wall_ms(), random_word(),
                                      random_word());
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
                  << " was applied first\n";
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
    core::error_message error;
    const auto text = config::read_file(path, error);
    auto document = text ? config::parse_json(*text, error) : std::nullopt;
    if (!document) {
        std::cerr << path << ": " << error.text() << "\n";
    }
    return document;
}

std::optional<wire::status_page_t> read_status(ctl_session& session)
{
    core::error_message error;
    std::optional<wire::status_page_t> status;
    for (const auto& address : session.control.addresses()) {
        const auto reply = session.control.send_to(
            address, wire::make_control_request(wire::query_status_t{}), error);
        const auto* page = reply ? reply->body.Asstatus_page() : nullptr;
        if (page != nullptr && (!status || page->leader == page->replica ||
                                (status->leader != status->replica && page->term > status->term))) {
            status = *page;
        }
    }
    if (!status) {
        std::cerr << "no control replica answered: " << error.text() << "\n";
    }
    return status;
}

std::optional<wire::config_page_t> read_configuration(ctl_session& session)
{
    core::error_message error;
    const auto reply =
        session.control.send_to_leader(wire::make_control_request(wire::read_config_t{}), error);
    const auto* page = reply ? reply->body.Asconfig_page() : nullptr;
    if (page == nullptr) {
        std::cerr << "cannot read the configuration: " << error.text() << "\n";
        return std::nullopt;
    }
    return *page;
}

config::config_map to_config_map(const wire::config_page_t& page)
{
    config::config_map map;
    for (const auto& operation : page.operations) {
        map[operation->key] = operation->value;
    }
    return map;
}

exit_status apply_change(ctl_session& session, std::vector<wire::config_operation_t> operations,
                         std::uint64_t expected_revision)
{
    wire::apply_change_t change;
    change.change_id =
        session.options.change_id.empty() ? new_change_id() : session.options.change_id;
    change.operator_name = session.options.operator_name;
    change.expected_revision = expected_revision;
    for (auto& operation : operations) {
        wire::append(change.operations, std::move(operation));
    }
    core::error_message error;
    const auto reply =
        session.control.send_to_leader(wire::make_control_request(std::move(change)), error);
    if (!reply) {
        return fail("it is not known whether the change was accepted: " + error.text() +
                    "; repeat it with the same --change-id");
    }
    return report_change(*reply, session.options);
}

wire::config_operation_t make_set_operation(const std::string& key, const json::value& value)
{
    wire::config_operation_t operation;
    operation.key = key;
    operation.value = json::serialize(value);
    return operation;
}

} // namespace siskindrift::apps
