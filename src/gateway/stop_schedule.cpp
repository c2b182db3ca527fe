#include "siskindrift/gateway/stop_schedule.h"

namespace siskindrift::gateway {
namespace {

// Largest parts of the grace that the margins take.
constexpr int exit_margin_divisor = 4;
constexpr int answer_margin_divisor = 8;
// A request that is taken has at least half of the time until open requests are ended.
constexpr int accept_divisor = 2;

} // namespace

stop_schedule::stop_schedule(core::time_point begun_at, core::duration grace,
                             stop_schedule_options options)
    : m_begun_at(begun_at), m_grace(grace), m_options(options),
      m_exit_at(begun_at + grace - std::min(options.exit_margin, grace / exit_margin_divisor))
{
    m_answers_end = m_exit_at - std::min(options.answer_margin, grace / answer_margin_divisor);
    m_accepts_until =
        begun_at + std::min(options.accept_time, (m_answers_end - begun_at) / accept_divisor);
    m_serves_until = std::min(begun_at + options.min_serve_time, m_answers_end);
}

} // namespace siskindrift::gateway
