// Exhaustive exploration of elections, commits and changes of members under lost disks. Replies
// and messages may be lost, late and repeated; the model uses the quorum rule of the product.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace siskindrift::tests {

/// Bounds of one exploration, and the rules that can be left out to show that they are needed.
struct model_options {
    std::vector<std::uint64_t> voters; ///< At the start; replica 0 leads them in term 1.
    unsigned replicas = 4;             ///< Including learners that may be promoted.
    unsigned elections = 2;
    unsigned changes = 0; ///< Changes of one voter each, promotions or removals.
    unsigned losses = 1;  ///< Lost disks.
    unsigned values = 1;  ///< Entries that clients propose.

    /// A half counts only replies to messages that were sent after its witness was lost.
    bool requires_replies_after_loss = true;
    /// A change of members that may be uncommitted needs a quorum of both lists.
    bool requires_both_lists = true;
    /// A committed list is proposed once more, see `raft_node::confirm_membership_change`.
    bool repeats_lists = false;
};

/// Result of an exploration.
struct model_result {
    std::size_t states = 0;
    std::string violation;          ///< Empty if all states are safe.
    std::vector<std::string> trace; ///< Steps that lead to the violation.
};

/// Explores all states that are reachable within the bounds.
class quorum_model {
public:
    explicit quorum_model(model_options options) : m_options(std::move(options)) {}

    [[nodiscard]] model_result explore();

private:
    static constexpr std::size_t max_replicas = 5;
    static constexpr std::size_t max_terms = 4;   ///< Terms 1 to 3; 0 isn't used.
    static constexpr std::size_t max_entries = 8; ///< Of a log.

    struct log_state {
        std::uint8_t length = 0;
        std::array<std::uint8_t, max_entries> terms{};
        /// Voters as a bit mask for a list of members, 0 for anything else.
        std::array<std::uint8_t, max_entries> lists{};
        friend bool operator==(const log_state&, const log_state&) = default;
    };
    struct replica_state {
        log_state log;
        std::uint8_t term = 1;
        std::uint8_t voted_for = 0; ///< Number of the replica plus 1, or 0.
        std::uint8_t commit = 0;
        std::uint8_t leads = 0; ///< Whether it leads its term.
        std::uint8_t lost = 0;  ///< Whether its disk is lost.
    };
    /// What was sent in one term. All of it may arrive at any later time.
    struct term_state {
        log_state log;                                  ///< Of its leader.
        std::uint8_t leader = 0;                        ///< Number of the replica plus 1, or 0.
        std::uint8_t commit = 0;                        ///< Of its leader.
        std::uint8_t candidates = 0;                    ///< Bit mask.
        std::array<std::uint8_t, max_replicas> votes{}; ///< By candidate, a bit mask.
        std::array<std::uint8_t, max_replicas> lost_before{}; ///< By candidate, a bit mask.
        std::array<std::uint8_t, max_replicas> matches{};     ///< Acknowledged, by replica.
        /// Replicas that replied to a message sent after the loss, by lost replica, a bit mask.
        std::array<std::uint8_t, max_replicas> replied_after{};
    };
    struct state {
        std::array<replica_state, max_replicas> replicas{};
        std::array<term_state, max_terms> terms{};
        log_state committed;
        std::array<std::uint8_t, max_entries> committed_in{}; ///< First term of each entry.
        std::uint8_t elections = 0;
        std::uint8_t changes = 0;
        std::uint8_t losses = 0;
        std::uint8_t values = 0;
    };
    static_assert(std::is_trivially_copyable_v<state>);

    [[nodiscard]] state initial() const;
    void visit(state next, std::string step);
    static void normalize(state& value);
    [[nodiscard]] static std::uint64_t hash_without_names(const state& value);
    [[nodiscard]] static std::pair<std::uint8_t, std::uint8_t> last_entry(const log_state& log)
    {
        return {log.terms[log.length - 1U], log.length};
    }
    void expand(const state& from);
    void expand_elections(const state& from);
    void expand_appends(const state& from);
    void expand_leaders(const state& from);
    void expand_changes(const state& from, unsigned leader);
    void lead(state next, unsigned candidate, unsigned term);
    void commit_all(state& next);
    void commit(state& next, unsigned leader, std::uint8_t index);
    template <class HasReplied>
    [[nodiscard]] bool decides(const log_state& log, std::uint8_t commit, std::uint8_t lost,
                               HasReplied replied) const;
    [[nodiscard]] static std::uint8_t lost_replicas(const state& from);
    void fail(const std::string& violation);

    model_options m_options;
    model_result m_result;
    std::unordered_set<std::uint64_t> m_seen; ///< Hashes of states.
    struct pending {
        state value;
        std::size_t depth;
        std::string step;
    };
    std::vector<pending> m_pending;
    std::vector<std::string> m_trace;
};

} // namespace siskindrift::tests
