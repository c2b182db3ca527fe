// Rate of requests.
#pragma once

#include <compare>

namespace siskindrift::core {

/// A rate of requests.
struct request_rate {
    double per_s = 0; ///< In requests per second.

    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

} // namespace siskindrift::core
