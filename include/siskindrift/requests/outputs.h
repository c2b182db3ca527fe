// What the decision code of an entry VM asks of its surroundings.
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

/// Names one caller's open request at this VM.
using caller_id = std::uint64_t;
/// Names one HTTP call to an upstream.
using call_id = std::uint64_t;

/// An HTTP call to an upstream.
struct upstream_call {
    call_id id = 0;
    std::string address;
    std::string method = "POST";
    std::string path;
    std::string content_type = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool repeatable = false;           ///< May use an idle connection.
    core::duration head_timeout{};     ///< Longest wait for the head of the answer.
    core::duration progress_timeout{}; ///< Longest silence after it.
};

/// How a call to an upstream ended.
enum class call_end : std::uint8_t {
    complete, ///< The answer is whole by its framing.
    not_sent, ///< No byte of the request left.
    lost,     ///< The connection broke.
    silent,   ///< A limit passed without progress.
};

/// Head of an upstream's answer.
struct call_head {
    std::uint16_t status = 0;
    std::string content_type;
    std::string request_id; ///< Echo of the request's id; empty when there is none.
    bool retry_after = false;
};

/// Surroundings of an `entry_core`. Calls must not call back into the core.
class entry_outputs {
public:
    entry_outputs() = default;
    entry_outputs(const entry_outputs&) = delete;
    entry_outputs& operator=(const entry_outputs&) = delete;
    virtual ~entry_outputs() = default;

    virtual void send_peer(const std::string& address, wire::envelope_t message) = 0;
    virtual void send_control(const std::string& address, wire::control_request_t request) = 0;
    virtual void start_call(upstream_call call) = 0;
    virtual void cancel_call(call_id call) = 0;
    virtual void stream_piece(caller_id caller, const caller_request& request,
                              const std::string& text) = 0;
    virtual void finish(caller_id caller, const caller_request& request, final_response answer) = 0;
    virtual void keep_peer(const std::string& address, bool keep) = 0;
    virtual void store_config(const wire::config_page_t& whole) = 0;
    virtual void count_reason(core::reason why) = 0;
    virtual void increment_counter(const char* name) = 0;
    virtual void observe_ms(const char* name, double milliseconds) = 0;
};

} // namespace siskindrift::requests
