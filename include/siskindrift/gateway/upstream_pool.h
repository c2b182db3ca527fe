// Chooses the upstream of a request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/fleet/roster.h"
#include "siskindrift/gateway/request_metadata.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// A model and one of its adapters; the model itself has an empty adapter.
using adapter_name = std::pair<std::string, std::string>;

struct pool_options {
    core::duration failure_memory = core::milliseconds{2000}; // a faulty upstream is tried again
    unsigned failures_before_ejection = 2;                    // one may be chance
    double ejection_share = 0.35;                             // of the latest answers
    core::duration old_version_grace =
        core::milliseconds{1500};      // a load from the store and the word of it, with room
    double old_version_wait_ms = 2500; // since the new one was named, until an old one begins
    double prompt_tokens_per_ms = 38;  // what engines of this size read
    double crowded_ms = 550;           // with the reading, more than callers of chats await
    double full_ms = 400;              // what a full batch delays a first token
    double failing_ms = 1000;          // what a failure costs a caller
    std::size_t many_gateways = 20;    // that choose by views older than a prompt takes to read
};

/// Where a request may go.
struct pool_choice {
    enum class kind : std::uint8_t {
        send,               ///< To `upstream`.
        adapter_not_loaded, ///< No engine holds the adapter.
        none,               ///< No upstream of the service can be used.
    };
    kind result = kind::none;
    std::string upstream;
    std::string address;
    std::optional<std::uint64_t> adapter_version; ///< Of the copy that was chosen.
    bool crowded = false;                         ///< A further copy of the adapter would help.
};

/// What a gateway knows of the upstreams, with what it sent them. Pure; answers uneven load,
/// adapters that few engines hold, and upstreams that fail behind a good health check.
class upstream_pool {
public:
    upstream_pool(const fleet::roster& roster, std::uint64_t seed, pool_options options = {})
        : m_roster(roster), m_random(seed), m_options(options)
    {
    }

    /// Takes how many gateways choose by the same views.
    void set_gateway_count(std::size_t count) { m_gateways = count; }
    void update_engine(const wire::engine_view_t& view);
    void set_current_version(const adapter_name& name, std::uint64_t version, core::time_point now);

    /// Chooses an upstream of @p service that is not among @p tried.
    [[nodiscard]] pool_choice choose(const std::string& service, const adapter_name& wanted,
                                     const std::set<std::string>& tried, core::time_point now);

    /// @param tokens of the prompt that the upstream has to read first.
    void record_sent(const std::string& upstream, const adapter_name& name,
                     std::uint32_t tokens = 0);
    /// The upstream has read the prompt, or the request is over.
    void record_prompt_read(const std::string& upstream, std::uint32_t tokens);
    void record_ended(const std::string& upstream, const adapter_name& name);
    /// Takes how an attempt went: whether the upstream failed it.
    void record_outcome(const std::string& upstream, bool failed, core::time_point now);
    void record_load(const std::string& upstream, const upstream_load& load);
    /// The upstream said that it doesn't hold the adapter.
    void record_missing_adapter(const std::string& upstream, const adapter_name& name);

    /// Returns how many requests of this gateway run with each adapter at each engine.
    [[nodiscard]] std::vector<wire::adapter_use_t> adapter_uses() const;
    /// Returns the prompt tokens that this gateway sent and that are not read yet.
    /// Others are told these; see `update_engine`.
    [[nodiscard]] std::vector<wire::engine_share_t> take_token_shares();
    /// Drops what is known of upstreams that left the roster.
    void remove_departed();

private:
    struct record {
        std::uint32_t in_flight = 0;
        std::uint32_t others = 0; ///< Requests of other gateways, at the last word.
        std::uint64_t pending_tokens = 0;
        std::uint64_t told_tokens = 0; ///< Of `pending_tokens`, at the last word to others.
        std::uint64_t other_tokens = 0;
        double failing = 0;    ///< Share of failures, the latest weigh most.
        unsigned failures = 0; ///< In a row.
        core::time_point failed{};
        std::map<adapter_name, std::uint32_t> uses;
    };
    struct engine_copies {
        std::uint64_t born_ms = 0;
        std::uint32_t running = 0;
        std::map<adapter_name, std::uint64_t> versions;
    };

    [[nodiscard]] bool ejected(const record& at, core::time_point now) const;
    [[nodiscard]] double load(const fleet::roster_entry& item, const record& at, bool engine) const;
    [[nodiscard]] std::optional<std::uint64_t> copy_at(const fleet::roster_entry& item,
                                                       const adapter_name& wanted) const;
    [[nodiscard]] bool accepts_version(const adapter_name& name, std::uint64_t version,
                                       bool newest_exists, double wait_ms,
                                       core::time_point now) const;

    const fleet::roster& m_roster;
    core::random_source m_random;
    pool_options m_options;
    std::size_t m_gateways = 1;
    std::map<std::string, record> m_records;
    std::map<std::string, engine_copies> m_views;
    std::map<adapter_name, std::pair<std::uint64_t, core::time_point>> m_named;
};

} // namespace siskindrift::gateway
