// Times on which gateways and the leading coordinator agree when they share the retry budget.
#pragma once

#include "siskindrift/core/clock.h"

namespace siskindrift::fleet {

/// A request that its sender has given up reaches an upstream that runs at most this much later.
inline constexpr core::milliseconds late_arrival_limit{1000};

/// Time after which a request that got no answer counts as received, if nothing has shown it.
inline constexpr core::milliseconds max_unanswered_time{60'000};

/// How long a gateway may use its share of the extra retries after it asked the leader for it.
inline constexpr core::milliseconds retry_share_lease{60'000};

/// Returns how long retries count that were sent by a process that has ended or that used a larger
/// share before: until the last of them has arrived and left the window.
[[nodiscard]] inline core::duration retry_quarantine(core::duration window)
{
    return window + late_arrival_limit;
}

} // namespace siskindrift::fleet
