#include "siskindrift/config/settings.h"

#include <boost/json.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "siskindrift/config/schema.h"
#include "siskindrift/config/schemas.h"

namespace siskindrift::config {
namespace {

namespace json = boost::json;

std::optional<json::object> parse_validated(const std::string& text, std::string_view schema,
                                            core::error_message& why)
{
    auto document = parse_json(text, why);
    if (!document) {
        return std::nullopt;
    }
    const auto faults = validate_schema(schema, *document);
    if (!faults.empty()) {
        why.set(describe(faults));
        return std::nullopt;
    }
    return std::move(document->as_object());
}

void read(const json::object& from, std::string_view name, std::string& to)
{
    if (const auto* value = from.if_contains(name)) {
        to = value->as_string();
    }
}

template <class Number>
void read(const json::object& from, std::string_view name,
          Number& to) requires std::is_arithmetic_v<Number>
{
    if (const auto* value = from.if_contains(name)) {
        to = value->to_number<Number>();
    }
}

void read(const json::object& from, std::string_view name, core::duration& to)
{
    if (const auto* value = from.if_contains(name)) {
        to = core::milliseconds{value->to_number<std::int64_t>()};
    }
}

void read(const json::object& from, std::string_view name, std::vector<std::string>& to)
{
    if (const auto* value = from.if_contains(name)) {
        for (const auto& item : value->as_array()) {
            to.emplace_back(item.as_string());
        }
    }
}

void read_seconds(const json::object& from, std::string_view name, core::duration& to)
{
    if (const auto* value = from.if_contains(name)) {
        to = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>{value->to_number<double>()});
    }
}

void read_megabytes(const json::object& from, std::string_view name, std::uint64_t& to)
{
    constexpr double bytes_per_megabyte = 1024.0 * 1024;
    if (const auto* value = from.if_contains(name)) {
        to = static_cast<std::uint64_t>(value->to_number<double>() * bytes_per_megabyte);
    }
}

// All processes of a deployment use the same port for internal connections.
std::string inner_address_at(const std::string& address, const json::object& from)
{
    const auto port = from.at("inner_port").to_number<std::uint32_t>();
    return address.substr(0, address.find(':')) + ":" + std::to_string(port);
}

// Gateways take requests of each other on the port above that for messages.
std::string relay_address_at(const std::string& address, const json::object& from)
{
    const auto port = from.at("inner_port").to_number<std::uint32_t>() + 1;
    return address.substr(0, address.find(':')) + ":" + std::to_string(port);
}

std::vector<std::string> read_seeds(const json::object& from)
{
    std::vector<std::string> seeds;
    read(from, "seeds", seeds);
    for (auto& seed : seeds) {
        seed = inner_address_at(seed, from);
    }
    return seeds;
}

} // namespace

std::optional<gateway_settings> read_gateway_settings(const std::string& text,
                                                      core::error_message& why)
{
    const auto object = parse_validated(text, gateway_settings_schema, why);
    if (!object) {
        return std::nullopt;
    }
    gateway_settings settings;
    read(*object, "vm", settings.vm);
    read(*object, "failure_domain", settings.failure_domain);
    read(*object, "caller_address", settings.caller_address);
    read(*object, "readiness_address", settings.readiness_address);
    read(*object, "directory_address", settings.directory_address);
    settings.inner_address = inner_address_at(settings.caller_address, *object);
    settings.relay_address = relay_address_at(settings.caller_address, *object);
    read(*object, "source_address", settings.source_address);
    settings.seeds = read_seeds(*object);
    read(*object, "retry_ratio", settings.retry_ratio);
    read(*object, "retry_extra", settings.retry_extra);
    read_seconds(*object, "retry_window_s", settings.retry_window);
    read_seconds(*object, "stop_grace_s", settings.stop_grace);
    read(*object, "endpoints_ttl_s", settings.endpoints_ttl_s);
    read_megabytes(*object, "memory_mb", settings.memory_bytes);
    read(*object, "max_descriptors", settings.max_descriptors);
    read(*object, "announcement_ms", settings.announcement);
    read(*object, "metrics_address", settings.metrics_address);
    read(*object, "log_level", settings.log_level);
    return settings;
}

