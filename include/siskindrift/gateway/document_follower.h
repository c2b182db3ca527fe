// Follows the deployment document: which coordinator to ask for it, and when again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Decides when a gateway asks for the document. Pure.
///
/// The version held only grows. A question whose answer does not come is asked again, also of
/// the same coordinator: connections and answers may be lost.
class document_follower {
public:
    /// @param patience how long an answer may take before the question is asked again.
    explicit document_follower(core::duration patience = core::milliseconds{300})
        : m_patience(patience)
    {
    }

    /// Takes the version that the coordinator at @p address holds.
    void set_offered_version(const std::string& address, std::uint64_t version);
    /// The connection to @p address ended; an answer on its way is lost.
    void on_disconnect(const std::string& address);
    /// The document of @p version is in force here.
    void set_applied_version(std::uint64_t version);

    /// Returns whom to ask now, or none.
    [[nodiscard]] std::optional<std::string> next_source(core::time_point now);

private:
    core::duration m_patience;
    std::map<std::string, std::uint64_t> m_offers;
    std::uint64_t m_held = 0;
    std::uint64_t m_asked = 0; ///< Version asked for, or 0 when no answer is awaited.
    std::string m_asked_of;
    core::time_point m_asked_at{};
};

} // namespace siskindrift::gateway
