#include "siskindrift/config/catalog.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace siskindrift::config {
namespace {

namespace json = boost::json;

constexpr std::string_view team_prefix = "team/";
constexpr std::string_view adapter_prefix = "adapter/";
constexpr std::string_view service_prefix = "service/";
constexpr std::string_view upstream_prefix = "upstream/";
constexpr std::string_view deployment_key = "deployment";

std::optional<std::string> name_after(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size()) {
        return std::nullopt;
    }
    return std::string{key.substr(prefix.size())};
}

template <class Number>
void read_number(const json::object& from, std::string_view name, Number& to)
{
    if (const auto* value = from.if_contains(name); value != nullptr && value->is_number()) {
        boost::system::error_code ignored;
        const auto number = value->to_number<Number>(ignored);
        to = ignored ? to : number;
    }
}

std::string read_string(const json::object& from, std::string_view name)
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : "";
}

bool read_flag(const json::object& from, std::string_view name)
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_bool() && value->as_bool();
}

std::vector<std::string> read_strings(const json::object& from, std::string_view name)
{
    std::vector<std::string> strings;
    const auto* value = from.if_contains(name);
    if (value == nullptr || !value->is_array()) {
        return strings;
    }
    for (const auto& item : value->as_array()) {
        if (item.is_string()) {
            strings.emplace_back(item.as_string());
        }
    }
    return strings;
}

