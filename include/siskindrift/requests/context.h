// @internal State and settings that the parts of `entry_core` share.
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

/// Timeouts, intervals and limits of an entry VM.
struct entry_options {
    /// Longest time to serve on a configuration that control has not confirmed since.
    core::duration config_bound = core::milliseconds{5000};
    /// Interval between renewals of the session with control.
    core::duration renew_interval = core::milliseconds{400};
    /// A replica that has not replied within this time is suspected and the request is resent.
    core::duration control_reply_timeout = core::milliseconds{500};
    /// When a control request is dropped; only for requests that are issued again periodically.
    core::duration control_request_timeout = core::milliseconds{2000};
    /// Delay before a resend after a replica replied that it is not the leader.
    core::duration control_retry_delay = core::milliseconds{60};
    /// How long hints that name a suspected replica as leader are ignored. Must exceed the
    /// duration of an election.
    core::duration control_suspect_duration = core::milliseconds{1500};
    /// Interval between owner digests to the other VMs.
    core::duration digest_interval = core::milliseconds{250};
    /// Longest wait for a usable upstream. Must exceed the takeover of an expired lease.
    core::duration placement_timeout = core::milliseconds{6000};
    core::duration placement_retry_interval = core::milliseconds{50};
    /// Longest wait for the reply to an abandon message. Must exceed the detection time of a
    /// silent link.
    core::duration abandon_timeout = core::milliseconds{1500};
    /// How long the owner keeps replies for resending. Must exceed any wait for an answer.
    core::duration outcome_retention = std::chrono::seconds{60};
    /// Largest answer, in bytes of reply data, that the owner keeps for resending.
    std::size_t max_kept_response_bytes = 64UL * 1024;
    core::duration abandon_resend_interval = core::milliseconds{300};
    /// Longest time without a reply from the owner of a running attempt. Must exceed the
    /// timeouts that the owner applies to its upstream calls.
    core::duration owner_silence_timeout = core::milliseconds{4000};
    /// Longest wait for a missing piece of a stream. Must exceed the delay of a relayed message.
    core::duration gap_timeout = core::milliseconds{500};
    /// Longest wait for the response head of a model call.
    core::duration head_timeout = core::milliseconds{3000};
    /// Longest time between two reads of a response; 30 times the target time between tokens.
    core::duration progress_timeout = core::milliseconds{1500};
    /// Interval at which the owner tells the ingress that an attempt is still queued.
    core::duration queued_reply_interval = core::milliseconds{1000};
    /// Longest wait for the response head of an adapter load or unload.
    core::duration engine_order_timeout = core::milliseconds{5000};
    core::duration default_deadline = core::milliseconds{60'000};
    /// How long attempt states are kept. Must exceed the deadline of any request in flight.
    core::duration tombstone_ttl = std::chrono::minutes{10};
    /// Interval between checks whether an owned upstream belongs on another VM.
    core::duration rebalance_interval = core::milliseconds{3000};
    /// How long callers may use a list of endpoints; a draining VM keeps serving that long.
    core::duration endpoints_ttl = core::milliseconds{5000};
    std::uint32_t max_attempts = 5; ///< Attempts per request, including the first.
    double retry_ratio = 0.2;       ///< Long-run retries per new request.
    double retry_burst = 30.0;      ///< Retries that may be made at once after idle time.
};

/// Identity and addresses of this VM.
struct entry_identity {
    std::string vm;                ///< Name of the VM.
    std::uint64_t incarnation = 0; ///< Differs for every start of the process.
    std::string inner_address;     ///< IP:port for the system's own processes.
    std::string caller_address;    ///< IP:port for callers and upstreams.
    std::string failure_domain;
};

/// Bounded log of the events of recent requests, read by the `explain` command.
class request_trace {
public:
    /// Appends @p line to the request's log. Lines beyond the limit per request are dropped;
    /// the oldest request is removed when there are too many.
    void add(const core::request_id& id, std::string line);
    /// Returns the lines of request @p id, oldest first; empty when it is unknown.
    [[nodiscard]] std::vector<std::string> lines_of(const std::string& id) const;

private:
    std::unordered_map<std::string, std::vector<std::string>> m_lines;
    std::deque<std::string> m_order;
};

/// State shared by the ingress and the owner; held by `entry_core`.
struct entry_context {
    entry_context(const core::clock& clock, entry_outputs& outputs, entry_options opts,
                  entry_identity identity, std::uint64_t seed)
        : time(clock), out(outputs), options(opts), self(std::move(identity)), random(seed)
    {
    }

    const core::clock& time;
    entry_outputs& out;
    entry_options options;
    entry_identity self;
    core::random_source random;
    config::catalog catalog;
    membership::upstream_registry registry;
    std::map<std::string, wire::vm_info_t> vms;           ///< Registered VMs, by name.
    std::map<std::string, wire::ownership_info_t> owners; ///< By upstream id.
    core::time_point lease_until{};                       ///< When this VM's session lease expires.
    core::time_point confirmed_at{}; ///< When control last confirmed the revision in use.
    bool confirmed_once = false;     ///< `confirmed_at` is set.
    bool draining = false;
    bool left = false; ///< The session has ended; nothing may be served.
    request_trace trace;
    call_id next_call = 1;

    [[nodiscard]] core::time_point now() const { return time.now(); }
    /// Returns whether this VM's session lease still holds.
    [[nodiscard]] bool lease_valid() const { return now() < lease_until; }
    /// Returns whether control confirmed the configuration within `config_bound`.
    [[nodiscard]] bool config_confirmed() const
    {
        return confirmed_once && now() - confirmed_at <= options.config_bound;
    }
    /// Appends a line to the trace of request @p id.
    void trace_request(const core::request_id& id, std::string line)
    {
        trace.add(id, std::move(line));
    }
};

/// Sends messages to other VMs; uses a relay when the direct path is down.
class peer_sender {
public:
    peer_sender() = default;
    peer_sender(const peer_sender&) = delete;
    peer_sender& operator=(const peer_sender&) = delete;
    virtual ~peer_sender() = default;

    /// Sends @p message to @p vm, which may be this VM itself. Delivery is not guaranteed.
    virtual void send(const std::string& vm, wire::envelope_t message) = 0;
    /// Returns whether @p vm can be reached, directly or through a relay.
    [[nodiscard]] virtual bool reachable(const std::string& vm) const = 0;
};

} // namespace siskindrift::requests
