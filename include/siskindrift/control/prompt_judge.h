// Finds the parts of requests that crash upstreams.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::control {

/// Limits and timeouts of a prompt judge.
struct prompt_judge_options {
    /// Engines that must at least have ended, one after the other, before a part is blocked.
    std::size_t crashes_to_block = 3;
    /// Highest probability at which a part that does no harm loses as many answers in a row.
    double max_chance = 1e-4;
    /// Upstreams that end within this time count once against a whole request, unless it is known
    /// that one of them was alive after the other had ended.
    core::duration same_cause = core::milliseconds{200};
    /// Precision of the times that gateways report.
    core::duration time_precision = core::milliseconds{2};
    /// Time after the last of these crashes in which gateways report answers that acquit the part.
    core::duration acquittal_wait = core::milliseconds{400};
    /// Answers on the part that are older than this at its first crash don't acquit it.
    core::duration acquittal_age = core::milliseconds{10'000};
    /// A part that crashed no engine for this long is no longer suspected.
    core::duration suspicion_time = core::milliseconds{60'000};
    /// Least time between two announcements of the suspects to all gateways.
    core::duration announce_interval = core::milliseconds{100};
    /// How long a part is blocked before one request tries it again; longer after each failure.
    core::duration first_block = core::milliseconds{30'000};
    /// The same for a popular part, whose block refuses many callers.
    core::duration first_popular_block = core::milliseconds{1500};
    /// A part is popular if this share of the gateways, and so many, refused it lately.
    double popular_share = 0.25;
    std::size_t min_popular_gateways = 3;
    core::duration popular_window = core::milliseconds{2000};
    core::duration longest_block = std::chrono::hours{1};
    /// A trial without a result ends after this; one of a request that is only suspected earlier.
    core::duration trial_timeout = core::milliseconds{15'000};
    core::duration suspect_trial_timeout = core::milliseconds{3000};
    /// A part that nobody asks for is released after this.
    core::duration idle_release = core::milliseconds{600'000};
    std::size_t max_suspects = 512;
    std::size_t max_blocked = 512;
};

/// An engine that ended under a request, if a check confirms that it ended.
struct suspected_crash {
    std::string upstream;
    std::string request;
    std::uint64_t born_ms = 0; ///< Start of the run that may have ended, or 0.

    friend auto operator<=>(const suspected_crash&, const suspected_crash&) = default;
};

/// Decides on the leader which parts of requests are blocked. Performs no I/O.
///
/// A part is a piece of a prompt that several requests share, or a whole request that comes again.
/// A part is blocked by evidence of its own: several engines ended, one after the other, just as
/// they began an answer on it, no engine went on with an answer on it meanwhile, and so few other
/// answers are lost that this is no coincidence. Two engines count as having ended one after the
/// other only if one is known to have been alive after the end of the other, however late their
/// ends are heard of. Parts that only accompany it are answered elsewhere, which acquits them: a
/// part is blocked only after each gateway has told the answers that it knows. Engines whose end a
/// blocked part explains count against no other part. Each engine is checked, so that an answer
/// that was only broken off counts for nothing.
///
/// A whole request under which three upstreams ended, at whatever times, and that none answered
/// meanwhile is suspected. It is tried alone as soon as it comes again, one request of a service at
/// a time: sound requests that were lost with a crashing one are answered and released.
class prompt_judge {
public:
    explicit prompt_judge(prompt_judge_options options = {}) : m_options(options) {}

    /// Forgets all evidence. Gateways repeat what is recent; blocks last.
    /// @param term of the leader, higher than all before.
    void begin_term(core::time_point now, std::uint64_t term);

    /// Sets the gateways whose answers are awaited before a part is blocked.
    void set_gateways(std::set<std::string> vms) { m_gateways = std::move(vms); }

    /// Records that a run of an upstream was alive at @p at or later.
    void record_alive(const std::string& upstream, std::uint64_t born_ms, core::time_point at);

    /// Records what a gateway observed.
    /// @return the crashes to check, one for each run of an upstream that isn't known to have
    /// ended.
    [[nodiscard]] std::vector<suspected_crash>
    record_evidence(const wire::prompt_evidence_t& evidence, const state::blocked_parts& blocked,
                    core::time_point now);
    /// Records the result of a check.
    /// @param ended whether this run of the upstream has ended.
    void record_check(const suspected_crash& checked, bool ended);

    /// Returns the change to propose, if any. None is returned before the last one was applied.
    [[nodiscard]] std::optional<wire::change_blocked_parts_t>
    next_change(const state::blocked_parts& blocked, core::time_point now);

    /// Returns the parts whose answers gateways should report, if gateways have to be told again.
    [[nodiscard]] std::optional<wire::prompt_suspects_t> take_suspects(core::time_point now);

    /// Returns the number of blocked parts that many gateways refuse.
    [[nodiscard]] std::size_t count_popular(const state::blocked_parts& blocked,
                                            core::time_point now) const;

    /// Returns the crashes that speak against @p part, as "upstream/request", for logs.
    [[nodiscard]] std::vector<std::string> crashes_of(const std::string& part) const;

private:
    /// An upstream and the start of its run.
    using upstream_run = std::pair<std::string, std::uint64_t>;
    struct crash {
        core::time_point at{};
        std::uint64_t born_ms = 0; ///< Start of the run that may have ended.
        std::set<std::string>
            requests;       ///< Those with the part that the engine had begun to answer.
        bool ended = false; ///< A check has shown that the engine ended.
    };
    struct suspect {
        std::map<std::string, crash> crashes; ///< By upstream.
        core::time_point last_crash{};
        /// First announcement since an upstream was added to `crashes`; 0 before it.
        std::uint64_t announced_in = 0;
    };
    /// The time in which a run of an upstream ended.
    struct run_end {
        std::optional<core::time_point> alive_at;
        core::time_point ended_by = core::time_point::max();
    };
    struct block_times {
        core::time_point since{};
        core::time_point last_refusal{};
        std::string refused_by;                           ///< Gateway that refused it last.
        std::map<std::string, core::time_point> refusals; ///< The last one of each gateway.
        bool trial_crashed = false;
        bool trial_survived = false;
        core::time_point trial_crash{};
        std::set<std::string> ended;        ///< Upstreams that ended under it.
        std::set<upstream_run> trial_ended; ///< Runs that ended under its current trial.
        /// Runs that ended under a request of it that was sent before it was blocked.
        std::set<upstream_run> strays;
    };

    void record_run_end(const wire::prompt_evidence_t& evidence, const wire::prompt_crash_t& item,
                        core::time_point now);
    void record_crash(const wire::prompt_crash_t& item, const state::blocked_parts& blocked,
                      core::time_point now);
    void make_room_for_suspect();
    void record_reply(const wire::prompt_evidence_t& evidence, core::time_point now);
    void record_survival(const wire::prompt_survival_t& item, const state::blocked_parts& blocked,
                         core::time_point now);
    [[nodiscard]] core::time_point acquitted_from(const suspect& item) const;
    [[nodiscard]] bool is_acquitted(const std::string& part, core::time_point crash) const;
    [[nodiscard]] double answers_since(const std::string& service, core::time_point begin,
                                       core::time_point now) const;
    [[nodiscard]] double share_lost(const std::string& part, const suspect& item,
                                    core::time_point now) const;
    [[nodiscard]] bool ended_after(const run_end& later, const run_end& earlier, bool whole) const;
    [[nodiscard]] std::vector<run_end> separate_ends(const std::string& part, const suspect& item,
                                                     bool confirmed) const;
    [[nodiscard]] bool answers_known(const suspect& item) const;
    [[nodiscard]] bool needs_answers(const std::string& part, const suspect& item) const;
    [[nodiscard]] bool is_guilty(const std::string& part, const suspect& item,
                                 core::time_point now) const;
    [[nodiscard]] bool is_suspicious(const std::string& part, const suspect& item,
                                     core::time_point now) const;
    [[nodiscard]] const std::string* find_guilty(const state::blocked_parts& blocked,
                                                 core::time_point now) const;
    void explain_crashes(const std::string& guilty, const std::set<std::string>& ended);
    [[nodiscard]] std::set<std::string> choose_trials(const state::blocked_parts& blocked,
                                                      core::time_point now);
    void judge_suspects(const state::blocked_parts& blocked, wire::change_blocked_parts_t& change,
                        core::time_point now);
    void judge_block(const std::string& part, const state::blocked_parts& blocked, bool trial_due,
                     wire::change_blocked_parts_t& change, core::time_point now);
    [[nodiscard]] bool may_be_company(const std::string& part, const state::blocked_parts& blocked,
                                      core::time_point now);
    [[nodiscard]] bool is_popular(const block_times& times, core::time_point now) const;
    [[nodiscard]] core::duration block_time(std::uint32_t strikes, bool popular) const;
    block_times& times_of(const std::string& part, core::time_point now);

    prompt_judge_options m_options;
    std::map<std::string, suspect> m_suspects;
    std::map<std::string, block_times> m_block_times;
    struct check {
        core::time_point at{};     ///< Of the crash.
        std::optional<bool> ended; ///< Empty while the engine is being checked.
        std::string service;
        bool without_head = false;
    };
    struct answer_counts {
        std::vector<std::uint32_t> by_second; ///< The newest first.
        core::time_point reported{};
    };
    std::map<suspected_crash, check> m_checks;
    std::map<upstream_run, run_end> m_run_ends;
    std::set<upstream_run> m_ended_runs;   ///< Runs that a check has shown to have ended.
    std::set<upstream_run> m_checked_runs; ///< Runs whose check has no result yet.
    std::set<std::string> m_gateways;      ///< Whose answers are awaited.
    /// By gateway: the latest announcement of suspects that it replied to.
    std::map<std::string, std::uint64_t> m_replies;
    /// By gateway, then service.
    std::map<std::string, std::map<std::string, answer_counts>> m_answered;
    std::map<std::string, core::time_point> m_survivals; ///< Last answer on parts once suspected.
    std::set<std::string> m_explained; ///< Upstreams that ended under a blocked part.
    std::set<std::string> m_announced; ///< Suspects that the gateways were told.
    core::time_point m_announced_at{};
    std::uint64_t m_announcement = 0; ///< Number of the last one, higher than in former terms.
    std::optional<std::uint64_t> m_proposed_on; ///< Generation that the last change is based on.
};

} // namespace siskindrift::control
