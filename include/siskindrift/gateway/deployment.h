// The deployment document as a gateway reads it: callers' routes and the services behind them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// What may be repeated on a route.
enum class route_kind : std::uint8_t {
    safe,      ///< May run any number of times.
    unsafe,    ///< Runs at most once for each attempt of the caller.
    streaming, ///< A stream of events; as `unsafe` unless the route is resumable.
};

/// A service and its share of a route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 1;
};

/// One route of callers.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    core::duration timeout{}; ///< Longest time that a caller is kept waiting.
    core::duration
        latency_objective{}; ///< Time within which an answer, or its first event, is due.
    core::duration event_gap_objective{}; ///< Longest pause between two events of a stream.
    /// Callers give a stream up when nothing comes for this long, also before its first event.
    core::duration stream_idle_timeout = core::duration::max();
    int priority = 0; ///< 0 is the highest.
    std::vector<service_share> services;
    unsigned max_attempts = 1; ///< Most upstreams that may run one attempt of the caller.
    bool session_affinity = false;
    bool resumable = false;

    /// Returns whether a request may run again after it may have run.
    [[nodiscard]] bool repeatable() const
    {
        return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
    }
};

/// A base model that a service's engines may hold.
struct engine_model {
    std::string name;
    double weights_mb = 0;
    std::uint32_t adapters = 0;
    double adapter_mb = 0;
};

/// What the engines of a service can carry.
struct engine_capacity {
    std::uint32_t slots = 0; ///< Requests in one batch.
    std::uint64_t kv_tokens = 0;
    std::uint32_t adapter_slots = 0;
    double weights_mb = 0;       ///< Room for models and adapters together.
    double loads_per_second = 0; ///< Of whole models, over all engines.
    std::vector<engine_model> models;
};

/// A group of equal upstreams.
struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< From all callers of one upstream together.
    std::optional<engine_capacity> engine;
};

/// What callers may send.
struct caller_limits {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    core::duration header_timeout = core::milliseconds{3000};
    core::duration idle_timeout = core::milliseconds{15'000};
};

/// One whole document.
struct deployment {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

/// Returns what is wrong with @p document, or none.
[[nodiscard]] std::optional<std::string> validation_error(const deployment& document);

} // namespace siskindrift::gateway
