// Remembers which adapters have been requested without being served.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::adapters {

/// Parameters of the memory of unserved adapters.
struct unserved_adapters_options {
    /// Time after its last request after which an adapter is forgotten.
    core::duration memory_time = core::milliseconds{60'000};
    /// Bounds the memory. Beyond it, those that were requested longest ago are forgotten.
    std::size_t max_adapters = 4096;
    /// Interval between two removals of forgotten adapters.
    core::duration cleanup_interval = core::milliseconds{5000};
};

/// For each adapter that was requested since it was last served: since when, and how often. It
/// outlasts the requests, so that an adapter whose requests give up one after the other doesn't
/// start to wait anew with each of them. Performs no I/O.
class unserved_adapters {
public:
    /// A base model and one of its adapters.
    using adapter_name = std::pair<std::string, std::string>;
    /// The requests for an adapter since it was last served.
    struct unserved_requests {
        core::time_point since{}; ///< Arrival of the first one.
        std::uint32_t count = 0;
    };

    explicit unserved_adapters(unserved_adapters_options options = {}) : m_options(options) {}

    /// Records requests for the adapter that aren't served yet.
    /// @param since arrival of the first of them.
    void record_requests(const adapter_name& name, core::time_point since, core::time_point now,
                         std::uint32_t count = 1);
    /// Records that a request for the adapter is served.
    void record_served(const adapter_name& name) { m_adapters.erase(name); }
    /// Returns the requests for the adapter since it was last served, or null if there were none.
    [[nodiscard]] const unserved_requests* find(const adapter_name& name) const;
    /// Returns all adapters that wait to be served.
    [[nodiscard]] std::vector<std::pair<adapter_name, unserved_requests>> all() const;

private:
    struct entry {
        unserved_requests requests;
        core::time_point last_requested{};
    };
    void remove_forgotten(core::time_point now);

    unserved_adapters_options m_options;
    std::map<adapter_name, entry> m_adapters;
    core::time_point m_cleanup_due{};
};

} // namespace siskindrift::adapters
