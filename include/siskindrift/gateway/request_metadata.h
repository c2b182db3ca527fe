// What the headers of a request and of an upstream's answer say, in the product's own terms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// A part of a prompt; requests share parts.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller says about its request.
struct request_metadata {
    std::string request_id;
    std::optional<core::duration> deadline; ///< How long the caller waits, from its arrival.
    std::string model;                      ///< Empty where the request names none.
    std::string adapter;                    ///< Empty for the base model.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< Most tokens to generate.
    std::vector<prompt_part> prompt;
    std::string last_event_id; ///< Id of the last event that the caller has, or empty.
};

/// How busy an upstream said it was.
struct upstream_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of an upstream's answer says.
struct response_metadata {
    bool not_executed = false;    ///< The upstream states that it did not run the request.
    bool sealed = false;          ///< The answer is the upstream's own.
    bool content_encoded = false; ///< The body was changed on its way.
    std::optional<upstream_load> load;
};

} // namespace siskindrift::gateway
