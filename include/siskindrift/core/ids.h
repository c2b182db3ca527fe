// Strong types for the identifiers that cross package borders.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace siskindrift::core {

/// Wraps a representation so that values of different tags do not mix.
template <class Tag, class Rep>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(Rep value) : m_value(std::move(value)) {}

    /// Returns the wrapped representation.
    [[nodiscard]] const Rep& value() const { return m_value; }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep m_value{};
};

/// One entry or control VM.
using vm_id = strong_id<struct vm_tag, std::string>;
/// One model engine or plain service instance.
using upstream_id = strong_id<struct upstream_tag, std::string>;
/// One customer of the deployment.
using team_id = strong_id<struct team_tag, std::string>;
/// "adapter@version", exactly as callers name it.
using adapter_version = strong_id<struct adapter_version_tag, std::string>;
/// One caller request, unique over all VMs.
using request_id = strong_id<struct request_tag, std::string>;
/// Identity of a replica's data folder; an empty disk draws a new one.
using replica_id = strong_id<struct replica_tag, std::uint64_t>;
/// Revision of the accepted configuration.
using config_revision = strong_id<struct revision_tag, std::uint64_t>;

} // namespace siskindrift::core

template <class Tag, class Rep>
struct std::hash<siskindrift::core::strong_id<Tag, Rep>> {
    std::size_t operator()(const siskindrift::core::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
