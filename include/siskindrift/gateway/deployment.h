// The deployment document: the routes that callers use and the services behind them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Determines whether requests of a route may be executed more than once.
enum class route_kind : std::uint8_t {
    safe,      ///< Idempotent: may be executed any number of times.
    unsafe,    ///< Executed at most once for each attempt of the caller.
    streaming, ///< Server-sent events; treated as `unsafe` unless the route is resumable.
};

/// A service and its weight in the traffic split of a route.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the sum of the route's weights.
};

/// A route: matches requests by host and path prefix and distributes them over services.
struct route {
    std::string name;
    std::string host;   ///< Without a port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    /// Maximum time until the caller gets a response.
    core::duration timeout{};
    /// Latency target for the response or, on a streaming route, for its first event.
    core::duration latency_objective{};
    /// Target for the longest pause between two events of a stream.
    core::duration event_gap_objective{};
    /// Callers abandon a stream that delivers nothing for this long, also before the first event.
    core::duration stream_idle_timeout = core::duration::max();
    int priority = 0; ///< 0 is the highest.
    std::vector<weighted_service> services;
    unsigned max_attempts = 1; ///< Maximum number of upstreams that may execute one caller attempt.
    bool session_affinity = false;
    bool resumable = false; ///< An interrupted stream can be resumed after its last event.

    /// Returns whether a request may be sent again after an attempt that may have executed it.
    [[nodiscard]] bool repeatable() const
    {
        return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
    }
};

/// A base model that the engines of a service can load.
struct engine_model {
    std::string name;
    double weights_mb = 0;      ///< Memory used by the base model, in MB.
    std::uint32_t adapters = 0; ///< Number of adapters that exist for the model.
    double adapter_mb = 0;      ///< Memory used by one adapter, in MB.
};

/// Capacity of each engine of a service.
struct engine_capacity {
    std::uint32_t slots = 0;     ///< Maximum number of requests in one batch.
    std::uint64_t kv_tokens = 0; ///< Capacity of the KV cache, in tokens.
    std::uint32_t adapter_slots = 0;
    double weights_mb = 0;       ///< Memory shared by base models and adapters, in MB; 0: unknown.
    double loads_per_second = 0; ///< Limit on base model loads over all engines.
    std::vector<engine_model> models;

    /// Returns whether an engine that holds nothing else has the memory for @p model and, unless
    /// @p adapter is empty, for one of its adapters. Sizes that aren't stated count as 0, and a
    /// memory that isn't stated as unlimited.
    [[nodiscard]] bool can_hold(const std::string& model, const std::string& adapter) const;
};

/// A group of interchangeable upstreams.
struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;     ///< To one upstream, summed over all callers.
    std::optional<engine_capacity> engine; ///< Set if the upstreams are inference engines.
};

/// Limits on callers' requests and connections.
struct caller_limits {
    /// Larger limits can't be kept by a gateway with little memory, so nobody may set them.
    static constexpr std::size_t largest_header_bytes = 1024UL * 1024;
    static constexpr std::size_t largest_body_bytes = 32UL * 1024 * 1024;

    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    core::duration header_timeout = core::milliseconds{3000};
    core::duration idle_timeout = core::milliseconds{15'000};
};

/// A complete deployment document.
struct deployment {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services; ///< By name.
    caller_limits limits;
    /// Why the limits that were sent can't be kept, or empty. A document with such limits isn't
    /// accepted; where an earlier build has accepted it, the nearest limits that can apply.
    std::string limits_fault;
};

/// Validates @p document.
/// @return a description of the first error found, or `std::nullopt` if the document is valid.
[[nodiscard]] std::optional<std::string> validation_error(const deployment& document);

} // namespace siskindrift::gateway
