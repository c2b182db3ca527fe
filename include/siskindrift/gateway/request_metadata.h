// Decoded headers of requests and of upstream responses, independent of the header names.
#pragma once

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/request_rate.h"

namespace siskindrift::gateway {

/// A segment of a prompt prefix that several requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Returns the id of @p part in hexadecimal, as callers write it.
[[nodiscard]] inline std::string to_string(const prompt_part& part)
{
    constexpr std::size_t max_digits = 16;
    std::array<char, max_digits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part.id, 16).ptr;
    return {digits.data(), end};
}

/// Returns the ids of the parts of a prompt, for logs.
[[nodiscard]] inline std::string to_string(const std::vector<prompt_part>& prompt)
{
    std::string text;
    for (const auto& part : prompt) {
        text += (text.empty() ? "" : ",") + to_string(part);
    }
    return text;
}

/// Metadata in the headers of a caller's request.
struct request_metadata {
    std::string request_id;
    std::optional<core::duration> deadline; ///< Relative to the arrival of the request.
    std::string model;                      ///< Empty if the request names none.
    std::string adapter;                    ///< Empty for the base model.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< Maximum number of tokens to generate.
    std::vector<prompt_part> prompt;
    std::string last_event_id; ///< Id of the last event the caller received, or empty.
    /// Id of the caller's attempt that brought the first event of the stream to resume, or empty.
    std::string resumed_request;
};

/// Load that an upstream reported in a response.
struct upstream_load {
    std::uint32_t running = 0; ///< Requests being executed.
    std::uint32_t waiting = 0; ///< Requests in the queue.
    std::uint32_t slots = 0;   ///< Maximum number of requests executed at once.
};

/// Metadata in the headers of an upstream's response.
struct response_metadata {
    bool not_executed = false; ///< The upstream states that it did not execute the request.
    bool sealed = false; ///< Has the seal header, which marks a response of the upstream itself.
    bool content_encoded = false; ///< The body was re-encoded on the way.
    std::optional<upstream_load> load;
    /// Requests that the upstream takes from all gateways together, the lowest if it named several.
    std::optional<core::request_rate> limit;
    bool limit_malformed = false; ///< It named a limit that is no rate.
    /// The upstream fails when it has to reject more than so many requests in a second.
    std::optional<double> rejection_limit;
    bool leaving = false; ///< The upstream is about to end.
    /// The upstream rejected the request, and wants none from this gateway for so long.
    std::optional<core::duration> pause;
};

} // namespace siskindrift::gateway
