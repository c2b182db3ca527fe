// Parsing of the announcements that upstreams send over HTTP.
#pragma once

#include <optional>
#include <string>

#include "siskindrift/wire/messages.h"

namespace siskindrift::apps {

/// Parses an announcement. Fields that are missing or have another type get an empty text or 0.
/// @param body JSON object.
/// @return the announcement, or none if the body is no JSON object, the upstream has no id or its
///         address is not "IP:port".
[[nodiscard]] std::optional<wire::announcement_t> read_announcement(const std::string& body);

} // namespace siskindrift::apps
