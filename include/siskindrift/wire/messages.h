// The generated message types and helpers that build them.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#include "siskindrift/wire/generated/inner_generated.h"
#pragma GCC diagnostic pop

namespace siskindrift::wire {

/// Returns an envelope that contains @p body.
template <class Body>
[[nodiscard]] envelope_t make_envelope(Body body)
{
    envelope_t result;
    result.body.Set(std::move(body));
    return result;
}

/// Returns a control request that contains @p body.
template <class Body>
[[nodiscard]] control_request_t make_control_request(Body body)
{
    control_request_t result;
    result.body.Set(std::move(body));
    return result;
}

/// Appends @p value to a vector of tables.
template <class Native>
void append(std::vector<std::unique_ptr<Native>>& to, Native value)
{
    to.push_back(std::make_unique<Native>(std::move(value)));
}

} // namespace siskindrift::wire
