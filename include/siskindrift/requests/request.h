// A caller's request after it was checked, and the parts of an answer.
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

enum class route : std::uint8_t { completions, chat, service };

/// What the HTTP layer read, before any check.
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

/// A request that may be admitted.
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
    bool idempotent_specified = false; ///< The caller said so; otherwise the service decides.
    std::optional<std::uint8_t> priority;
    std::optional<core::duration> deadline;
    std::uint32_t max_tokens = 0;
    std::string key; ///< Idempotency key; empty when the caller gave none.
    std::uint64_t key_time_ms = 0;
    std::uint64_t body_hash = 0;
};

/// Why a request can't be admitted, with the HTTP status for it.
struct refusal {
    std::uint16_t status = 400;
    core::outcome outcome;
    std::string message;
};

/// The end of a request.
struct final_response {
    core::outcome outcome;
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::string body; ///< Whole body where nothing was streamed before.
    std::string message;
    std::uint32_t retry_after_ms = 0;
    std::uint32_t stall_ms = 0;
};

/// Returns the request that @p raw asks for; @p why is filled when none is returned.
/// Team and limits are not looked at here.
[[nodiscard]] std::optional<caller_request> parse_request(const raw_request& raw, refusal& why);

/// Returns the HTTP status that callers get for @p result.
[[nodiscard]] std::uint16_t http_status_of(core::outcome result);

/// Returns the body of an error in the OpenAI shape with verdict and reason.
[[nodiscard]] std::string error_body(core::outcome result, std::string_view message,
                                     std::string_view request_id);

/// Returns one server-sent event with a piece of text.
[[nodiscard]] std::string stream_event(const caller_request& request, std::string_view text);
/// Returns the events that end a stream: the verdict, then the end marker if it ran.
[[nodiscard]] std::string stream_end_events(const caller_request& request,
                                            const final_response& answer);
/// Returns the whole answer of a request that was not streamed.
[[nodiscard]] std::string response_body(const caller_request& request, std::string_view text,
                                        std::uint32_t tokens);

/// Returns the body to send so that generation goes on after @p delivered.
[[nodiscard]] std::string resume_body(const std::string& body, bool chat,
                                      std::string_view delivered, std::uint32_t tokens);

/// One event of a model's stream.
struct model_event {
    std::string model;
    std::string text;
    bool finished = false; ///< A finish reason was given.
};

/// Returns what a `data:` line of a model's stream says, or none when it is no such event.
[[nodiscard]] std::optional<model_event> parse_model_event(std::string_view data);

/// Splits a stream of server-sent events into the values of its `data:` lines.
class sse_data_splitter {
public:
    /// Takes bytes in and returns the data of the events that are now whole.
    std::vector<std::string> feed(std::string_view bytes);
    /// Returns whether more bytes wait than any event may have.
    [[nodiscard]] bool exceeds_event_limit() const;

private:
    std::string m_buffer;
};

} // namespace siskindrift::requests
