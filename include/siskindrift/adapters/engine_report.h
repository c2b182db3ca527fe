// What an engine says of itself, as of a moment some hundred milliseconds ago.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "siskindrift/wire/messages.h"

namespace siskindrift::adapters {

/// One report of an engine.
struct engine_report {
    std::uint64_t born_ms = 0;            ///< Start of the engine's process; 0 when it isn't said.
    std::uint64_t orders_accepted = 0;    ///< Grows with each order that the engine took on.
    bool model_order_in_progress = false; ///< An order on a whole model is under way.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<wire::adapter_copy_t> copies;  ///< Models, and adapters, that are loaded.
    std::vector<wire::adapter_copy_t> loading; ///< Adapters on their way.
};

} // namespace siskindrift::adapters
