#include "siskindrift/gateway/adapter_wish.h"

#include <algorithm>

namespace siskindrift::gateway {
namespace {

// Share of an objective after which a request without its adapter is late: the rest is needed for
// the load and the prompt.
constexpr double late_share = 0.5;

std::uint32_t ms_until(core::time_point time, core::time_point now)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_ms(time - now), 0));
}

} // namespace

void add_waiting(wire::adapter_wish_t& wish, const waiting_request& request, core::time_point now)
{
    const auto left = ms_until(request.deadline, now);
    wish.left_ms = wish.waiting == 0 ? left : std::min(wish.left_ms, left);
    ++wish.waiting;
    wish.prompt_tokens += request.prompt_tokens;
    const auto late_at = request.arrived +
                         std::chrono::duration_cast<core::duration>(request.objective * late_share);
    if (now >= late_at) {
        ++wish.late;
    }
    else {
        wish.timely_ms = std::min(wish.timely_ms, ms_until(late_at, now));
    }
}

} // namespace siskindrift::gateway
