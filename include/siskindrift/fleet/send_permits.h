// Times on which gateways and the leading coordinator agree when they share an upstream's limit.
#pragma once

#include "siskindrift/core/clock.h"
#include "siskindrift/core/request_rate.h"

namespace siskindrift::fleet {

/// How long a gateway may use a permit after it asked for it. With `late_arrival_limit` it bounds
/// how many requests that were permitted earlier arrive in a window.
inline constexpr core::milliseconds send_permit_lifetime{500};

/// Lower limits are treated as this one, so that an answer can tell when the limit ends.
inline constexpr core::request_rate min_limit{0.1};
/// Higher limits are treated as none.
inline constexpr core::request_rate max_limit{10'000};

} // namespace siskindrift::fleet
