// The replicated control state: configuration, VMs, ownership of upstreams, claims on idempotency
// keys, and the deployment document.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "siskindrift/core/request_rate.h"
#include "siskindrift/state/shared_table.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::state {

/// Limits on what the state retains. All replicas must run with equal values, or their states
/// diverge.
struct state_limits {
    /// Age at which a key expires, by the time in the key. Must exceed the longest time after
    /// which a caller still resends a request.
    std::uint64_t claim_retention_ms = 24ULL * 3600 * 1000;

    /// Bound on the clock differences of callers. A claim is kept this much longer than its key
    /// is valid.
    std::uint64_t key_skew_ms = 5ULL * 60 * 1000;

    /// How long a departure counts. Must exceed the delay of an announcement that was sent before
    /// it. A later announcement shows that the run goes on.
    std::uint64_t departure_lifetime_ms = 60ULL * 1000;
    std::size_t max_departures = 8192;

    /// Number of changes in the history. Enough for ten days at the target rate of changes.
    std::size_t max_history_items = 20'000;

    /// Number of results of changes that are kept to answer resent changes.
    std::size_t max_change_results = 100'000;

    /// A longer response isn't kept with its claim.
    std::size_t max_claim_response_bytes = 64UL * 1024;
};

/// A claim of one request on an idempotency key of a team.
struct claim {
    std::uint64_t key_time_ms = 0; ///< Time in the key, in milliseconds of the wall clock.
    std::uint64_t body_hash = 0;
    std::string request_id;
    bool finished = false;
    bool ran = false;         ///< The fields from here on are set when the claim is finished.
    std::uint16_t status = 0; ///< HTTP status of the response.
    std::string content_type;
    std::string response;
};

/// The deployment document in force, exactly as the operator sent it.
struct document {
    std::uint64_t version = 0; ///< 0 until the first document is accepted.
    std::string content;
};

/// A gateway that shares the fixed part of the retry budget.
struct retry_share_holder {
    std::uint64_t admitted = 0; ///< Generation in which it was admitted.
    bool usable = false;        ///< False until all others divide by a number that includes it.
};

/// The gateways that share the fixed part of the retry budget.
struct retry_shares {
    std::uint64_t generation = 0;                      ///< Incremented by each change.
    std::map<std::string, retry_share_holder> holders; ///< By VM.
};

/// A prompt part whose requests are refused because they crash engines.
struct blocked_part {
    std::uint32_t strikes = 1; ///< How often it was blocked without having been released.
    std::string trial_vm;      ///< Gateway that may send one request with it; empty for none.
};

/// The blocked prompt parts of all services.
struct blocked_parts {
    std::uint64_t generation = 0; ///< Incremented by each change.
    std::map<std::string, blocked_part> parts;
};

/// Requests that a run of an upstream takes from all gateways together.
struct upstream_limit {
    std::uint64_t born_ms = 0; ///< Start of the run.
    core::request_rate rate;
};

/// The limits that upstreams name, by upstream.
using upstream_limits = shared_table<upstream_limit>;

/// Base model, then adapter. The adapter is empty for the base model itself.
using adapter_name = std::pair<std::string, std::string>;

/// Services and the software versions of which their upstreams have served lately.
using service_versions = std::set<std::pair<std::string, std::string>>;

using claim_key = std::pair<std::string, std::string>; ///< Team, then idempotency key.

/// A run of an upstream that has announced its end, or is gone.
struct departure {
    std::uint64_t born_ms = 0; ///< Start of the run, in milliseconds of the wall clock.
    bool gone = false;
    std::uint64_t stamp_ms = 0; ///< When it was recorded, in the time of the log.
};

/// The replicated state machine. It is deterministic: equal logs produce equal states on every
/// replica, so it reads no clock and takes the time from the log entries. Not thread-safe.
class control_state {
public:
    explicit control_state(state_limits limits = {}) : m_limits(limits) {}

    /// Applies one committed entry.
    ///
    /// @returns the reply to the client that proposed the entry. An entry that isn't a command
    ///     has no effect and gives an empty reply.
    wire::control_reply_t apply(const wire::log_entry_t& entry);

    /// Serializes the whole state for `restore`.
    [[nodiscard]] std::string save() const;
    /// Replaces the state by a serialized one.
    ///
    /// @returns false, with the state unchanged, when @p bytes don't decode
    bool restore(const std::string& bytes);

