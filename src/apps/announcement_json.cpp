#include "announcement_json.h"

#include <boost/json.hpp>

#include "siskindrift/config/schema.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

std::optional<wire::announcement_t> read_announcement(const std::string& body)
{
    core::error_message ignored;
    const auto document = config::parse_json(body, ignored);
    if (!document || !document->is_object()) {
        return std::nullopt;
    }
    const auto& object = document->as_object();
    const auto text = [&](const char* name) {
        const auto* value = object.if_contains(name);
        return value != nullptr && value->is_string() ? std::string{value->as_string()} : "";
    };
    const auto number = [&](const char* name) {
        const auto* value = object.if_contains(name);
        boost::system::error_code error;
        const auto read = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
        return error ? 0 : read;
    };
    wire::announcement_t said;
    said.upstream = text("id");
    said.incarnation = number("incarnation");
    said.address = text("address");
    said.failure_domain = text("failure_domain");
    said.kind =
        text("kind") == "service" ? wire::upstream_kind::service : wire::upstream_kind::engine;
    said.service = text("service");
    said.base_model = text("base_model");
    said.slots = static_cast<std::uint32_t>(number("slots"));
    said.batch = static_cast<std::uint32_t>(number("batch"));
    said.sequence = number("sequence");
    said.state =
        text("state") == "leaving" ? wire::upstream_state::leaving : wire::upstream_state::serving;
    if (const auto* residents = object.if_contains("residents");
        residents != nullptr && residents->is_array()) {
        for (const auto& item : residents->as_array()) {
            const auto* resident = item.if_object();
            const auto* adapter = resident == nullptr ? nullptr : resident->if_contains("adapter");
            const auto* running = resident == nullptr ? nullptr : resident->if_contains("running");
            if (adapter == nullptr || !adapter->is_string()) {
                continue;
            }
            wire::resident_info_t info;
            info.adapter = adapter->as_string();
            boost::system::error_code error;
            info.running = running == nullptr ? 0 : running->to_number<std::uint32_t>(error);
            wire::append(said.residents, std::move(info));
        }
    }
    const bool valid = !said.upstream.empty() && net::parse_address(said.address).has_value();
    return valid ? std::optional{std::move(said)} : std::nullopt;
}

} // namespace siskindrift::apps
