// Refuses requests that crash upstreams, and collects the evidence.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/gateway/request_metadata.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::gateway {

/// Limits of a prompt guard.
struct prompt_guard_options {
    std::size_t seconds_counted = 60; ///< For which the numbers of answers are kept.
    /// Crashes are reported to a new leader for this long.
    core::duration report_time = core::milliseconds{20'000};
    std::size_t max_crashes = 128; ///< Reported crashes, one per part.
    /// Parts whose last answers are remembered; up to twice as many.
    std::size_t max_answered = 2048;
};

/// An upstream that ended, perhaps because of a request.
struct crash_report {
    std::vector<std::string> parts; ///< Of the request.
    std::string upstream;
    std::uint64_t born_ms = 0; ///< Start of the upstream's run.
    std::string request;
    bool without_head = false; ///< It had not begun an answer.
    core::time_point sent{};   ///< When the request was sent to it.
};

/// The latest time of the leader that a gateway has heard of.
struct leader_time {
    std::uint64_t leader_ms = 0; ///< On the leader's clock; 0 if it told none.
    core::time_point heard{};    ///< On the clock of the gateway.
};

/// Names of the parts of a request by which it may be refused.
using request_parts = std::vector<std::string>;

/// A part for which a request is refused.
struct blocked_request {
    std::string part;
    bool suspected = false; ///< It isn't known yet whether the part crashes upstreams.
};

/// Keeps the blocked parts of requests, and tells the leader which parts crash upstreams and which
/// don't. A part is a piece of a prompt that several requests share, or the whole request, which
/// is recognized when it comes again. Performs no I/O.
class prompt_guard {
public:
    /// @param vm name of this gateway.
    explicit prompt_guard(std::string vm, prompt_guard_options options = {})
        : m_vm(std::move(vm)), m_options(options)
    {
    }

    /// Returns the names of the parts of a request: those of its prompt but the last one, which
    /// belongs to one request, and the whole request, which is the last.
    /// @param digest by which the request is recognized when it comes again.
    [[nodiscard]] static request_parts parts_of(const std::string& service,
                                                const std::vector<prompt_part>& prompt,
                                                const std::string& digest);

    /// Replaces the blocked parts, unless @p update is older than what is known.
    /// @return whether they changed.
    bool apply_blocked(const wire::fleet_update_t& update);
    /// Prepares the reports to another leader: it knows nothing of what was reported before.
    void begin_leader();

    /// Replaces the parts whose answers are reported. There is evidence to send afterwards.
    void set_suspects(const wire::prompt_suspects_t& suspects, core::time_point now);

    /// Returns the blocked part for which a request must be refused, if any. Lets one request pass
    /// where the leader asks this gateway to try a part again.
    [[nodiscard]] std::optional<blocked_request> find_blocked(const request_parts& parts);
    /// Returns whether a request has a blocked part, without using up a trial.
    [[nodiscard]] bool has_blocked(const request_parts& parts) const;
    /// Returns whether a request has a blocked part that is more than suspected.
    [[nodiscard]] bool has_guilty(const request_parts& parts) const;
    /// Allows the trial again that @p parts used up, because the request was not sent.
    void restore_trial(const request_parts& parts);

    /// Records that an upstream went on with an answer after it had begun.
    void record_answer(const std::string& service, const request_parts& parts,
                       core::time_point now);
    /// Records that an upstream's connection ended under a request.
    void record_crash(const crash_report& crash, core::time_point now);

    /// Returns whether there is evidence that the leader has not been sent.
    [[nodiscard]] bool has_news() const { return m_news; }
    /// Returns the evidence that the leader has not been sent, if any.
    [[nodiscard]] std::optional<wire::prompt_evidence_t> take_evidence(const leader_time& leader,
                                                                       core::time_point now);

    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    [[nodiscard]] std::size_t blocked_parts() const { return m_blocked.size(); }

private:
    struct crash {
        std::string part;
        std::string upstream;
        std::string request;
        std::uint64_t born_ms = 0;
        bool without_head = false;
        core::time_point sent{};
        core::time_point at{};
        bool reported = false;
    };
    struct block {
        bool may_try = false; ///< This gateway may send one request.
        bool suspected = false;
    };
    using second_counts = std::deque<std::pair<std::int64_t, std::uint32_t>>;
    using answer_times = std::map<std::string, core::time_point>;

    void queue_survival(const std::string& part, core::time_point at);
    /// Returns the number of answers in each of the last seconds, the newest first.
    [[nodiscard]] std::vector<std::uint32_t> count_answers(const second_counts& counted,
                                                           core::time_point now) const;

    std::string m_vm;
    prompt_guard_options m_options;
    std::uint64_t m_generation = 0;
    std::map<std::string, block> m_blocked; ///< By part.
    std::set<std::string> m_suspects;
    std::uint64_t m_suspects_number = 0; ///< Of the leader's announcement of them.
    answer_times m_answered;             ///< Last answer by part.
    answer_times m_answered_before;      ///< Older ones, dropped when `m_answered` is full again.
    std::deque<crash> m_crashes;
    std::map<std::string, core::time_point> m_survivals;  ///< To be reported.
    std::set<std::string> m_refused;                      ///< To be reported.
    std::map<std::string, second_counts> m_answer_counts; ///< By service.
    bool m_news = false;
};

} // namespace siskindrift::gateway
