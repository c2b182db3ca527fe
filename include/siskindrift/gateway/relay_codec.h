// What gateways tell each other about a request that one passes on to another.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "siskindrift/core/verdict.h"
#include "siskindrift/gateway/upstream_pool.h"
#include "siskindrift/http/server.h"

namespace siskindrift::gateway {

/// State of a request that is passed on to another gateway.
struct relay_request {
    unsigned attempts_sent = 0; ///< Attempts that were sent to upstreams so far.
    unsigned may_have_run = 0;  ///< Upstreams that may have executed it so far.
    std::set<std::string> tried_upstreams;
    std::optional<software_pin> pin; ///< Of a stream that has begun.
    /// The sending gateway has counted the next attempt in its retry budget, if that is a retry.
    bool counted = false;
};

/// State of a request when the other gateway answers it.
struct relay_answer {
    /// Set if the answer is the gateway's own; otherwise it is an upstream's.
    std::optional<core::verdict> own_verdict;
    core::reason reason = core::reason::none; ///< Of an answer of its own.
    unsigned attempts_sent = 0;
    unsigned may_have_run = 0;
    std::string software_version; ///< Of the upstream that answers.
    std::string upstream;         ///< Id of that upstream.
    std::uint64_t born_ms = 0;    ///< Start of its run.
};

/// Returns the headers that carry @p request.
[[nodiscard]] http::header_list encode_relay_request(const relay_request& request);
/// Returns what the headers of a request carry, or none if it wasn't passed on by a gateway.
[[nodiscard]] std::optional<relay_request> decode_relay_request(const http::header_list& headers);
/// Returns the headers that carry @p answer.
[[nodiscard]] http::header_list encode_relay_answer(const relay_answer& answer);
/// Returns what the headers of an answer carry, or none if they are incomplete.
[[nodiscard]] std::optional<relay_answer> decode_relay_answer(const http::header_list& headers);

/// Removes all headers that only gateways may send to each other.
void remove_relay_headers(http::header_list& headers);

} // namespace siskindrift::gateway
