// The outcome of a request: whether it may have run, and the reason.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace siskindrift::core {

/// Says whether a request may have run.
enum class verdict : std::uint8_t {
    ran,          ///< It ran, and the caller gets the complete response.
    not_run,      ///< It did not run, and never will under this request id.
    may_have_run, ///< Neither can be proven.
};

// All reasons. The identifiers are also the texts in responses and metrics, and their order gives
// the numbers on the wire.
#define SISKINDRIFT_REASONS(X)                                                                     \
    X(none)                                                                                        \
    X(bad_request)                                                                                 \
    X(body_too_large)                                                                              \
    X(unauthorized)                                                                                \
    X(forbidden)                                                                                   \
    X(unknown_route)                                                                               \
    X(unknown_model)                                                                               \
    X(unknown_service)                                                                             \
    X(key_required)                                                                                \
    X(key_malformed)                                                                               \
    X(key_expired)                                                                                 \
    X(key_in_future)                                                                               \
    X(key_reused_with_other_body)                                                                  \
    X(claim_held)                                                                                  \
    X(team_rate_limit)                                                                             \
    X(team_concurrency_limit)                                                                      \
    X(team_queue_limit)                                                                            \
    X(config_unconfirmed)                                                                          \
    X(control_unavailable)                                                                         \
    X(no_upstream)                                                                                 \
    X(not_owner)                                                                                   \
    X(lease_expired)                                                                               \
    X(upstream_stale)                                                                              \
    X(upstream_leaving)                                                                            \
    X(upstream_restarted)                                                                          \
    X(upstream_refused)                                                                            \
    X(upstream_unreachable)                                                                        \
    X(upstream_lost)                                                                               \
    X(upstream_silent)                                                                             \
    X(upstream_error)                                                                              \
    X(answer_crossed)                                                                              \
    X(answer_wrong_adapter)                                                                        \
    X(answer_incomplete)                                                                           \
    X(load_failed)                                                                                 \
    X(queue_full)                                                                                  \
    X(deadline_unreachable)                                                                        \
    X(deadline_passed)                                                                             \
    X(abandoned)                                                                                   \
    X(vm_restarted)                                                                                \
    X(vm_unreachable)                                                                              \
    X(vm_draining)                                                                                 \
    X(retry_budget)                                                                                \
    X(attempts_exhausted)                                                                          \
    X(crashing_prompt)                                                                             \
    X(crashing_request)                                                                            \
    X(upstream_limit)                                                                              \
    X(caller_left)                                                                                 \
    X(caller_too_slow)                                                                             \
    X(malformed_frame)                                                                             \
    X(unknown_version)                                                                             \
    X(stream_origin_unknown)                                                                       \
    X(software_version_gone)                                                                       \
    X(adapter_too_large)                                                                           \
    X(memory_limit)                                                                                \
    X(connection_limit)

/// Machine-readable reason of a refusal, a retry or a failure.
enum class reason : std::uint16_t {
#define SISKINDRIFT_REASON_ENUM(name) name,
    SISKINDRIFT_REASONS(SISKINDRIFT_REASON_ENUM)
#undef SISKINDRIFT_REASON_ENUM
        count
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// Returns the text of @p value as it appears in responses.
[[nodiscard]] std::string_view to_string(verdict value);
/// Returns the text of @p value as it appears in responses and metrics.
[[nodiscard]] std::string_view to_string(reason value);
/// Returns the verdict with wire value @p number, or none when there is none.
[[nodiscard]] std::optional<verdict> verdict_from(std::uint8_t number);
/// Returns the reason with wire value @p number, or `reason::none` when there is none.
[[nodiscard]] reason reason_from(std::uint16_t number);

/// The verdict about a request or an attempt, and its reason.
struct outcome {
    core::verdict verdict = core::verdict::not_run;
    core::reason reason = core::reason::none;

    friend bool operator==(const outcome&, const outcome&) = default;
};

/// Returns whether another attempt may be made after one with outcome @p value.
/// @param idempotent whether the caller allows the request to run twice.
[[nodiscard]] constexpr bool may_retry(outcome value, bool idempotent)
{
    return value.verdict == verdict::not_run ||
           (idempotent && value.verdict == verdict::may_have_run);
}

/// Counters by reason. Not thread-safe.
class reason_counters {
public:
    /// Increments the counter of @p value.
    void add(reason value) { ++m_counts[static_cast<std::size_t>(value)]; }
    /// Returns how often @p value was added.
    [[nodiscard]] std::uint64_t of(reason value) const
    {
        return m_counts[static_cast<std::size_t>(value)];
    }

private:
    std::array<std::uint64_t, reason_count> m_counts{};
};

} // namespace siskindrift::core
