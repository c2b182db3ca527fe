// Follows the sends of retried requests until they have certainly reached their upstreams.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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

/// Returns the run that stands for a request that is passed on to another gateway. Each is one of
/// its own: it isn't known where the other gateway sends a request, so what it answers says nothing
/// of others.
/// @param vm name of the other gateway.
/// @param send number that no other send of this gateway has.
[[nodiscard]] inline upstream_run relay_run(const std::string& vm, std::uint64_t send)
{
    return {"gateway " + vm, send};
}

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
    /// An upstream is overdue after this multiple of the time in which upstreams of the service
    /// answer, and after `min_overdue_time` at the earliest.
    double overdue_factor = 3;
    core::duration min_overdue_time = core::milliseconds{50};
    /// Time after which an unanswered send counts as arrived although nothing showed it.
    core::duration max_unanswered = fleet::max_unanswered_time;
};

/// One gateway's account of the requests of one service that it sends more than once. Performs no
/// I/O.
///
/// Closing a connection doesn't take back what the kernel of the peer has accepted: an upstream
/// that stands still reads it whenever it goes on. So a send that got no answer may arrive at any
/// time, until the same run answers a later send or has ended. An announcement shows nothing: it
/// takes another path, and may be older than it seems. Of the sends of a request all but the first
/// to arrive are retries, whichever was sent first. The retries of a request therefore leave the
/// budget one by one, as its second, third and further send has certainly arrived.
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
    /// Records that a run has ended, so that nothing reaches it any more.
    void record_run_end(const upstream_run& run, core::time_point now);
    /// Settles sends that have been without an answer for too long.
    void remove_expired(core::time_point now);
    /// Returns the runs that have not answered all sends.
    [[nodiscard]] std::vector<upstream_run> unanswering_runs() const;
    /// Returns the upstreams whose answers are overdue, at which a retry may arrive at any time.
    [[nodiscard]] std::set<std::string> overdue_upstreams(core::time_point now) const;
    /// Returns the upstreams whose answer to another send would settle earlier ones, and that
    /// aren't overdue.
    [[nodiscard]] std::set<std::string> unsettled_upstreams(core::time_point now) const;
    /// Returns for how long the run has been silent that has been silent longest, of those that
    /// haven't answered all sends that have ended.
    [[nodiscard]] core::duration longest_silence(core::time_point now) const;
    /// Returns whether a run has been silent for too long after a send.
    [[nodiscard]] bool is_silent(const upstream_run& run, core::time_point now) const;
    /// Returns whether a run has been silent after a send for longer than upstreams of the service
    /// take to answer.
    [[nodiscard]] bool is_overdue(const upstream_run& run, core::time_point now) const;

    /// Returns the use of the budget, as `retry_budget::usage` does.
    [[nodiscard]] retry_usage usage(core::time_point now, double share) const
    {
        return m_budget.usage(now, share);
    }
    /// Returns the sends of retried requests that may arrive at any time.
    [[nodiscard]] std::size_t unanswered() const;
    /// Returns the counted retries that may arrive at any time.
    [[nodiscard]] std::uint32_t uncertain_retries(core::time_point now) const;

private:
    struct request_sends {
        std::uint32_t retries = 0;    ///< Counted in the budget as not settled.
        std::uint32_t arrived = 0;    ///< Sends that have certainly arrived.
        std::uint32_t unanswered = 0; ///< Sends that may arrive at any time.
        std::optional<upstream_run> open;
        core::time_point open_since{};
        bool open_arrived = false; ///< The run has answered a later send.
        bool ended = false;
    };
    struct unanswered_send {
        request_key request;
        core::time_point sent;
        core::time_point ended;
    };
    struct run_state {
        std::set<request_key> open; ///< Requests with an open send.
        /// First send since the last sign of life; none if it left nothing unanswered.
        std::optional<core::time_point> waiting_since;
        core::time_point answered_sent{}; ///< Latest send that it has answered.
        std::vector<unanswered_send> unanswered;
    };

    /// Ends the open send of a request, and returns its run with the state of that.
    std::pair<upstream_run, run_state&> end_open_send(request_key request, request_sends& sends);
    void settle(request_sends& sends, core::time_point arrived_by);
    void settle_unanswered(run_state& run, core::time_point arrived_by,
                           const std::function<bool(const unanswered_send&)>& arrived);
    void settle_earlier(run_state& run, core::time_point answered_sent, bool was_silent,
                        core::time_point now);
    void record_sign_of_life(run_state& run, core::time_point now) const;
    void record_answer_time(core::duration time);
    [[nodiscard]] core::duration overdue_time() const;
    [[nodiscard]] bool waits_longer_than(const upstream_run& run, core::duration limit,
                                         core::time_point now) const;
    void remove_if_done(request_key request);
    void remove_if_idle(const upstream_run& run);

    retry_budget m_budget;
    retry_ledger_options m_options;
    std::map<request_key, request_sends> m_requests;
    std::map<upstream_run, run_state> m_runs;
    core::duration m_answer_time{}; ///< Moving average; zero before the first answer.
};

} // namespace siskindrift::gateway
