// Recognizes a request that comes again.
#pragma once

#include <string>

#include "siskindrift/http/server.h"

namespace siskindrift::gateway {

/// Returns a digest of what stays the same when a request comes again: method, host, path with
/// query, credentials and body. Ids, deadlines and prompts may differ.
[[nodiscard]] std::string request_digest(const http::server_request& request);

} // namespace siskindrift::gateway
