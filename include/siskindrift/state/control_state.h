// The replicated state: configuration, VMs, ownership of upstreams, claims.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "siskindrift/wire/messages.h"

namespace siskindrift::state {

/// Limits of what the state keeps. All replicas must run with equal values.
struct state_limits {
    std::uint64_t claim_retention_ms =
        24ULL * 3600 * 1000;                      // above the longest wait before a resend
    std::uint64_t key_skew_ms = 5ULL * 60 * 1000; // clocks of callers may differ this much
    std::size_t history_items = 20'000;           // above ten days at the target's rate
    std::size_t change_answers = 100'000;
    std::size_t claim_response_bytes = 64UL * 1024;
};

/// A claim on one idempotency key of one team.
struct claim {
    std::uint64_t key_time_ms = 0;
    std::uint64_t body_hash = 0;
    std::string request_id;
    bool finished = false;
    bool ran = false;
    std::uint16_t status = 0;
    std::string content_type;
    std::string response;
};

/// The deployment document in force, exactly as the operator sent it.
struct document {
    std::uint64_t version = 0; ///< 0 until the first one is accepted.
    std::string content;
};

/// An adapter of a base model; the model itself has an empty adapter.
using adapter_name = std::pair<std::string, std::string>;

using claim_key = std::pair<std::string, std::string>; ///< Team, then idempotency key.

/// Deterministic state machine; equal logs give equal states on every replica.
class control_state {
public:
    explicit control_state(state_limits limits = {}) : m_limits(limits) {}

    /// Applies one committed entry. Returns the answer for whoever proposed it.
    wire::control_reply_t apply(const wire::log_entry_t& entry);

    /// Returns the whole state in a form that `restore` reads.
    [[nodiscard]] std::string save() const;
    /// Replaces the state. Returns false and changes nothing when @p bytes do not verify.
    bool restore(const std::string& bytes);

    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }
    [[nodiscard]] std::uint64_t ownership_version() const { return m_ownership_version; }
    [[nodiscard]] const std::map<std::string, std::string>& config() const { return m_config; }
    [[nodiscard]] const std::map<std::string, wire::vm_info_t>& vms() const { return m_vms; }
    [[nodiscard]] const std::map<std::string, wire::ownership_info_t>& ownerships() const
    {
        return m_ownerships;
    }
    [[nodiscard]] const std::deque<wire::history_item_t>& history() const { return m_history; }
    [[nodiscard]] const document& current_document() const { return m_document; }
    /// Returns the newest version named for each adapter.
    [[nodiscard]] const std::map<adapter_name, std::uint64_t>& adapter_versions() const
    {
        return m_named;
    }
    [[nodiscard]] std::size_t claim_count() const { return m_claims.size(); }
    [[nodiscard]] const claim* find_claim(const claim_key& key) const;

    /// Returns the changes after @p since, or the whole configuration when that is unknown.
    [[nodiscard]] wire::config_page_t config_since(std::uint64_t since) const;

private:
    struct change_answer {
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
    wire::control_reply_t apply(const wire::acquire_upstream_t& order, std::uint64_t index);
    wire::control_reply_t apply(const wire::release_upstream_t& order);
    wire::control_reply_t apply(const wire::take_claim_t& order);
    wire::control_reply_t apply(const wire::finish_claim_t& order);
    wire::control_reply_t apply(const wire::put_document_t& order);
    wire::control_reply_t apply(const wire::name_adapter_version_t& order);

    void accept_change(const wire::apply_change_t& change);
    void remember_answer(const std::string& change_id, change_answer answer);
    void purge_claims();
    [[nodiscard]] static wire::control_reply_t answer_of(const change_answer& answer);
    [[nodiscard]] wire::control_reply_t claim_reply(const claim& held,
                                                    wire::claim_state state) const;

    state_limits m_limits;
    std::uint64_t m_revision = 0;
    std::uint64_t m_time_ms = 0; ///< Largest stamp seen; only moves forward.
    std::uint64_t m_digest = 0;
    std::uint64_t m_ownership_version = 0;
    std::map<std::string, std::string> m_config;
    std::unordered_map<std::string, change_answer> m_answers;
    std::deque<std::string> m_answer_order;
    std::deque<wire::history_item_t> m_history;
    std::map<std::string, wire::vm_info_t> m_vms;
    std::map<std::string, wire::ownership_info_t> m_ownerships;
    document m_document;
    std::map<adapter_name, std::uint64_t> m_named;
    std::map<claim_key, claim> m_claims;
    std::set<std::pair<std::uint64_t, claim_key>> m_claims_by_time;
};

} // namespace siskindrift::state
