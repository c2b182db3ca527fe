// Chooses the gateway through which a request reaches upstreams that this one has lost.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/random.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// Parameters of a helper pool.
struct helper_pool_options {
    /// How long a gateway that didn't accept a connection or broke one isn't asked again.
    core::duration failure_pause = core::milliseconds{2000};
    /// How long a gateway that can't reach a service itself isn't asked for it again.
    core::duration refusal_pause = core::milliseconds{1000};
    /// A gateway in another failure domain is as good as one here with this many more requests.
    double domain_distance = 0.5;
    /// Gateways that are asked for one request; if these reach nothing either, the upstreams are
    /// gone and not the path to them.
    std::size_t max_helpers_per_request = 3;
};

/// Another gateway that may pass requests on.
struct helper {
    std::string vm;
    std::string address; ///< IP:port where it takes requests of gateways.
};

/// Spreads the requests over the other gateways, those nearby first, and leaves out those that
/// failed or have lost the upstreams too. Performs no I/O.
class helper_pool {
public:
    /// @param vm name of this gateway.
    helper_pool(std::string vm, std::string failure_domain, std::uint64_t seed,
                helper_pool_options options = {})
        : m_vm(std::move(vm)), m_failure_domain(std::move(failure_domain)), m_random(seed),
          m_options(options)
    {
    }

    /// Sets the gateways of the deployment.
    void set_gateways(const std::vector<wire::gateway_info_t>& gateways);

    /// Chooses a gateway for a request to @p service that is not among @p tried.
    [[nodiscard]] std::optional<helper>
    choose(const std::string& service, const std::set<std::string>& tried, core::time_point now);

    /// Records that a request was passed on to @p vm.
    void record_sent(const std::string& vm) { ++m_states[vm].in_flight; }
    /// Records that a request that was passed on to @p vm has ended.
    void record_ended(const std::string& vm);
    /// Records that @p vm could not be reached.
    void record_failure(const std::string& vm, core::time_point now);
    /// Records that @p vm can't reach @p service.
    void record_refusal(const std::string& vm, const std::string& service, core::time_point now);

private:
    struct helper_state {
        std::uint32_t in_flight = 0; ///< Requests that this gateway has passed on to it.
        core::time_point skip_until{};
        std::map<std::string, core::time_point> skip_service_until;
    };

    std::string m_vm;
    std::string m_failure_domain;
    core::random_source m_random;
    helper_pool_options m_options;
    std::vector<wire::gateway_info_t> m_gateways;
    std::map<std::string, helper_state> m_states; ///< By VM.
};

} // namespace siskindrift::gateway