std::optional<json::object> parse_object(const std::string& text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

team_config read_team(const json::object& from)
{
    team_config team;
    team.key_hashes = read_strings(from, "key_hashes");
    read_number(from, "requests_per_second", team.requests_per_second);
    read_number(from, "max_concurrent", team.max_concurrent);
    read_number(from, "max_queued", team.max_queued);
    read_number(from, "default_priority", team.default_priority);
    read_number(from, "highest_priority", team.highest_priority);
    read_number(from, "share", team.share);
    read_number(from, "longest_answer_ms", team.longest_answer_ms);
    return team;
}

adapter_config read_adapter(const json::object& from)
{
    adapter_config adapter;
    adapter.team = core::team_id{read_string(from, "team")};
    adapter.base_model = read_string(from, "base_model");
    adapter.versions = read_strings(from, "versions");
    return adapter;
}

service_config read_service(const json::object& from)
{
    service_config service;
    service.teams = read_strings(from, "teams");
    service.repeatable = read_flag(from, "repeatable");
    return service;
}

deployment_config read_deployment(const json::object& from)
{
    deployment_config deployment;
    if (const auto policy = read_string(from, "policy"); !policy.empty()) {
        deployment.policy = policy;
    }
    read_number(from, "stall_weight", deployment.stall_weight);
    read_number(from, "loads_per_second", deployment.loads_per_second);
    return deployment;
}

std::optional<std::string> check_team(const json::object& team)
{
    if (read_strings(team, "key_hashes").empty()) {
        return "key_hashes must list at least one SHA-256";
    }
    for (const auto& hash : read_strings(team, "key_hashes")) {
        constexpr std::size_t sha256_digits = 64;
        if (hash.size() != sha256_digits) {
            return "key_hashes must hold SHA-256 in hex";
        }
    }
    if (const auto read = read_team(team); read.share <= 0.0 || read.requests_per_second <= 0.0) {
        return "share and requests_per_second must be positive";
    }
    return std::nullopt;
}

std::optional<std::string> check_adapter(const std::string& name, const json::object& adapter)
{
    if (name.find('@') != std::string::npos) {
        return "an adapter's name must not contain '@'";
    }
    if (read_string(adapter, "team").empty() || read_string(adapter, "base_model").empty()) {
        return "team and base_model must be texts";
    }
    const auto versions = read_strings(adapter, "versions");
    for (const auto& version : versions) {
        if (version.empty() || version.find('@') != std::string::npos) {
            return "versions must be texts without '@'";
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::pair<std::string, std::string>> split_model(std::string_view model)
{
    const auto at = model.find('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == model.size() ||
        model.find('@', at + 1) != std::string_view::npos) {
        return std::nullopt;
    }
    return std::pair{std::string{model.substr(0, at)}, std::string{model.substr(at + 1)}};
}

std::optional<double> loads_per_second(const config_map& config)
{
    const auto found = config.find(std::string{deployment_key});
    if (found == config.end()) {
        return std::nullopt;
    }
    const auto object = parse_object(found->second);
    return object ? std::optional{read_deployment(*object).loads_per_second} : std::nullopt;
}

std::optional<std::string> check_entry(const std::string& key, const std::string& value)
{
    const auto object = parse_object(value);
    if (!object) {
        return key + ": the value is not a JSON object";
    }
    std::optional<std::string> fault;
    if (name_after(team_prefix, key)) {
        fault = check_team(*object);
    }
    else if (const auto adapter = name_after(adapter_prefix, key)) {
        fault = check_adapter(*adapter, *object);
    }
    else if (name_after(upstream_prefix, key)) {
        const auto fencing = read_string(*object, "fencing");
        if (fencing != "checked" && fencing != "ignored") {
            fault = "fencing must be \"checked\" or \"ignored\"";
        }
    }
    else if (key == deployment_key) {
        const auto deployment = read_deployment(*object);
        const bool known = deployment.policy == "siskindrift" || deployment.policy == "naive";
        if (!known || deployment.loads_per_second <= 0.0 || deployment.stall_weight < 0.0 ||
            deployment.stall_weight > 1.0) {
            fault = "policy, stall_weight or loads_per_second is out of range";
        }
    }
    else if (!name_after(service_prefix, key)) {
        fault = "unknown kind of entry";
    }
    return fault ? std::optional{key + ": " + *fault} : std::nullopt;
}

void catalog::apply(const wire::config_page_t& page)
{
    if (page.full) {
        *this = catalog{};
    }
    for (const auto& operation : page.operations) {
        apply(*operation);
    }
    m_revision = core::config_revision{page.revision};
}

void catalog::apply(const wire::config_operation_t& operation)
{
    const auto& key = operation.key;
    const auto object = operation.remove ? std::nullopt : parse_object(operation.value);
    if (const auto team = name_after(team_prefix, key)) {
        std::erase_if(m_key_hashes, [&](const auto& item) { return item.second.value() == *team; });
        m_teams.erase(*team);
        if (object) {
            auto read = read_team(*object);
            for (const auto& hash : read.key_hashes) {
                m_key_hashes[hash] = core::team_id{*team};
            }
            m_teams[*team] = std::move(read);
        }
    }
    else if (const auto adapter = name_after(adapter_prefix, key)) {
        m_adapters.erase(*adapter);
        if (object) {
            m_adapters[*adapter] = read_adapter(*object);
        }
    }
    else if (const auto service = name_after(service_prefix, key)) {
        m_services.erase(*service);
        if (object) {
            m_services[*service] = read_service(*object);
        }
    }
    else if (const auto upstream = name_after(upstream_prefix, key)) {
        m_upstreams.erase(*upstream);
        if (object) {
            m_upstreams[*upstream] = {read_string(*object, "fencing") == "checked",
                                      read_flag(*object, "drain")};
        }
    }
    else if (key == deployment_key) {
        m_deployment = object ? read_deployment(*object) : deployment_config{};
    }
}

std::optional<core::team_id> catalog::team_of_key(const std::string& key_hash) const
{
    const auto found = m_key_hashes.find(key_hash);
    if (found == m_key_hashes.end() || !equal_constant_time(found->first, key_hash)) {
        return std::nullopt;
    }
    return found->second;
}

const team_config* catalog::team(const core::team_id& id) const
{
    const auto found = m_teams.find(id.value());
    return found == m_teams.end() ? nullptr : &found->second;
}

const adapter_config* catalog::adapter(const std::string& name) const
{
    const auto found = m_adapters.find(name);
    return found == m_adapters.end() ? nullptr : &found->second;
}

const service_config* catalog::service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

bool catalog::checks_fencing(const core::upstream_id& id) const
{
    const auto found = m_upstreams.find(id.value());
    return found != m_upstreams.end() && found->second.checks_fencing;
}

bool catalog::drained(const core::upstream_id& id) const
{
    const auto found = m_upstreams.find(id.value());
    return found != m_upstreams.end() && found->second.drained;
}

bool catalog::may_use(const core::team_id& team, const core::adapter_version& name) const
{
    const auto parts = split_model(name.value());
    if (!parts) {
        return false;
    }
    const auto* found = adapter(parts->first);
    return found != nullptr && found->team == team &&
           std::find(found->versions.begin(), found->versions.end(), parts->second) !=
               found->versions.end();
}

std::string catalog::base_model_of(const core::adapter_version& name) const
{
    const auto parts = split_model(name.value());
    const auto* found = parts ? adapter(parts->first) : nullptr;
    return found == nullptr ? std::string{} : found->base_model;
}

std::vector<std::string> catalog::models_of(const core::team_id& team) const
{
    std::vector<std::string> models;
    for (const auto& [name, adapter] : m_adapters) {
        if (adapter.team != team) {
            continue;
        }
        for (const auto& version : adapter.versions) {
            models.push_back(name + "@" + version);
        }
    }
    std::sort(models.begin(), models.end());
    return models;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 0xF];
    }
    return hex;
}

bool is_operator(const std::vector<std::string>& hashes, std::string_view token)
{
    const auto presented = sha256_hex(token);
    bool found = hashes.empty();
    for (const auto& hash : hashes) {
        found = equal_constant_time(hash, presented) || found;
    }
    return found;
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace siskindrift::config
