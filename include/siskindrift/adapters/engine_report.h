// The status report of an engine: its models and adapters, its load, and its order count.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::adapters {

/// A status report of an engine. It may be some hundred milliseconds old when it arrives.
struct engine_report {
    /// Start time of the engine's process in ms, as the engine reports it. Identifies one run of
    /// the process; 0 if not reported.
    std::uint64_t born_ms = 0;
    std::uint64_t orders_accepted = 0;        ///< Number of orders that the engine has accepted.
    bool model_order_in_progress = false;     ///< The engine is loading or unloading a whole model.
    std::uint32_t running = 0;                ///< Requests that are running.
    std::uint32_t waiting = 0;                ///< Requests that are queued on the engine.
    std::vector<wire::adapter_copy_t> copies; ///< Loaded models and adapters.
    std::vector<wire::adapter_copy_t> loading; ///< Adapters that are being loaded.
};

} // namespace siskindrift::adapters
