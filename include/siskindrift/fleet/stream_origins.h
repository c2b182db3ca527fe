// Which software version of the upstreams began each stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/fleet/software_history.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::fleet {

/// Parameters of a table of stream origins.
struct stream_origins_options {
    /// Longest time for which an origin is kept, whatever its sender asks for.
    core::duration max_lifetime = core::milliseconds{120'000};
    /// Bounds the memory of a process that is told of more streams than it can keep.
    std::size_t max_origins = 100'000;
};

/// Keeps, by the id of the attempt that brought the first event, the software version that began a
/// stream, for as long as the stream may last. Performs no I/O.
///
/// The version is recorded when the request is sent, so it may change until the first event: of two
/// origins the one with the higher attempt counts.
class stream_origins {
public:
    explicit stream_origins(stream_origins_options options = {}) : m_options(options) {}

    /// Records an origin.
    /// @param own this process sent the request itself.
    /// @return whether an older origin had to be dropped for it.
    bool record(const wire::stream_origin_t& origin, bool own, core::time_point now);

    /// Returns the origin of the stream that @p request began, or null if it is not known.
    [[nodiscard]] const wire::stream_origin_t* find(const std::string& request,
                                                    core::time_point now) const;

    /// Returns the origins of @p service that this process recorded as its own, with the rest of
    /// their lifetimes.
    [[nodiscard]] std::vector<wire::stream_origin_t> own_origins(const std::string& service,
                                                                 core::time_point now) const;

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        wire::stream_origin_t origin;
        bool own = false;
        core::time_point expires{};
    };

    void remove_expired(core::time_point now);

    stream_origins_options m_options;
    std::map<std::string, entry> m_entries;                     ///< By request id.
    std::multimap<core::time_point, std::string> m_expirations; ///< Request ids by expiry.
};

/// Returns what this process knows of the stream that @p query asks for.
[[nodiscard]] wire::stream_origin_answer_t
make_origin_answer(const wire::stream_origin_query_t& query, const stream_origins& origins,
                   const software_history& history, core::time_point now);

} // namespace siskindrift::fleet
