// The interface through which `entry_core` acts on its environment.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/ids.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/requests/request.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::requests {

/// Identifies one open caller request at this VM; 0 stands for none.
using caller_id = std::uint64_t;
/// Identifies one HTTP call to an upstream; 0 stands for none.
using call_id = std::uint64_t;

/// An HTTP call to an upstream that is to be started.
struct upstream_call {
    call_id id = 0;
    std::string address; ///< IP:port of the upstream.
    std::string method = "POST";
    std::string path;
    std::string content_type = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool repeatable = false; ///< May be sent on an idle connection, which may turn out closed.
    core::duration head_timeout{};     ///< Longest wait for the response head.
    core::duration progress_timeout{}; ///< Longest time without data after it.
    core::duration total_timeout{};    ///< Longest time until the end of the response; zero: none.
};

/// How a call to an upstream ended.
enum class call_end : std::uint8_t {
    complete, ///< The response is complete by its HTTP framing.
    closed,   ///< The response is complete if its body lasts until the connection closes.
    not_sent, ///< No byte of the request was sent.
    lost,     ///< The connection broke.
    silent,   ///< `head_timeout` or `progress_timeout` expired.
};

/// Head of an upstream's response.
struct call_head {
    std::uint16_t status = 0;
    std::string content_type;
    std::string request_id;   ///< Request id that the upstream echoed; empty without one.
    bool retry_after = false; ///< Has a Retry-After header.
};

/// Effects of an `entry_core`. Implementations must not call back into the core.
class entry_outputs {
public:
    entry_outputs() = default;
    entry_outputs(const entry_outputs&) = delete;
    entry_outputs& operator=(const entry_outputs&) = delete;
    virtual ~entry_outputs() = default;

    /// Sends @p message to another VM at its inner address @p address.
    virtual void send_peer(const std::string& address, wire::envelope_t message) = 0;
    /// Sends @p request to the control replica at @p address.
    virtual void send_control(const std::string& address, wire::control_request_t request) = 0;
    /// Starts an HTTP call; its progress arrives at `entry_core::on_call_...`.
    virtual void start_call(upstream_call call) = 0;
    /// Cancels a call. The core ignores events that still arrive for it.
    virtual void cancel_call(call_id call) = 0;
    /// Sends a piece of generated text to the caller of a streamed request.
    virtual void stream_piece(caller_id caller, const caller_request& request,
                              const std::string& text) = 0;
    /// Sends the final response and forgets the caller.
    virtual void finish(caller_id caller, const caller_request& request,
                        final_response response) = 0;
    /// Opens and keeps a connection to @p address, or stops keeping it.
    virtual void keep_peer_connected(const std::string& address, bool keep) = 0;
    /// Stores the configuration for the next start.
    /// @param whole the complete configuration.
    virtual void store_config(const wire::config_page_t& whole) = 0;
    /// Counts one refusal, retry or failure by its reason.
    virtual void count_reason(core::reason why) = 0;
    /// Increments the counter metric @p name.
    virtual void increment_counter(const char* name) = 0;
    /// Records a duration in the histogram metric @p name.
    virtual void observe_ms(const char* name, double milliseconds) = 0;
};

} // namespace siskindrift::requests
