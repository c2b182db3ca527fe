#include "quorum_model.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <optional>
#include <utility>

#include "siskindrift/consensus/quorum.h"

namespace siskindrift::tests {
namespace {

std::uint8_t bit(std::uint64_t replica)
{
    return static_cast<std::uint8_t>(1U << replica);
}

// Returns the replicas of a bit mask, plus `first`.
const std::vector<std::uint64_t>& members_of(std::uint8_t mask, std::uint64_t first = 0)
{
    static const auto lists = [] {
        std::array<std::array<std::vector<std::uint64_t>, 256>, 2> all;
        for (std::size_t value = 0; value < 256; ++value) {
            for (std::uint64_t id = 0; id < 8; ++id) {
                if ((value & bit(id)) != 0) {
                    all[0][value].push_back(id);
                    all[1][value].push_back(id + 1);
                }
            }
        }
        return all;
    }();
    return lists[first][mask];
}

std::uint64_t hash_bytes(const void* data, std::size_t size)
{
    std::uint64_t hash = 0x9E3779B97F4A7C15ULL;
    const auto* bytes = static_cast<const unsigned char*>(data);
    for (std::size_t i = 0; i < size; i += 8) {
        std::uint64_t word = 0;
        std::memcpy(&word, bytes + i, std::min<std::size_t>(8, size - i));
        hash = (std::rotl(hash, 29) ^ word) * 0xD6E8FEB86659FD93ULL;
        hash ^= hash >> 32U;
    }
    return hash;
}

std::string describe_list(std::uint8_t mask)
{
    std::string text;
    for (const auto id : members_of(mask)) {
        text += (text.empty() ? "" : ",") + std::to_string(id);
    }
    return "{" + text + "}";
}

} // namespace

quorum_model::state quorum_model::initial() const
{
    state begin;
    std::memset(static_cast<void*>(&begin), 0, sizeof begin);
    std::uint8_t list = 0;
    for (const auto id : m_options.voters) {
        list |= bit(id);
    }
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        auto& one = begin.replicas[id];
        one.term = 1;
        one.voted_for = 1;
        one.log.length = one.commit = 1;
        one.log.terms[0] = 1;
        one.log.lists[0] = list;
    }
    begin.replicas[0].leads = 1;
    begin.committed = begin.replicas[0].log;
    begin.committed_in[0] = 1;
    auto& first = begin.terms[1];
    first.log = begin.committed;
    first.leader = 1;
    first.commit = 1;
    first.matches.fill(1);
    return begin;
}

std::uint8_t quorum_model::lost_replicas(const state& from)
{
    std::uint8_t lost = 0;
    for (unsigned id = 0; id < max_replicas; ++id) {
        lost |= from.replicas[id].lost != 0 ? bit(id) : 0;
    }
    return lost;
}

template <class HasReplied>
bool quorum_model::decides(const log_state& log, std::uint8_t commit, std::uint8_t lost,
                           HasReplied replied) const
{
    // The rule counts replicas from 1.
    const auto suffices = [&](std::uint8_t list) {
        return consensus::is_quorum(
            members_of(list, 1), [&](std::uint64_t id) { return (lost & bit(id - 1)) != 0; },
            [&](std::uint64_t id, std::uint64_t witness) {
                return replied(id - 1, witness == 0 ? std::nullopt : std::optional{witness - 1});
            });
    };
    std::uint8_t current = 0;
    for (auto index = log.length; index > 0; --index) {
        const auto list = log.lists[index - 1];
        if (list == 0) {
            continue;
        }
        if (current != 0) {
            return suffices(list); // the list before the latest one
        }
        current = list;
        if (!suffices(list) || commit >= index || !m_options.requires_both_lists) {
            return suffices(list);
        }
    }
    return current != 0;
}

void quorum_model::fail(const std::string& violation)
{
    if (m_result.violation.empty()) {
        m_result.violation = violation;
        m_result.trace = m_trace;
    }
}

// Clears what no later step depends on, so that fewer states differ.
void quorum_model::normalize(state& value)
{
    for (unsigned term = 1; term < max_terms; ++term) {
        auto& sent = value.terms[term];
        for (unsigned id = 0; id < max_replicas; ++id) {
            const auto& one = value.replicas[id];
            if (one.term != term || one.lost != 0) {
                sent.candidates &= static_cast<std::uint8_t>(~bit(id));
            }
            if ((sent.candidates & bit(id)) == 0) {
                sent.votes[id] = 0;
                sent.lost_before[id] = 0;
            }
        }
        const bool is_led = sent.leader != 0 && value.replicas[sent.leader - 1U].leads != 0 &&
                            value.replicas[sent.leader - 1U].term == term;
        if (!is_led) {
            sent.matches.fill(0);
            sent.replied_after.fill(0);
        }
    }
}

