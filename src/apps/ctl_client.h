// Blocking requests to the system's processes, for an operator's shell.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/error_message.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::apps {

/// Sends one message to @p address and waits for the answer.
[[nodiscard]] std::optional<wire::envelope_t>
ask(const std::string& address, const wire::envelope_t& message, core::error_message& why);

/// Finds the leader among control replicas and puts requests to it.
class control_connection {
public:
    control_connection(std::vector<std::string> addresses, std::string token)
        : m_addresses(std::move(addresses)), m_token(std::move(token))
    {
    }

    /// Puts a request to the leader; tries others and waits for an election when needed.
    /// The request must be one that may be repeated.
    [[nodiscard]] std::optional<wire::control_reply_t> put(wire::control_request_t request,
                                                           core::error_message& why);
    /// Puts a request to one replica, whether it leads or not.
    [[nodiscard]] std::optional<wire::control_reply_t>
    put_to(const std::string& address, wire::control_request_t request, core::error_message& why);
    [[nodiscard]] const std::vector<std::string>& addresses() const { return m_addresses; }

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
    std::string m_leader;
};

} // namespace siskindrift::apps
