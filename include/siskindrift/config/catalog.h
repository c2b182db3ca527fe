// The accepted configuration as an entry VM uses it: teams, adapters, services, upstreams.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskindrift/core/ids.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::config {

/// Limits and weights of one team.
struct team_config {
    std::vector<std::string> key_hashes; ///< SHA-256 in lower-case hex.
    double requests_per_second = 100.0;
    std::uint32_t max_concurrent = 100;
    std::uint32_t max_queued = 200;
    std::uint8_t default_priority = 5;
    std::uint8_t highest_priority = 9;
    double share = 1.0; ///< Weight among teams when engines are short.
    std::uint32_t longest_answer_ms = 60'000;
};

/// One adapter with the versions that may be asked for.
struct adapter_config {
    core::team_id team;
    std::string base_model;
    std::vector<std::string> versions;
};

/// One plain service.
struct service_config {
    std::vector<std::string> teams;
    bool repeatable = false;
};

/// What an operator says of one upstream.
struct upstream_config {
    bool checks_fencing = false;
    bool drained = false;
};

/// Facts about the deployment that teams share.
struct deployment_config {
    std::string policy = "siskindrift";
    double stall_weight = 0.5; ///< Share of load stalls against batch efficiency, 0 to 1.
    double loads_per_second = 2.0;
};

using config_map = std::map<std::string, std::string>;

/// Reads configuration pages; keeps lookups cheap.
class catalog {
public:
    /// Applies a page; a full page replaces everything.
    void apply(const wire::config_page_t& page);

    [[nodiscard]] core::config_revision revision() const { return m_revision; }

    /// Returns the team whose key has this SHA-256, or none.
    [[nodiscard]] std::optional<core::team_id> team_of_key(const std::string& key_hash) const;
    [[nodiscard]] const team_config* team(const core::team_id& id) const;
    [[nodiscard]] const adapter_config* adapter(const std::string& name) const;
    [[nodiscard]] const service_config* service(const std::string& name) const;
    [[nodiscard]] const deployment_config& deployment() const { return m_deployment; }

    /// Returns whether the upstream checks fencing numbers; one that is not configured does not.
    [[nodiscard]] bool checks_fencing(const core::upstream_id& id) const;

    /// Returns whether an operator drains the upstream, so that it gets no new work.
    [[nodiscard]] bool drained(const core::upstream_id& id) const;

    /// Returns whether @p name ("adapter@version") exists and belongs to @p team.
    [[nodiscard]] bool may_use(const core::team_id& team, const core::adapter_version& name) const;

    /// Returns the base model of @p name, or an empty text.
    [[nodiscard]] std::string base_model_of(const core::adapter_version& name) const;

    /// Returns "adapter@version" of every version that @p team may use.
    [[nodiscard]] std::vector<std::string> models_of(const core::team_id& team) const;

    [[nodiscard]] std::size_t adapter_count() const { return m_adapters.size(); }

private:
    void apply(const wire::config_operation_t& operation);

    core::config_revision m_revision;
    deployment_config m_deployment;
    std::unordered_map<std::string, team_config> m_teams;
    std::unordered_map<std::string, core::team_id> m_key_hashes;
    std::unordered_map<std::string, adapter_config> m_adapters;
    std::unordered_map<std::string, service_config> m_services;
    std::unordered_map<std::string, upstream_config> m_upstreams;
};

/// Splits "adapter@version"; returns none without exactly one '@' inside.
[[nodiscard]] std::optional<std::pair<std::string, std::string>>
split_model(std::string_view model);

/// Returns the store's rate in a configuration, or none when it is not set.
[[nodiscard]] std::optional<double> loads_per_second(const config_map& config);

/// Returns what is wrong with one configuration entry, or none. The text names the key.
[[nodiscard]] std::optional<std::string> check_entry(const std::string& key,
                                                     const std::string& value);

/// Returns the lower-case hex SHA-256 of @p text.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Returns whether an operator's token is among @p hashes; with no hashes all are.
[[nodiscard]] bool is_operator(const std::vector<std::string>& hashes, std::string_view token);

/// Compares in time that depends only on the lengths.
[[nodiscard]] bool equal_constant_time(std::string_view a, std::string_view b);

} // namespace siskindrift::config
