// Announcements of upstreams as they arrive over HTTP.
#pragma once

#include <optional>
#include <string>

#include "siskindrift/wire/messages.h"

namespace siskindrift::apps {

/// Returns the announcement in a JSON body, or none when it names no upstream or address.
[[nodiscard]] std::optional<wire::announcement_t> read_announcement(const std::string& body);

} // namespace siskindrift::apps