// States that differ only in the numbers of replicas count as one: the numbers are given anew in
// the order of what the replicas hold.
std::uint64_t quorum_model::hash_without_names(const state& value)
{
    std::array<std::pair<std::uint64_t, unsigned>, max_replicas> order;
    for (unsigned id = 0; id < max_replicas; ++id) {
        auto one = value.replicas[id];
        one.voted_for = one.voted_for == id + 1 ? 1 : 0;
        auto key = hash_bytes(&one, sizeof one);
        for (const auto& sent : value.terms) {
            std::array<std::uint8_t, 5 + max_entries> seen{};
            seen[0] = sent.matches[id];
            seen[1] = sent.leader == id + 1 ? 1 : 0;
            seen[2] = (sent.candidates & bit(id)) != 0 ? 1 : 0;
            seen[3] = static_cast<std::uint8_t>(std::popcount(sent.votes[id]));
            seen[4] = static_cast<std::uint8_t>(std::popcount(sent.replied_after[id]));
            for (std::size_t i = 0; i < max_entries; ++i) {
                seen[5 + i] = (sent.log.lists[i] & bit(id)) != 0 ? 1 : 0;
            }
            key ^= std::rotl(hash_bytes(seen.data(), seen.size()) + key, 13);
        }
        order[id] = {key, id};
    }
    std::sort(order.begin(), order.end());
    std::array<std::uint8_t, max_replicas> renamed{};
    for (unsigned i = 0; i < max_replicas; ++i) {
        renamed[order[i].second] = static_cast<std::uint8_t>(i);
    }
    const auto rename_mask = [&](std::uint8_t mask) {
        std::uint8_t result = 0;
        for (const auto id : members_of(mask)) {
            result |= bit(renamed[id]);
        }
        return result;
    };
    const auto rename_log = [&](log_state log) {
        std::transform(log.lists.begin(), log.lists.end(), log.lists.begin(), rename_mask);
        return log;
    };
    const auto rename_one = [&](std::uint8_t number) {
        return number == 0 ? number : static_cast<std::uint8_t>(renamed[number - 1U] + 1);
    };
    auto result = value;
    result.committed = rename_log(value.committed);
    for (unsigned id = 0; id < max_replicas; ++id) {
        auto& one = result.replicas[renamed[id]];
        one = value.replicas[id];
        one.voted_for = rename_one(one.voted_for);
        one.log = rename_log(one.log);
    }
    for (unsigned term = 0; term < max_terms; ++term) {
        const auto& sent = value.terms[term];
        auto& copy = result.terms[term];
        copy.log = rename_log(sent.log);
        copy.leader = rename_one(sent.leader);
        copy.candidates = rename_mask(sent.candidates);
        for (unsigned id = 0; id < max_replicas; ++id) {
            copy.votes[renamed[id]] = rename_mask(sent.votes[id]);
            copy.lost_before[renamed[id]] = rename_mask(sent.lost_before[id]);
            copy.matches[renamed[id]] = sent.matches[id];
            copy.replied_after[renamed[id]] = rename_mask(sent.replied_after[id]);
        }
    }
    return hash_bytes(&result, sizeof result);
}

void quorum_model::visit(state next, std::string step)
{
    commit_all(next);
    normalize(next);
    if (m_result.violation.empty() && m_seen.insert(hash_without_names(next)).second) {
        m_pending.push_back({next, m_trace.size(), std::move(step)});
    }
}

model_result quorum_model::explore()
{
    visit(initial(), "start");
    while (!m_pending.empty() && m_result.violation.empty()) {
        const auto next = std::move(m_pending.back());
        m_pending.pop_back();
        m_trace.resize(next.depth);
        m_trace.push_back(next.step);
        ++m_result.states;
        expand(next.value);
    }
    return m_result;
}

void quorum_model::expand(const state& from)
{
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        if (from.replicas[id].lost == 0 && from.losses < m_options.losses) {
            auto next = from;
            next.replicas[id] = {};
            next.replicas[id].lost = 1;
            ++next.losses;
            visit(next, "replica " + std::to_string(id) + " loses its disk");
        }
    }
    expand_elections(from);
    expand_appends(from);
    expand_leaders(from);
}

