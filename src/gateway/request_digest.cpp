#include "siskindrift/gateway/request_digest.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace siskindrift::gateway {

std::string request_digest(const http::server_request& request)
{
    const auto body = XXH3_128bits(request.body.data(), request.body.size());
    std::string identity = request.method;
    for (const auto& text :
         {request.header("Host"), request.target, request.header("Authorization")}) {
        identity += '\0';
        identity += text;
    }
    identity += '\0';
    identity += std::to_string(body.high64) + ',' + std::to_string(body.low64);
    const auto hash = XXH3_128bits(identity.data(), identity.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

} // namespace siskindrift::gateway
