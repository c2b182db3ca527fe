// Tracks which adapters engines have held, to predict which of them load from a local cache.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace siskindrift::adapters {

/// Identifies an adapter in a history: a hash of its name.
using adapter_key = std::uint64_t;

/// The adapters that one engine has held, by their latest load or announcement.
class adapter_history {
public:
    /// Records that the engine holds the adapter. The oldest entry is dropped beyond a limit.
    void record(adapter_key key);
    /// Returns the number of adapters recorded after @p key, or none if @p key isn't recorded.
    [[nodiscard]] std::optional<std::size_t> age(adapter_key key) const;

private:
    std::vector<adapter_key> m_keys; ///< Latest last.
};

/// Parameters of the cache size estimate.
struct cache_size_options {
    /// Estimate before anything is known about the engines.
    double initial = 40;
    /// Lower bound of the estimate.
    double min = 8;
    /// Weight of one load that took longer than a load from the cache.
    double slow_load_weight = 0.1;
    /// Multiple of the estimate up to which an adapter may still be in the cache.
    double uncertain_range = 2;
};

/// Learns how many of the adapters that they have held engines keep in their local cache, by how
/// long loads take. Performs no I/O.
class cache_size_estimate {
public:
    explicit cache_size_estimate(cache_size_options options = {})
        : m_options(options), m_size(options.initial)
    {
    }

    /// Returns whether an adapter of this age is probably in the cache.
    [[nodiscard]] bool is_cached(std::optional<std::size_t> age) const;
    /// Returns whether an adapter of this age may be in the cache.
    [[nodiscard]] bool may_be_cached(std::optional<std::size_t> age) const;
    /// Updates the estimate by a completed load.
    /// @param age age of the adapter when its load began.
    /// @param cached whether the load was as fast as one from the cache.
    void on_load(std::size_t age, bool cached);

private:
    cache_size_options m_options;
    double m_size;
};

} // namespace siskindrift::adapters
