// The committed configuration in the form that entry processes use: teams, adapters, services,
// upstreams.
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
    std::vector<std::string> key_hashes; ///< SHA-256 of each API key in lower-case hex.
    double requests_per_second = 100.0;
    /// `max_concurrent + max_queued` limits the requests in progress in the whole deployment; each
    /// entry VM applies its share. Further requests are rejected.
    std::uint32_t max_concurrent = 100;
    std::uint32_t max_queued = 200;
    /// Priority of requests that name none. Requests of a higher priority start first.
    std::uint8_t default_priority = 5;
    std::uint8_t highest_priority = 9; ///< Higher priorities in requests are lowered to this.
    double share = 1.0; ///< Scheduling weight among teams when engine capacity is scarce.
    std::uint32_t longest_answer_ms = 60'000; ///< Longest time that a response may take.
};

/// One adapter and the versions that requests may name.
struct adapter_config {
    core::team_id team; ///< The only team that may use the adapter.
    std::string base_model;
    std::vector<std::string> versions;
};

/// One service without adapters.
struct service_config {
    std::vector<std::string> teams;
    bool repeatable = false; ///< Requests may be sent again after a failure.
};

/// Operator settings of one upstream.
struct upstream_config {
    bool checks_fencing = false; ///< It rejects orders with an outdated fencing number.
    bool drained = false;        ///< It gets no new work.
};

/// Settings of the whole deployment.
struct deployment_config {
    std::string policy = "siskindrift";
    double stall_weight = 0.5;     ///< Weight of load stalls against batch efficiency, 0 to 1.
    double loads_per_second = 2.0; ///< Rate at which the store serves adapter loads.
};

/// Configuration entries: JSON objects by key, such as "team/NAME".
using config_map = std::map<std::string, std::string>;

/// Parsed configuration with hash lookups. Not thread-safe.
class catalog {
public:
    /// Applies a page; a full page replaces the whole configuration. An entry whose value is not a
    /// JSON object is removed; unknown keys are ignored.
    void apply(const wire::config_page_t& page);

    /// Returns the revision of the last page applied.
    [[nodiscard]] core::config_revision revision() const { return m_revision; }

    /// Returns the team with an API key of this SHA-256, in lower-case hex, or none.
    [[nodiscard]] std::optional<core::team_id> team_of_key(const std::string& key_hash) const;
    /// Returns the settings of a team, or null; valid until the next `apply`.
    [[nodiscard]] const team_config* team(const core::team_id& id) const;
    /// Returns the settings of an adapter, or null; valid until the next `apply`.
    [[nodiscard]] const adapter_config* adapter(const std::string& name) const;
    /// Returns the settings of a service, or null; valid until the next `apply`.
    [[nodiscard]] const service_config* service(const std::string& name) const;
    /// Returns the settings of the deployment; defaults when they are not configured.
    [[nodiscard]] const deployment_config& deployment() const { return m_deployment; }

    /// Returns whether the upstream checks fencing numbers; false when it is not configured.
    [[nodiscard]] bool checks_fencing(const core::upstream_id& id) const;

    /// Returns whether an operator drains the upstream; it gets no new work then.
    [[nodiscard]] bool drained(const core::upstream_id& id) const;

    /// Returns whether @p name ("adapter@version") exists and belongs to @p team.
    [[nodiscard]] bool may_use(const core::team_id& team, const core::adapter_version& name) const;

    /// Returns the base model of @p name, or an empty string.
    [[nodiscard]] std::string base_model_of(const core::adapter_version& name) const;

    /// Returns "adapter@version" for every version that @p team may use, sorted.
    [[nodiscard]] std::vector<std::string> models_of(const core::team_id& team) const;

    /// Returns the number of adapters of all teams.
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

/// Splits "adapter@version"; returns none unless there is exactly one '@' and both parts are not
/// empty.
[[nodiscard]] std::optional<std::pair<std::string, std::string>>
split_model(std::string_view model);

/// Returns `loads_per_second` of the deployment entry, or its default when that entry lacks it;
/// none when there is no deployment entry.
[[nodiscard]] std::optional<double> loads_per_second(const config_map& config);

/// Validates one configuration entry. Returns an error message that names the key, or none.
[[nodiscard]] std::optional<std::string> check_entry(const std::string& key,
                                                     const std::string& value);

/// Returns the lower-case hex SHA-256 of @p text.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Returns whether the SHA-256 of @p token is among @p hashes. Any token is accepted when @p hashes
/// is empty. The time does not depend on which hash matches.
[[nodiscard]] bool is_operator(const std::vector<std::string>& hashes, std::string_view token);

/// Compares two strings in time that depends only on their lengths.
[[nodiscard]] bool equal_constant_time(std::string_view a, std::string_view b);

} // namespace siskindrift::config