    /// Returns the revision of the configuration, which each accepted change increments.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// Returns a hash over all commands and their replies, by which replicas are compared.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    /// Returns a version that changes with the VMs and with the owners of upstreams.
    [[nodiscard]] std::uint64_t ownership_version() const { return m_ownership_version; }
    [[nodiscard]] const std::map<std::string, std::string>& config() const { return m_config; }
    [[nodiscard]] const std::map<std::string, wire::vm_info_t>& vms() const { return m_vms; }
    [[nodiscard]] const std::map<std::string, wire::ownership_info_t>& ownerships() const
    {
        return m_ownerships;
    }
    [[nodiscard]] const std::deque<wire::history_item_t>& history() const { return m_history; }
    [[nodiscard]] const document& current_document() const { return m_document; }
    /// Returns the newest version of each adapter.
    [[nodiscard]] const std::map<adapter_name, std::uint64_t>& adapter_versions() const
    {
        return m_adapter_versions;
    }
    [[nodiscard]] const retry_shares& current_retry_shares() const { return m_retry_shares; }
    [[nodiscard]] const blocked_parts& current_blocked_parts() const { return m_blocked_parts; }
    [[nodiscard]] const upstream_limits& current_upstream_limits() const
    {
        return m_upstream_limits;
    }
    [[nodiscard]] const service_versions& software_versions() const { return m_software_versions; }
    /// Returns the latest runs of upstreams that leave or have left, by upstream.
    [[nodiscard]] const std::map<std::string, departure>& departures() const
    {
        return m_departures;
    }
    /// Returns the departure of a run of @p upstream or of a later one if it still counts, or null.
    /// @param now_ms wall clock time in milliseconds
    [[nodiscard]] const departure*
    find_departure(const std::string& upstream, std::uint64_t born_ms, std::uint64_t now_ms) const;
    [[nodiscard]] std::size_t claim_count() const { return m_claims.size(); }
    /// Returns the claim on a key, or null.
    [[nodiscard]] const claim* find_claim(const claim_key& key) const;

    /// Returns the values of all keys that changed after revision @p since. Returns the whole
    /// configuration when @p since is 0, lies ahead or is no longer covered by the history.
    [[nodiscard]] wire::config_page_t config_since(std::uint64_t since) const;

private:
    /// Result of a change of the configuration, kept to answer a resent change.
    struct change_result {
        wire::control_outcome outcome = wire::control_outcome::ok;
        std::uint64_t revision = 0;
        std::string winner_change_id;
        std::string winner_operator;
    };

    wire::control_reply_t apply_command(const wire::control_request_t& command,
                                        std::uint64_t index);
    wire::control_reply_t apply(const wire::apply_change_t& change);
    wire::control_reply_t apply(const wire::register_vm_t& vm);
    wire::control_reply_t apply(const wire::expire_vm_t& vm);
    wire::control_reply_t apply(const wire::acquire_upstream_t& request, std::uint64_t index);
    wire::control_reply_t apply(const wire::release_upstream_t& request);
    wire::control_reply_t apply(const wire::take_claim_t& request);
    wire::control_reply_t apply(const wire::finish_claim_t& request);
    wire::control_reply_t apply(const wire::put_document_t& request);
    wire::control_reply_t apply(const wire::name_adapter_version_t& request);
    wire::control_reply_t apply(const wire::change_retry_shares_t& request);
    wire::control_reply_t apply(const wire::change_blocked_parts_t& request);
    wire::control_reply_t apply(const wire::change_upstream_limits_t& request);
    wire::control_reply_t apply(const wire::change_software_versions_t& request);
    wire::control_reply_t apply(const wire::record_departure_t& request);

    void accept_change(const wire::apply_change_t& change);
    void store_change_result(const std::string& change_id, change_result result);
    void purge_expired_claims();
    void purge_old_departures();
    [[nodiscard]] static wire::control_reply_t make_change_reply(const change_result& stored);
    [[nodiscard]] wire::control_reply_t make_claim_reply(const claim& held,
                                                         wire::claim_state state) const;

    state_limits m_limits;
    std::uint64_t m_revision = 0;
    std::uint64_t m_time_ms = 0; ///< Largest time stamp of an entry so far.
    std::uint64_t m_digest = 0;
    std::uint64_t m_ownership_version = 0;
    std::map<std::string, std::string> m_config;
    std::unordered_map<std::string, change_result> m_change_results;
    std::deque<std::string> m_change_result_order; ///< Change ids, oldest first.
    std::deque<wire::history_item_t> m_history;
    std::map<std::string, wire::vm_info_t> m_vms;
    std::map<std::string, wire::ownership_info_t> m_ownerships;
    document m_document;
    std::map<adapter_name, std::uint64_t> m_adapter_versions;
    std::map<std::string, departure> m_departures;
    retry_shares m_retry_shares;
    blocked_parts m_blocked_parts;
    upstream_limits m_upstream_limits;
    service_versions m_software_versions;
    std::map<claim_key, claim> m_claims;
    std::set<std::pair<std::uint64_t, claim_key>> m_claims_by_time; ///< By time in the key.
};

} // namespace siskindrift::state
