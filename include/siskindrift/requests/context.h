// @internal What the parts of an entry VM's decision code share.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "siskindrift/config/catalog.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/membership/upstream_registry.h"
#include "siskindrift/requests/outputs.h"

namespace siskindrift::requests {

/// Durations and bounds of an entry VM.
struct entry_options {
    core::duration config_bound =
        core::milliseconds{5000}; ///< Serve no longer on an unconfirmed one.
    core::duration renew_interval = core::milliseconds{400};
    core::duration control_reply_timeout = core::milliseconds{500};
    core::duration control_request_timeout =
        core::milliseconds{2000}; // for what is asked again anyway
    core::duration control_retry_delay =
        core::milliseconds{60}; ///< After a replica said that it does not lead.
    core::duration control_suspect_duration = core::milliseconds{1500}; // above an election
    core::duration digest_interval = core::milliseconds{250};
    core::duration placement_timeout = core::milliseconds{6000}; // above a lease takeover
    core::duration placement_retry_interval = core::milliseconds{50};
    core::duration abandon_timeout = core::milliseconds{1500};   // above a silent link's detection
    core::duration outcome_retention = std::chrono::seconds{60}; // above any wait for an answer
    std::size_t max_kept_response_bytes = 64UL * 1024;
    core::duration abandon_resend_interval = core::milliseconds{300};
    core::duration owner_silence_timeout =
        core::milliseconds{4000};                         // above the limits that the owner applies
    core::duration gap_timeout = core::milliseconds{500}; // above the delay of a relay
    core::duration head_timeout = core::milliseconds{3000};
    core::duration progress_timeout =
        core::milliseconds{1500}; // 30 times the target between tokens
    core::duration queued_status_interval = core::milliseconds{1000};
    core::duration engine_order_timeout = core::milliseconds{5000};
    core::duration default_deadline = core::milliseconds{60'000};
    core::duration tombstone_ttl = std::chrono::minutes{10}; // above any deadline in flight
    core::duration rebalance_interval = core::milliseconds{3000};
    core::duration endpoints_ttl = core::milliseconds{5000};
    std::uint32_t max_attempts = 5;
    double retry_ratio = 0.2;  ///< Retries per fresh request, in the long run.
    double retry_burst = 30.0; ///< Retries that a quiet VM may make at once.
};

/// Who this VM is.
struct entry_identity {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string inner_address;
    std::string caller_address;
    std::string failure_domain;
};

/// What happened to recent requests, for `explain`.
class request_trace {
public:
    void add(const core::request_id& id, std::string line);
    [[nodiscard]] std::vector<std::string> lines_of(const std::string& id) const;

private:
    std::unordered_map<std::string, std::vector<std::string>> m_lines;
    std::deque<std::string> m_order;
};

/// Shared facts; owned by `entry_core`.
struct entry_context {
    entry_context(const core::clock& clock, entry_outputs& outputs, entry_options chosen,
                  entry_identity identity, std::uint64_t seed)
        : time(clock), out(outputs), options(chosen), self(std::move(identity)), random(seed)
    {
    }

    const core::clock& time;
    entry_outputs& out;
    entry_options options;
    entry_identity self;
    core::random_source random;
    config::catalog catalog;
    membership::upstream_registry registry;
    std::map<std::string, wire::vm_info_t> vms;
    std::map<std::string, wire::ownership_info_t> owners; ///< By upstream.
    core::time_point lease_until{};                       ///< Until when this VM's own grants hold.
    core::time_point confirmed_at{}; ///< When the configuration was last known to be current.
    bool confirmed_once = false;
    bool draining = false;
    bool left = false; ///< The session was given up; nothing may be served.
    request_trace trace;
    call_id next_call = 1;

    [[nodiscard]] core::time_point now() const { return time.now(); }
    [[nodiscard]] bool lease_valid() const { return now() < lease_until; }
    [[nodiscard]] bool config_confirmed() const
    {
        return confirmed_once && now() - confirmed_at <= options.config_bound;
    }
    void trace_request(const core::request_id& id, std::string line)
    {
        trace.add(id, std::move(line));
    }
};

/// Sends a message to another VM, around a dead path where there is one.
class peer_sender {
public:
    peer_sender() = default;
    peer_sender(const peer_sender&) = delete;
    peer_sender& operator=(const peer_sender&) = delete;
    virtual ~peer_sender() = default;

    virtual void send(const std::string& vm, wire::envelope_t message) = 0;
    [[nodiscard]] virtual bool reachable(const std::string& vm) const = 0;
};

} // namespace siskindrift::requests
