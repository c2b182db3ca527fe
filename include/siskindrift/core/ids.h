// Distinct types for the identifiers that components exchange.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace siskindrift::core {

/// A value of type @p Rep. Types with different tags do not convert to each other.
template <class Tag, class Rep>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(Rep value) : m_value(std::move(value)) {}

    /// Returns the underlying value.
    [[nodiscard]] const Rep& value() const { return m_value; }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep m_value{};
};

/// Name of an entry or control VM.
using vm_id = strong_id<struct vm_tag, std::string>;
/// Id of one instance of a model engine or plain service.
using upstream_id = strong_id<struct upstream_tag, std::string>;
/// Id of a client account.
using team_id = strong_id<struct team_tag, std::string>;
/// An adapter and its version as "adapter@version", the form that callers send.
using adapter_version = strong_id<struct adapter_version_tag, std::string>;
/// Id of one caller request, unique across all VMs.
using request_id = strong_id<struct request_tag, std::string>;
/// Id of a replica's data folder. A replica that starts on an empty disk gets a new one.
using replica_id = strong_id<struct replica_tag, std::uint64_t>;
/// Revision number of the accepted configuration.
using config_revision = strong_id<struct revision_tag, std::uint64_t>;

} // namespace siskindrift::core

template <class Tag, class Rep>
struct std::hash<siskindrift::core::strong_id<Tag, Rep>> {
    std::size_t operator()(const siskindrift::core::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
