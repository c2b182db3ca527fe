// Schedules a gateway's requests for the deployment document.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Decides when a gateway requests the deployment document and from which coordinator.
/// Performs no I/O.
///
/// The applied version never decreases. A request that is not answered in time is repeated,
/// possibly to the same coordinator, because connections and answers can be lost.
class document_follower {
public:
    /// @param answer_timeout time after which an unanswered request is repeated.
    explicit document_follower(core::duration answer_timeout = core::milliseconds{300})
        : m_answer_timeout(answer_timeout)
    {
    }

    /// Records the document version that the coordinator at @p address offers.
    void set_offered_version(const std::string& address, std::uint64_t version);
    /// Handles the loss of the connection to @p address: no answer is expected from it.
    void on_disconnect(const std::string& address);
    /// Records that this gateway has applied document @p version.
    void set_applied_version(std::uint64_t version);

    /// Returns the address of the coordinator to request the document from now and records the
    /// request, or `std::nullopt` if nothing is to be requested.
    [[nodiscard]] std::optional<std::string> next_source(core::time_point now);

private:
    core::duration m_answer_timeout;
    std::map<std::string, std::uint64_t> m_offered_versions; ///< By coordinator address.
    std::uint64_t m_applied_version = 0;
    std::uint64_t m_requested_version = 0; ///< 0 if no answer is pending.
    std::string m_requested_from;
    core::time_point m_requested_at{};
};

} // namespace siskindrift::gateway
