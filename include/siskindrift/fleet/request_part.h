// Names of what requests have in common, under which gateways and the leader count crashes.
#pragma once

#include <string>
#include <string_view>

namespace siskindrift::fleet {

/// Marks the name of a whole request, after the name of its service.
inline constexpr std::string_view whole_request_mark = ":=";

/// Returns the name of a prompt part within a service.
[[nodiscard]] inline std::string prompt_part_name(const std::string& service,
                                                  const std::string& part)
{
    return service + ":" + part;
}

/// Returns the name of a whole request within a service.
/// @param digest what stays the same when the request comes again.
[[nodiscard]] inline std::string whole_request_name(const std::string& service,
                                                    const std::string& digest)
{
    return service + std::string{whole_request_mark} + digest;
}

/// Returns whether @p name is that of a whole request, not of a prompt part.
[[nodiscard]] inline bool is_whole_request(std::string_view name)
{
    return name.find(whole_request_mark) != std::string_view::npos;
}

/// Returns the service in the name of a prompt part or request.
[[nodiscard]] inline std::string service_of(std::string_view name)
{
    const auto end = name.rfind(':');
    return end == std::string_view::npos ? std::string{} : std::string{name.substr(0, end)};
}

} // namespace siskindrift::fleet
