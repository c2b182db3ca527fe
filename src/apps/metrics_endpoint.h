// Serves a process's metrics as text.
#pragma once

#include <functional>
#include <string>

#include "siskindrift/http/server.h"
#include "siskindrift/observe/metrics.h"

namespace siskindrift::apps {

/// Answers every request on one address with the metrics.
class metrics_endpoint final : public http::server_handler {
public:
    /// @param refresh sets the gauges before each answer.
    metrics_endpoint(boost::asio::io_context& context, observe::metrics& shown,
                     std::function<void(observe::metrics&)> refresh);

    /// Starts listening; an empty @p address serves nothing. Returns false with the reason in
    /// @p error.
    bool listen(const std::string& address, std::string& error);

    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> answer) override;
    void on_left(std::uint64_t) override {}
    void on_refused(core::reason why) override;

private:
    observe::metrics& m_shown;
    std::function<void(observe::metrics&)> m_refresh;
    http::server m_server;
};

} // namespace siskindrift::apps
