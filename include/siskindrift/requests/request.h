// Parsed caller requests, and the bodies and events of responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/verdict.h"

namespace siskindrift::requests {

/// The API that a request uses.
enum class route : std::uint8_t { completions, chat, service };

/// The unchecked parts of an HTTP request.
struct raw_request {
    std::string method;
    std::string target;
    std::string body;
    std::string content_type;
    std::string authorization;
    std::string idempotency_key;
    std::string idempotent;  ///< Value of `Siskindrift-Idempotent`.
    std::string deadline_ms; ///< Value of `Siskindrift-Deadline-Ms`.
    std::string priority;    ///< Value of `Siskindrift-Priority`.
};

/// A request that was parsed and checked for syntax.
struct caller_request {
    core::request_id id;
    route kind = route::completions;
    core::team_id team;
    core::adapter_version adapter; ///< Empty for a plain service.
    std::string service;           ///< Empty for a model.
    std::string method = "POST";
    std::string path; ///< Path on the upstream.
    std::string body; ///< Body for the upstream.
    std::string content_type = "application/json";
    bool stream = false;
    bool idempotent = true;
    /// The caller set `idempotent`; otherwise the service's default is used.
    bool idempotent_specified = false;
    std::optional<std::uint8_t> priority;
    std::optional<core::duration> deadline;
    std::uint32_t max_tokens = 0;
    std::string key;               ///< Idempotency key; empty when the caller gave none.
    std::uint64_t key_time_ms = 0; ///< Creation time that `key` carries, or 0.
    std::uint64_t body_hash = 0;   ///< Of the caller's body and target.
};

/// Why a request is refused, and the HTTP status for it.
struct refusal {
    std::uint16_t status = 400;
    core::outcome outcome;
    std::string message;
};

/// The outcome of a request and the response to its caller.
struct final_response {
    core::outcome outcome;
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::string body; ///< Complete body; unused when pieces were streamed.
    std::string message;
    std::uint32_t retry_after_ms = 0;
    std::uint32_t stall_ms = 0; ///< Time that its attempts waited at their owners.
};

/// Parses a request. The team, its rights and its limits are not checked here.
/// @param[out] why set when no request is returned.
[[nodiscard]] std::optional<caller_request> parse_request(const raw_request& raw, refusal& why);

/// Returns the HTTP status of a response with outcome @p result.
[[nodiscard]] std::uint16_t http_status_of(core::outcome result);

/// Returns an error body in the OpenAI format, extended by verdict, reason and request id.
[[nodiscard]] std::string error_body(core::outcome result, std::string_view message,
                                     std::string_view request_id);

/// Returns the server-sent event for a piece of generated text.
[[nodiscard]] std::string stream_event(const caller_request& request, std::string_view text);
/// Returns the events that end a stream: the verdict, then "[DONE]" if the request ran.
[[nodiscard]] std::string stream_end_events(const caller_request& request,
                                            const final_response& response);
/// Returns the response body of a model request that was not streamed.
/// @param tokens number of generated tokens.
[[nodiscard]] std::string response_body(const caller_request& request, std::string_view text,
                                        std::uint32_t tokens);

/// Returns the text in a body made by `response_body`, or none if it holds none.
[[nodiscard]] std::optional<std::string> response_text(std::string_view body);

/// Returns a request body that continues generation after the text @p delivered.
/// @param tokens tokens in @p delivered; subtracted from the request's max_tokens.
[[nodiscard]] std::string resume_body(const std::string& body, bool chat,
                                      std::string_view delivered, std::uint32_t tokens);

/// One event of a model's stream.
struct model_event {
    std::string model; ///< Empty when the event names none.
    std::string text;
    bool finished = false; ///< Has a finish reason.
};

/// Parses the value of a `data:` line of a model's stream. Returns none when it is not a JSON
/// object.
[[nodiscard]] std::optional<model_event> parse_model_event(std::string_view data);

/// Splits a stream of server-sent events into the values of its `data:` lines.
class sse_data_splitter {
public:
    /// Appends @p bytes and returns the values of the `data:` lines completed by them.
    std::vector<std::string> feed(std::string_view bytes);
    /// Returns whether the incomplete line is longer than any valid event.
    [[nodiscard]] bool exceeds_event_limit() const;

private:
    std::string m_buffer;
};

} // namespace siskindrift::requests
