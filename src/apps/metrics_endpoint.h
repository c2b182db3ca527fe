// HTTP endpoint for the metrics of a process.
#pragma once

#include <functional>
#include <string>

#include "siskindrift/http/server.h"
#include "siskindrift/observe/metrics.h"

namespace siskindrift::apps {

/// Responds to every request on one address with the metrics in Prometheus text format.
class metrics_endpoint final : public http::server_handler {
public:
    /// @param context runs the server; must outlive this object.
    /// @param metrics metrics to expose; must outlive this object.
    /// @param resources what the server shares with the rest of the process.
    /// @param update_gauges sets the gauges before each response.
    metrics_endpoint(boost::asio::io_context& context, observe::metrics& metrics,
                     http::server_resources resources,
                     std::function<void(observe::metrics&)> update_gauges);

    /// Starts listening.
    /// @param address IP:port, or empty to disable the endpoint.
    /// @param error receives the reason on failure.
    /// @return false if the address can't be used.
    bool listen(const std::string& address, std::string& error);

    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_caller_disconnected(std::uint64_t) override {}
    void on_refused(core::reason reason) override;

private:
    observe::metrics& m_metrics;
    std::function<void(observe::metrics&)> m_update_gauges;
    http::server m_server;
};

} // namespace siskindrift::apps