void quorum_model::expand_elections(const state& from)
{
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        const auto& one = from.replicas[id];
        if (one.lost != 0) {
            continue;
        }
        for (unsigned term = one.term + 1U;
             term <= 1 + m_options.elections && from.elections < m_options.elections; ++term) {
            auto next = from;
            auto& self = next.replicas[id];
            self.term = static_cast<std::uint8_t>(term);
            self.voted_for = static_cast<std::uint8_t>(id + 1);
            self.leads = 0;
            auto& sent = next.terms[term];
            sent.candidates |= bit(id);
            sent.votes[id] = bit(id);
            sent.lost_before[id] = lost_replicas(from);
            ++next.elections;
            visit(next, "replica " + std::to_string(id) + " becomes a candidate of term " +
                            std::to_string(term));
        }
        for (unsigned term = one.term; term < max_terms; ++term) {
            for (const auto candidate : members_of(from.terms[term].candidates)) {
                // The log of a candidate doesn't change until it follows or leads.
                const auto& asks = from.replicas[candidate];
                const bool is_free = one.term < term || one.voted_for == 0;
                if (candidate == id || !is_free) {
                    continue;
                }
                // A request that is refused only keeps the replica from accepting older terms.
                if (last_entry(asks.log) < last_entry(one.log)) {
                    continue;
                }
                auto next = from;
                auto& self = next.replicas[id];
                self.term = static_cast<std::uint8_t>(term);
                self.leads = 0;
                self.voted_for = static_cast<std::uint8_t>(candidate + 1);
                next.terms[term].votes[candidate] |= bit(id);
                visit(next, "replica " + std::to_string(id) + " votes for " +
                                std::to_string(candidate) + " in term " + std::to_string(term));
            }
        }
        if ((from.terms[one.term].candidates & bit(id)) != 0) {
            lead(from, id, one.term);
        }
    }
}

void quorum_model::lead(state next, unsigned candidate, unsigned term)
{
    auto& self = next.replicas[candidate];
    auto& sent = next.terms[term];
    const auto lost =
        m_options.requires_replies_after_loss ? sent.lost_before[candidate] : lost_replicas(next);
    if (!decides(self.log, self.commit, lost, [&](std::uint64_t voter, auto) {
            return (sent.votes[candidate] & bit(voter)) != 0;
        })) {
        return;
    }
    const auto step =
        "replica " + std::to_string(candidate) + " leads term " + std::to_string(term);
    if (sent.leader != 0) {
        fail(step + ", and " + std::to_string(sent.leader - 1) + " does as well");
        return;
    }
    for (unsigned index = 0; index < next.committed.length; ++index) {
        if (next.committed_in[index] >= term) {
            continue; // a leader of a later term has committed it
        }
        if (index >= self.log.length || self.log.terms[index] != next.committed.terms[index]) {
            fail(step + " without the committed entry " + std::to_string(index + 1));
            return;
        }
    }
    if (self.log.length == max_entries) {
        return;
    }
    self.leads = 1;
    self.log.terms[self.log.length] = static_cast<std::uint8_t>(term);
    self.log.lists[self.log.length++] = 0;
    sent.leader = static_cast<std::uint8_t>(candidate + 1);
    sent.candidates &= static_cast<std::uint8_t>(~bit(candidate));
    sent.log = self.log;
    sent.commit = self.commit;
    sent.matches.fill(0);
    visit(next, step);
}

void quorum_model::expand_appends(const state& from)
{
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        const auto& one = from.replicas[id];
        for (unsigned term = one.term; term < max_terms && one.lost == 0; ++term) {
            const auto& sent = from.terms[term];
            if (sent.leader == 0 || sent.leader == id + 1) {
                continue;
            }
            const auto& leader = from.replicas[sent.leader - 1U];
            const bool is_current = leader.leads != 0 && leader.term == term;
            for (std::uint8_t length = 1; length <= sent.log.length; ++length) {
                auto next = from;
                auto& self = next.replicas[id];
                if (self.term < term) {
                    self.voted_for = 0;
                }
                self.term = static_cast<std::uint8_t>(term);
                self.leads = 0;
                next.terms[term].candidates &= static_cast<std::uint8_t>(~bit(id));
                bool conflicts = false;
                for (unsigned index = 0; index < length; ++index) {
                    conflicts = conflicts || index >= self.log.length ||
                                self.log.terms[index] != sent.log.terms[index];
                }
                if (conflicts) {
                    self.log = {};
                    self.log.length = length;
                    std::copy_n(sent.log.terms.begin(), length, self.log.terms.begin());
                    std::copy_n(sent.log.lists.begin(), length, self.log.lists.begin());
                }
                if (m_options.changes > 0) { // otherwise nothing depends on it
                    self.commit = std::max(self.commit, std::min(sent.commit, length));
                }
                auto& reply = next.terms[term];
                reply.matches[id] = std::max(reply.matches[id], length);
                if (is_current) {
                    for (const auto lost : members_of(lost_replicas(from))) {
                        reply.replied_after[lost] |= bit(id);
                    }
                }
                visit(next, "replica " + std::to_string(id) + " accepts " + std::to_string(length) +
                                " entries of term " + std::to_string(term));
            }
        }
    }
}

