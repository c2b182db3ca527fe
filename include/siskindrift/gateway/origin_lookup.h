// Decides at which software version a stream that a caller takes up goes on.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/fleet/software_history.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// How the software version of a stream is known.
enum class origin_source : std::uint8_t {
    own,          ///< This gateway sent the request that began the stream.
    told,         ///< Another process was told by the gateway that began it.
    only_version, ///< No other version has served for as long as streams last.
    unknown,      ///< It is not known.
};

/// Returns the name of @p source for logs.
[[nodiscard]] std::string_view to_string(origin_source source);

/// The software version that a stream goes on at.
struct origin_decision {
    origin_source source = origin_source::unknown;
    std::string software_version;  ///< Unless the source is `unknown`.
    bool may_become_known = false; ///< Nobody has seen several versions, but nobody is sure.
};

/// Collects what other processes know of the origin of one stream. Performs no I/O.
class origin_lookup {
public:
    /// @param exchange id of the exchange that waits.
    /// @param asked number of processes that were asked.
    /// @param coordinators number of coordinators of the deployment, asked or not.
    origin_lookup(std::uint64_t exchange, std::size_t asked, std::size_t coordinators)
        : m_exchange(exchange), m_asked(asked), m_coordinators(coordinators)
    {
    }

    [[nodiscard]] std::uint64_t exchange() const { return m_exchange; }
    /// Adds an answer.
    /// @param from_coordinator whether a coordinator sent it; else a gateway did.
    /// @return whether all processes have answered.
    bool add_answer(const wire::stream_origin_answer_t& answer, bool from_coordinator);

    /// Decides by the answers that have arrived.
    /// @param own what this gateway knows of the versions of the service.
    [[nodiscard]] origin_decision decide(const fleet::software_versions& own) const;

private:
    std::uint64_t m_exchange;
    std::size_t m_asked;
    std::size_t m_coordinators;
    std::size_t m_sure_coordinators = 0; ///< Those that know of one version only.
    bool m_leader_is_sure = false;
    std::vector<wire::stream_origin_answer_t> m_answers;
};

} // namespace siskindrift::gateway
