#include "metrics_endpoint.h"

#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::size_t max_body_bytes = 64UL * 1024; // requests have no body

http::server_limits limits()
{
    http::server_limits result;
    result.max_body_bytes = max_body_bytes;
    return result;
}

} // namespace

metrics_endpoint::metrics_endpoint(boost::asio::io_context& context, observe::metrics& metrics,
                                   http::server_resources resources,
                                   std::function<void(observe::metrics&)> update_gauges)
    : m_metrics(metrics), m_update_gauges(std::move(update_gauges)),
      m_server(context, limits(), *this, resources)
{
}

bool metrics_endpoint::listen(const std::string& address, std::string& error)
{
    return address.empty() || m_server.listen(address, error);
}

void metrics_endpoint::on_request(std::uint64_t, http::server_request,
                                  std::shared_ptr<http::responder> responder)
{
    m_update_gauges(m_metrics);
    responder->respond(http_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                       m_metrics.expose());
}

void metrics_endpoint::on_refused(core::reason reason)
{
    m_metrics.count_reason(reason);
    observe::warn("metrics_request_refused", {{"reason", core::to_string(reason)}});
}

} // namespace siskindrift::apps