void quorum_model::expand_leaders(const state& from)
{
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        const auto& one = from.replicas[id];
        if (one.leads == 0) {
            continue;
        }
        if (from.values < m_options.values && one.term == 1 && one.log.length < max_entries) {
            auto next = from;
            auto& log = next.replicas[id].log;
            log.terms[log.length++] = one.term;
            next.terms[one.term].log = log;
            ++next.values;
            visit(next, "replica " + std::to_string(id) + " proposes a value");
        }
        expand_changes(from, id);
    }
}

// Lets each leader commit what it can. A commit only enables further steps.
void quorum_model::commit_all(state& next)
{
    const auto lost = lost_replicas(next);
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        auto& one = next.replicas[id];
        if (one.leads == 0) {
            continue;
        }
        const auto& sent = next.terms[one.term];
        for (auto index = one.log.length; index > one.commit; --index) {
            if (one.log.terms[index - 1U] != one.term) {
                break;
            }
            const auto has_replied = [&](std::uint64_t voter,
                                         std::optional<std::uint64_t> witness) {
                const bool is_early = m_options.requires_replies_after_loss && witness &&
                                      voter != id &&
                                      (sent.replied_after[*witness] & bit(voter)) == 0;
                return (voter == id || sent.matches[voter] >= index) && !is_early;
            };
            if (decides(one.log, one.commit, lost, has_replied)) {
                commit(next, id, index);
                index = static_cast<std::uint8_t>(one.log.length + 1); // under the new list
            }
        }
    }
}

void quorum_model::commit(state& next, unsigned leader, std::uint8_t index)
{
    auto& self = next.replicas[leader];
    self.commit = index;
    next.terms[self.term].commit = index;
    for (unsigned i = 0; i < index; ++i) {
        auto& term = next.committed_in[i];
        if (i < next.committed.length && next.committed.terms[i] != self.log.terms[i]) {
            fail("replica " + std::to_string(leader) + " commits entry " + std::to_string(index) +
                 ", but entry " + std::to_string(i + 1) + " was another one");
            return;
        }
        term = i < next.committed.length ? std::min(term, self.term) : self.term;
    }
    if (index > next.committed.length) {
        next.committed = {};
        next.committed.length = index;
        std::copy_n(self.log.terms.begin(), index, next.committed.terms.begin());
        std::copy_n(self.log.lists.begin(), index, next.committed.lists.begin());
    }
}

void quorum_model::expand_changes(const state& from, unsigned leader)
{
    const auto& one = from.replicas[leader];
    std::uint8_t current = 0;
    std::uint8_t previous = 0;
    unsigned current_index = 0;
    for (unsigned index = 0; index < one.log.length; ++index) {
        if (one.log.lists[index] != 0) {
            previous = std::exchange(current, one.log.lists[index]);
            current_index = index + 1;
        }
    }
    const bool has_committed_in_term = one.log.terms[one.commit - 1U] == one.term;
    if (!has_committed_in_term || current_index > one.commit || one.log.length == max_entries) {
        return;
    }
    const auto propose = [&](std::uint8_t list, bool is_change) {
        auto next = from;
        auto& log = next.replicas[leader].log;
        log.terms[log.length] = one.term;
        log.lists[log.length++] = list;
        next.terms[one.term].log = log;
        next.changes += is_change ? 1 : 0;
        visit(next,
              "replica " + std::to_string(leader) + " proposes the voters " + describe_list(list));
    };
    if (m_options.repeats_lists && previous != 0 && previous != current) {
        propose(current, false); // repeats the list, which shows that it is committed
    }
    if (from.changes == m_options.changes) {
        return;
    }
    for (unsigned id = 0; id < m_options.replicas; ++id) {
        const auto list = static_cast<std::uint8_t>(current ^ bit(id));
        if (list != 0) {
            propose(list, true);
        }
    }
}

} // namespace siskindrift::tests
