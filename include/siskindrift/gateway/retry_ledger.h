// Follows the sends of retried requests until they have certainly reached their upstreams.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/gateway/retry_budget.h"

namespace siskindrift::gateway {

/// One run of an upstream, from its start to its end.
struct upstream_run {
    std::string upstream;
    std::uint64_t born_ms = 0;

    auto operator<=>(const upstream_run&) const = default;
};

/// Identifies a request within a gateway.
enum class request_key : std::uint64_t {};

/// How a send ended without an answer.
enum class send_end : std::uint8_t {
    given_up,    ///< This gateway closed the connection.
    peer_closed, ///< The other end closed or reset the connection.
};

/// Parameters of a retry ledger.
struct retry_ledger_options {
    /// Time without an answer to any of its requests after which an upstream counts as silent.
    core::duration silence_limit = core::milliseconds{500};
    /// Time after which an unanswered send counts as arrived although nothing showed it.
    core::duration max_unanswered = fleet::max_unanswered_time;
};

/// One gateway's account of the requests of one service that it sends more than once. Performs no
/// I/O.
///
/// Closing a connection doesn't take back what the kernel of the peer has accepted: an upstream
/// that stands still reads it whenever it goes on. So a send that got no answer may arrive at any
/// time, until the same run answers a later send, announces itself without having been silent, or
/// has ended. Of the sends of a request all but the first to arrive are retries, whichever was sent
/// first. The retries of a request therefore leave the budget one by one, as its second, third and
/// further send has certainly arrived.
class retry_ledger {
public:
    explicit retry_ledger(retry_budget_options budget = {}, retry_ledger_options options = {})
        : m_budget(budget), m_options(options)
    {
    }

    /// Replaces the options of the budget; what was counted so far is kept.
    void set_options(retry_budget_options options) { m_budget.set_options(options); }
    /// Counts a caller's request.
    void record_request(core::time_point now) { m_budget.record_request(now); }

    /// Counts a retry of @p request at @p run that is about to be sent, if the budget allows it.
    /// @param share fraction of the extra retries that this gateway may send, from 0 to 1.
    /// @return false if the budget is exhausted.
    [[nodiscard]] bool try_retry(request_key request, const upstream_run& run, core::time_point now,
                                 double share);
    /// Records that @p request is sent to @p run. The send is open until one of the next four
    /// functions is called for it.
    void record_sent(request_key request, const upstream_run& run, core::time_point now);
    /// Records that an upstream began to answer the open send.
    void record_answer(request_key request, core::time_point now);
    /// Records that the open send didn't leave this gateway.
    void record_not_sent(request_key request);
    /// Records that the open send ended without an answer.
    /// @return whether it may still arrive at any time.
    bool record_unanswered(request_key request, send_end how, core::time_point now);
    /// Records that the request has ended. Its unanswered sends go on counting.
    /// @param shared another gateway sends the request too, so that each unanswered send may be a
    /// retry. The first of them counts even if the budget is exhausted.
    void record_end(request_key request, bool shared);

    /// Records that bytes of an answer came from a run.
    void record_activity(const upstream_run& run, core::time_point now);
    /// Records that a run announced itself. This says nothing of a run that is silent to this
    /// gateway: the path to it may hold what was sent.
    /// @param announced when the run sent the announcement.
    void record_announcement(const upstream_run& run, core::time_point announced,
                             core::time_point now);
    /// Records that a run has ended, so that nothing reaches it any more.
    void record_run_end(const upstream_run& run, core::time_point now);
    /// Settles sends that have been without an answer for too long.
    void remove_expired(core::time_point now);
    /// Returns the runs that have not answered all sends.
    [[nodiscard]] std::vector<upstream_run> unanswering_runs() const;
    /// Returns the upstreams that are silent.
    [[nodiscard]] std::set<std::string> silent_upstreams(core::time_point now) const;
    /// Returns for how long the run has been silent that has been silent longest, of those that
    /// haven't answered all sends that have ended.
    [[nodiscard]] core::duration longest_silence(core::time_point now) const;
    /// Returns whether a run has been silent for too long after a send.
    [[nodiscard]] bool is_silent(const upstream_run& run, core::time_point now) const;

    /// Returns the use of the budget, as `retry_budget::usage` does.
    [[nodiscard]] retry_usage usage(core::time_point now, double share) const
    {
        return m_budget.usage(now, share);
    }
    /// Returns the sends of retried requests that may arrive at any time.
    [[nodiscard]] std::size_t unanswered() const;

private:
    struct request_sends {
        std::uint32_t retries = 0;    ///< Counted in the budget as not settled.
        std::uint32_t arrived = 0;    ///< Sends that have certainly arrived.
        std::uint32_t unanswered = 0; ///< Sends that may arrive at any time.
        std::optional<upstream_run> open;
        core::time_point open_since{};
        bool ended = false;
    };
    struct unanswered_send {
        request_key request;
        core::time_point sent;
        core::time_point ended;
    };
    struct run_state {
        std::uint32_t open = 0; ///< Open sends.
        /// First send since the last sign of life; none if none has waited for long since.
        std::optional<core::time_point> waiting_since;
        core::time_point answered_sent{}; ///< Latest send that it has answered.
        std::vector<unanswered_send> unanswered;
    };

    void settle(request_sends& sends, core::time_point arrived_by);
    void settle_unanswered(run_state& run, core::time_point now,
                           const std::function<bool(const unanswered_send&)>& arrived);
    void record_sign_of_life(run_state& run, core::time_point now) const;
    void remove_if_done(request_key request);
    void remove_if_idle(const upstream_run& run);

    retry_budget m_budget;
    retry_ledger_options m_options;
    std::map<request_key, request_sends> m_requests;
    std::map<upstream_run, run_state> m_runs;
};

} // namespace siskindrift::gateway
