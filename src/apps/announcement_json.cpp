#include "announcement_json.h"

#include <boost/json.hpp>

#include "siskindrift/config/schema.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

std::optional<wire::announcement_t> read_announcement(const std::string& body)
{
    core::error_message unused_error;
    const auto document = config::parse_json(body, unused_error);
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
        const auto result = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
        return error ? 0 : result;
    };
    wire::announcement_t announcement;
    announcement.upstream = text("id");
    announcement.incarnation = number("incarnation");
    announcement.address = text("address");
    announcement.failure_domain = text("failure_domain");
    announcement.kind =
        text("kind") == "service" ? wire::upstream_kind::service : wire::upstream_kind::engine;
    announcement.service = text("service");
    announcement.base_model = text("base_model");
    announcement.slots = static_cast<std::uint32_t>(number("slots"));
    announcement.batch = static_cast<std::uint32_t>(number("batch"));
    announcement.sequence = number("sequence");
    announcement.state =
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
            wire::append(announcement.residents, std::move(info));
        }
    }
    const bool valid =
        !announcement.upstream.empty() && net::parse_address(announcement.address).has_value();
    return valid ? std::optional{std::move(announcement)} : std::nullopt;
}

} // namespace siskindrift::apps
