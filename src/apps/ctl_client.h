// Blocking requests of siskindrift-ctl to the processes of a deployment.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/error_message.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::apps {

/// Sends one message and waits up to 3 seconds for the response.
/// @param address "IP:port" of the process.
/// @param[out] error what failed if the result is empty.
[[nodiscard]] std::optional<wire::envelope_t> send_request(const std::string& address,
                                                           const wire::envelope_t& message,
                                                           core::error_message& error);

/// Sends requests to the control replicas and finds their leader.
class control_client {
public:
    /// @param addresses addresses of the control replicas; at least one.
    /// @param token operator token that every request carries.
    control_client(std::vector<std::string> addresses, std::string token)
        : m_addresses(std::move(addresses)), m_token(std::move(token))
    {
    }

    /// Sends a request to the leader. Makes up to 60 attempts, also at other replicas, with pauses
    /// of 200 ms, while no replica is reachable, an election is under way or the leader replies
    /// `unavailable`. The request may arrive more than once, so it must be idempotent.
    /// @param[out] error the last failure if the result is empty.
    [[nodiscard]] std::optional<wire::control_reply_t>
    send_to_leader(wire::control_request_t request, core::error_message& error);
    /// Sends a request to one replica, whether or not it is the leader.
    /// @param[out] error what failed if the result is empty.
    [[nodiscard]] std::optional<wire::control_reply_t> send_to(const std::string& address,
                                                               wire::control_request_t request,
                                                               core::error_message& error);
    [[nodiscard]] const std::vector<std::string>& addresses() const { return m_addresses; }

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
    std::string m_leader_address; ///< Empty if not known.
};

} // namespace siskindrift::apps
