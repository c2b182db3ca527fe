#include "metrics_endpoint.h"

#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr std::uint16_t ok = 200;

} // namespace

metrics_endpoint::metrics_endpoint(boost::asio::io_context& context, observe::metrics& shown,
                                   std::function<void(observe::metrics&)> refresh)
    : m_shown(shown), m_refresh(std::move(refresh)), m_server(context, http::server_limits{}, *this)
{
}

bool metrics_endpoint::listen(const std::string& address, std::string& error)
{
    return address.empty() || m_server.listen(address, error);
}

void metrics_endpoint::on_request(std::uint64_t, http::server_request,
                                  std::shared_ptr<http::responder> answer)
{
    m_refresh(m_shown);
    answer->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_shown.expose());
}

void metrics_endpoint::on_refused(core::reason why)
{
    observe::warn("metrics_request_refused", {{"reason", core::to_string(why)}});
}

} // namespace siskindrift::apps