std::optional<coordinator_settings> read_coordinator_settings(const std::string& text,
                                                              core::error_message& why)
{
    const auto object = parse_validated(text, coordinator_settings_schema, why);
    if (!object) {
        return std::nullopt;
    }
    coordinator_settings settings;
    read(*object, "vm", settings.vm);
    read(*object, "failure_domain", settings.failure_domain);
    read(*object, "control_address", settings.control_address);
    std::string ip;
    read(*object, "ip", ip);
    settings.inner_address = inner_address_at(ip, *object);
    settings.seeds = read_seeds(*object);
    read(*object, "data_folder", settings.data_folder);
    if (const auto* first = object->if_contains("first_start")) {
        settings.first_start = first->as_bool();
    }
    read(*object, "losses_borne", settings.losses_borne);
    read_megabytes(*object, "memory_mb", settings.memory_bytes);
    read(*object, "max_descriptors", settings.max_descriptors);
    read_megabytes(*object, "disk_mb", settings.disk_bytes);
    if (const auto* checked = object->if_contains("upstreams_check_fences")) {
        settings.upstreams_check_fences = checked->as_bool();
    }
    read(*object, "order_lease_ms", settings.order_lease);
    read(*object, "announcement_ms", settings.announcement);
    read_seconds(*object, "retry_window_s", settings.retry_window);
    read(*object, "metrics_address", settings.metrics_address);
    read(*object, "log_level", settings.log_level);
    return settings;
}

std::optional<entry_settings> read_entry_settings(const std::string& text, core::error_message& why)
{
    const auto object = parse_validated(text, entry_settings_schema, why);
    if (!object) {
        return std::nullopt;
    }
    entry_settings settings;
    read(*object, "vm", settings.vm);
    read(*object, "failure_domain", settings.failure_domain);
    read(*object, "caller_address", settings.caller_address);
    read(*object, "inner_address", settings.inner_address);
    read(*object, "control", settings.control);
    read(*object, "data_folder", settings.data_folder);
    read(*object, "workers", settings.workers);
    read(*object, "endpoints_ttl_ms", settings.endpoints_ttl);
    read(*object, "config_bound_ms", settings.config_bound);
    read(*object, "max_connections", settings.max_connections);
    read_megabytes(*object, "memory_mb", settings.memory_bytes);
    read(*object, "max_descriptors", settings.max_descriptors);
    read(*object, "max_body_bytes", settings.max_body_bytes);
    read(*object, "header_timeout_ms", settings.header_timeout);
    read(*object, "idle_timeout_ms", settings.idle_timeout);
    read(*object, "operator_token_hashes", settings.operator_token_hashes);
    read(*object, "log_level", settings.log_level);
    if (settings.caller_address == settings.inner_address) {
        why.set(describe(
            {{"/inner_address", settings.inner_address, "must differ from /caller_address"}}));
        return std::nullopt;
    }
    return settings;
}

std::optional<control_settings> read_control_settings(const std::string& text,
                                                      core::error_message& why)
{
    const auto object = parse_validated(text, control_settings_schema, why);
    if (!object) {
        return std::nullopt;
    }
    control_settings settings;
    read(*object, "vm", settings.vm);
    read(*object, "address", settings.address);
    read(*object, "data_folder", settings.data_folder);
    read(*object, "operator_token_hashes", settings.operator_token_hashes);
    read(*object, "compact_after", settings.compact_after);
    read_megabytes(*object, "memory_mb", settings.memory_bytes);
    read(*object, "max_descriptors", settings.max_descriptors);
    read(*object, "log_level", settings.log_level);
    return settings;
}

std::optional<std::string> read_file(const std::string& path, core::error_message& why)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        why.set(path + ": " + std::strerror(errno));
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace siskindrift::config
