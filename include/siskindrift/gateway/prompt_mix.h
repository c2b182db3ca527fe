// Which requests engines should admit first: short prompts, as far as that costs the others little.
#pragma once

#include <map>
#include <string>

#include "siskindrift/core/clock.h"

namespace siskindrift::gateway {

/// Parameters of a prompt mix.
struct prompt_mix_options {
    /// Time after which a request counts for 1/e of a new one.
    core::duration decay_time = core::milliseconds{30'000};
    /// Share of all prompt tokens that requests which are admitted first may have together. The
    /// others wait for little more than these.
    double max_first_share = 0.25;
    /// Number of requests from which on the shares are known.
    double min_requests = 20;
};

/// The prompts of the kinds of requests for one service. Performs no I/O.
///
/// An engine reads prompts one after the other, so that a short one waits for the long ones before
/// it. The kinds with the shortest prompts come first, up to a limited share of the engine's work:
/// precedence for the bulk of the requests would starve the rest.
class prompt_mix {
public:
    explicit prompt_mix(prompt_mix_options options = {}) : m_options(options) {}

    /// Records a request of @p kind with @p tokens prompt tokens.
    void record(const std::string& kind, double tokens, core::time_point now);
    /// Returns whether engines should admit requests of @p kind before others.
    [[nodiscard]] bool comes_first(const std::string& kind) const;

private:
    struct sums {
        double requests = 0;
        double tokens = 0;
    };

    prompt_mix_options m_options;
    std::map<std::string, sums> m_kinds;
    core::time_point m_decayed_at{};
};

} // namespace siskindrift::gateway
