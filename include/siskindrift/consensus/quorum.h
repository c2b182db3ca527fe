// Which sets of voters may elect a leader or commit entries.
#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <span>

namespace siskindrift::consensus {

/// Returns whether the replies of voters suffice for a decision.
///
/// More than half of the voters suffice. Exactly half of them suffice as well if one of the others
/// is a *witness*: a voter that is known to be lost for good, with its disk. Any two such sets
/// have a voter in common as long as all replies of a half were sent after its witness was lost:
/// of two disjoint halves each would contain the other's witness, and each witness would have
/// replied after the other was lost.
///
/// @param voters identities of the voters; an empty list decides nothing
/// @param is_lost `bool(std::uint64_t voter)`: whether the voter is known to be lost for good
/// @param replied `bool(std::uint64_t voter, std::uint64_t witness)`: whether the voter has agreed,
///     and, unless @p witness is 0, did so in reply to a message that was sent after the loss of
///     @p witness was known to the sender
template <std::predicate<std::uint64_t> IsLost,
          std::predicate<std::uint64_t, std::uint64_t> HasReplied>
[[nodiscard]] bool is_quorum(std::span<const std::uint64_t> voters, IsLost is_lost,
                             HasReplied replied)
{
    const auto count = [&](std::uint64_t witness) {
        return static_cast<std::size_t>(
            std::count_if(voters.begin(), voters.end(), [&](std::uint64_t voter) {
                return voter != witness && replied(voter, witness);
            }));
    };
    if (count(0) * 2 > voters.size()) {
        return true;
    }
    return std::any_of(voters.begin(), voters.end(), [&](std::uint64_t witness) {
        return is_lost(witness) && count(witness) * 2 >= voters.size();
    });
}

} // namespace siskindrift::consensus
